"""Argument types of the programs' settings, with their checks."""

import ipaddress
import re
from typing import Annotated
from urllib.parse import urlsplit

import cyclopts
from cyclopts import Parameter

from lagoonflow.wire.http import Address

MAX_PORT = 65535
NAME_PATTERN = re.compile(r'[a-z0-9](?:[a-z0-9.-]{0,61}[a-z0-9])?')
ADDRESS_HINT = 'is not HOST:PORT, such as 127.0.0.1:8080'
NAME_HINT = 'is not a name: use a-z, 0-9, dots and hyphens, at most 63'
URL_HINT = 'is not an http URL, such as http://127.0.0.1:9000'


def parse_address(text: str) -> Address:
    """Parse HOST:PORT.

    :raises ValueError: when the text has another form, or no IP address.
    """
    host, _, port = text.rpartition(':')
    host = host.removeprefix('[').removesuffix(']')
    if not host or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f'{text!r} {ADDRESS_HINT}')
    ipaddress.ip_address(host)
    return Address(host, int(port))


def _convert_address(_type: object, tokens: list[cyclopts.Token]) -> Address:
    return parse_address(tokens[0].value)


def _check_name(_type: object, name: str) -> None:
    if NAME_PATTERN.fullmatch(name) is None:
        raise ValueError(f'{name!r} {NAME_HINT}')


def _check_url(_type: object, url: str) -> None:
    if not url:
        return
    parts = urlsplit(url)
    if parts.scheme not in {'http', 'https'} or not parts.hostname:
        raise ValueError(f'{url!r} {URL_HINT}')


def _check_positive(_type: object, number: float) -> None:
    if not number > 0:
        raise ValueError(f'{number} has to be above 0')


AddressArgument = Annotated[
    Address,
    Parameter(converter=_convert_address, n_tokens=1, accepts_keys=False),
]
NameArgument = Annotated[str, Parameter(validator=_check_name)]
UrlArgument = Annotated[str, Parameter(validator=_check_url)]
PositiveInt = Annotated[int, Parameter(validator=_check_positive)]
PositiveFloat = Annotated[float, Parameter(validator=_check_positive)]
