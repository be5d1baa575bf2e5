"""Bounds of values that other programs write into the metadata store.

A value that is only checked for its type may later fail to be encoded, connected
to or calculated with, far from the record that it came from.
"""

import ipaddress
import re
from typing import Annotated

import msgspec

# Largest whole number that a float holds exactly; it also fits the integers of
# datagrams.
MAX_EXACT_INT = 2**53
MAX_SLOTS = 1_000_000
MAX_PORT = 65_535
PORT = re.compile('[0-9]{1,5}')
# Ids are sent as header values.
SERVER_ID = re.compile('[!-~]{1,255}')

# A count, or a time in ms since 1970.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_EXACT_INT)]
Slots = Annotated[int, msgspec.Meta(ge=-MAX_SLOTS, le=MAX_SLOTS)]
DurationMs = Annotated[float, msgspec.Meta(le=MAX_EXACT_INT)]


def check_address(text: str) -> str:
    """Return an address that can be connected to.

    :param text: ``IP:port``.
    :raises ValueError: for any other text.
    """
    host, _, port = text.rpartition(':')
    ipaddress.IPv4Address(host)
    if not PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'no port in address {text[:80]!r}')
    return text


def check_server_id(text: str) -> str:
    """Return an id of a backend server that can be sent as a header.

    :raises ValueError: for any other text.
    """
    if not SERVER_ID.fullmatch(text):
        raise ValueError(f'no id of a server: {text[:80]!r}')
    return text
