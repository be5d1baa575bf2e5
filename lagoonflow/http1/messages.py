"""Heads of HTTP messages, and the error of a failed exchange."""

import dataclasses
import enum

Headers = tuple[tuple[bytes, bytes], ...]
LENGTH_HEADER = frozenset((b'content-length',))
STATUSES_WITHOUT_BODY = frozenset((204, 304))


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """Request line and headers, as received.

    :param target: path and query, percent-encoded.
    """

    method: bytes
    target: bytes
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first header with this lower-case name, if any."""
        return find_header(self.headers, name)


class BodyFraming(enum.Enum):
    """How a message tells where its body ends.

    A body with ``UNTIL_CLOSE`` ends with its connection.
    """

    LENGTH = 'length'
    CHUNKED = 'chunked'
    UNTIL_CLOSE = 'until_close'


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status line and headers, as received.

    :param framing: how the response tells where its body ends.
    """

    status: int
    reason: bytes
    headers: Headers
    framing: BodyFraming = BodyFraming.LENGTH

    def get(self, name: bytes) -> bytes | None:
        """Return the first header with this lower-case name, if any."""
        return find_header(self.headers, name)


class ExchangeStage(enum.Enum):
    """How far an exchange had got when it failed.

    At ``CONNECTING`` nothing was sent. At ``SENT`` the server may have
    received the request. At ``ANSWERING`` the head of the response was
    received.
    """

    CONNECTING = 'connecting'
    SENT = 'sent'
    ANSWERING = 'answering'


class ExchangeError(Exception):
    """An exchange ended without a whole response.

    :param stage: how far the exchange had got.
    :param reason: what went wrong, for logs and messages.
    """

    def __init__(self, stage: ExchangeStage, reason: str) -> None:
        """Store the stage and the reason."""
        super().__init__(reason)
        self.stage = stage

    @property
    def is_refused(self) -> bool:
        """Whether no process listens at the address of the server."""
        return isinstance(self.__cause__, ConnectionRefusedError)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first header with this lower-case name, if any."""
    for key, text in headers:
        if key.lower() == name:
            return text
    return None


def response_framing(
    method: bytes, status: int, headers: Headers
) -> BodyFraming:
    """Return the framing of a response's body, as in RFC 9112, section 6.3.

    :param method: method of the request that is answered.
    """
    if method == b'HEAD' or status in STATUSES_WITHOUT_BODY:
        return BodyFraming.LENGTH
    if find_header(headers, b'transfer-encoding') is not None:
        return BodyFraming.CHUNKED
    if find_header(headers, b'content-length') is not None:
        return BodyFraming.LENGTH
    return BodyFraming.UNTIL_CLOSE


def remove_headers(headers: Headers, names: frozenset[bytes]) -> list:
    """Return the headers except those with these lower-case names."""
    return [pair for pair in headers if pair[0].lower() not in names]
