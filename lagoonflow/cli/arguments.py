"""Argument types for settings, each with its parser or check."""

from typing import Annotated
from urllib.parse import urlsplit

import cyclopts
from cyclopts import Parameter

from lagoonflow.cli.value_parsers import parse_address, parse_host, parse_name
from lagoonflow.wire.address import Address

ANY_PORT = ':0'
URL_HINT = 'is not an HTTP URL. Example: http://127.0.0.1:9000'


def parse_listen_address(text: str) -> Address:
    """Parse ``HOST:PORT``; with port 0 the system chooses a free port.

    :raises ValueError: when the text is no address; the message is for the
        operator.
    """
    if text.endswith(ANY_PORT):
        host = text.removesuffix(ANY_PORT).strip('[]')
        return Address(parse_host(host), 0)
    return parse_address(text)


def _convert_address(_type: object, tokens: list[cyclopts.Token]) -> Address:
    return parse_listen_address(tokens[0].value)


def _check_name(_type: object, name: str) -> None:
    parse_name(name)


def _check_url(_type: object, url: str) -> None:
    if not url:
        return
    parts = urlsplit(url)
    if parts.scheme not in {'http', 'https'} or not parts.hostname:
        raise ValueError(f'{url!r} {URL_HINT}')


def _check_positive(_type: object, number: float) -> None:
    if not number > 0:
        raise ValueError(f'{number} is not valid. Use a number above 0.')


AddressArgument = Annotated[
    Address,
    Parameter(converter=_convert_address, n_tokens=1, accepts_keys=False),
]
NameArgument = Annotated[str, Parameter(validator=_check_name)]
UrlArgument = Annotated[str, Parameter(validator=_check_url)]
PositiveInt = Annotated[int, Parameter(validator=_check_positive)]
PositiveFloat = Annotated[float, Parameter(validator=_check_positive)]
