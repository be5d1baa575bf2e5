"""Heads of HTTP messages, and why an exchange failed."""

import dataclasses
import enum

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """Request line and headers, as received.

    :param target: path and query, percent-encoded.
    """

    method: bytes
    target: bytes
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first header of a lower-case name."""
        return find_header(self.headers, name)


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status line and headers, as received."""

    status: int
    reason: bytes
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first header of a lower-case name."""
        return find_header(self.headers, name)


class ExchangeStage(enum.Enum):
    """How far an exchange came before it failed."""

    CONNECTING = 'connecting'
    SENT = 'sent'
    ANSWERING = 'answering'


class ExchangeError(Exception):
    """An exchange ended without a whole answer.

    :param stage: nothing was sent while it was ``CONNECTING``.
    """

    def __init__(self, stage: ExchangeStage, reason: str) -> None:
        """Keep the stage and a sentence for a person."""
        super().__init__(reason)
        self.stage = stage


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first header of a lower-case name."""
    for key, text in headers:
        if key.lower() == name:
            return text
    return None


def remove_headers(headers: Headers, names: frozenset[bytes]) -> list:
    """Return the headers whose lower-case name is not among some."""
    return [pair for pair in headers if pair[0].lower() not in names]
