"""Parsers of addresses, hosts, ports and names given on a command line.

Each raises a ValueError whose message is shown to the operator.
"""

import ipaddress
import re

from lagoonflow.wire.address import Address

MAX_PORT = 65_535
NAME_PATTERN = re.compile('[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?')

BAD_ADDRESS = '{text!r} is not an address HOST:PORT. Example: 10.0.0.5:7000'
BAD_HOST = '{text!r} is not an IP address. Example: 10.0.0.5'
BAD_PORT = '{text!r} is not a port between 1 and 65535.'
BAD_NAME = (
    '{text!r} is not a valid name. Use at most 64 lower-case letters, digits,'
    ' dots, hyphens and underscores; the first and last have to be letters or'
    ' digits. Example: zone-a'
)


def parse_address(text: str) -> Address:
    """Parse ``HOST:PORT``, with an IPv6 host in brackets.

    :raises ValueError: when the text is no address.
    """
    host, separator, port = text.strip().rpartition(':')
    if not separator or not host:
        raise ValueError(BAD_ADDRESS.format(text=text))
    return Address(parse_host(host.strip('[]')), parse_port(port))


def parse_host(text: str) -> str:
    """Parse an IP address or ``localhost``.

    :raises ValueError: when the text is neither.
    """
    if text == 'localhost':
        return '127.0.0.1'
    try:
        return str(ipaddress.ip_address(text))
    except ValueError as error:
        raise ValueError(BAD_HOST.format(text=text)) from error


def parse_port(text: str) -> int:
    """Parse a port number.

    :raises ValueError: when the text is no port.
    """
    port = int(text) if text.isascii() and text.isdecimal() else 0
    if not 1 <= port <= MAX_PORT:
        raise ValueError(BAD_PORT.format(text=text))
    return port


def parse_name(text: str) -> str:
    """Check the name of a process or an availability zone.

    :raises ValueError: when the name is not valid.
    """
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError(BAD_NAME.format(text=text))
    return text
