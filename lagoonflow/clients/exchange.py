"""HTTP requests, answers and failures as values; JSON bodies."""

import dataclasses
from typing import Any, TypeVar

import msgspec

from lagoonflow.clients.messages.common import Headers

MS_PER_S = 1000
DEFAULT_TIMEOUT_MS = 2000
DEFAULT_BODY_LIMIT_BYTES = 8 * 1024 * 1024
JSON_HEADERS: Headers = (('Content-Type', 'application/json'),)

# msgspec raises RecursionError when the input is nested too deeply.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)

BodyT = TypeVar('BodyT')


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """An HTTP request.

    :param method: HTTP method.
    :param target: path and query, percent-encoded.
    :param headers: headers to send.
    :param body: body to send.
    :param timeout_ms: time limit for the whole answer, in ms; for a streamed
        answer, until its headers arrive.
    :param body_limit_bytes: longest answer body that is accepted, in bytes.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b''
    timeout_ms: float = DEFAULT_TIMEOUT_MS
    body_limit_bytes: int = DEFAULT_BODY_LIMIT_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """An HTTP answer that was received whole.

    :param status: HTTP status.
    :param headers: headers as received.
    :param body: body as received.
    """

    status: int
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class HttpFailure:
    """An HTTP request that got no whole answer.

    :param reason: what went wrong, for logs and error messages.
    :param was_sent: whether the server may have received the request.
    :param is_timeout: whether the time limit was exceeded.
    """

    reason: str
    was_sent: bool
    is_timeout: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorBody:
    """JSON body of an answer with an error status.

    :param error: what went wrong.
    """

    error: str = ''


def post_json(
    target: str,
    body: Any,
    timeout_ms: float = DEFAULT_TIMEOUT_MS,
) -> HttpRequest:
    """Return a request with a JSON body."""
    encoded = msgspec.json.encode(body)
    return HttpRequest('POST', target, JSON_HEADERS, encoded, timeout_ms)


def decode_json(body: bytes, body_type: type[BodyT]) -> BodyT | HttpFailure:
    """Decode and validate a JSON body."""
    try:
        return msgspec.json.decode(body, type=body_type)
    except DECODE_ERRORS as error:
        return HttpFailure(f'malformed answer: {error}', was_sent=True)


def describe_status(answer: HttpAnswer) -> str:
    """Describe an answer with an error status in one line."""
    decoded = decode_json(answer.body, ErrorBody)
    if isinstance(decoded, HttpFailure):
        return f'status {answer.status}'
    return f'status {answer.status}: {decoded.error}'


def retry_after_ms(answer: HttpAnswer) -> int:
    """Return the delay in the Retry-After header, in ms.

    It is 0 when the header is absent or holds a date.
    """
    for name, text in answer.headers:
        if name.lower() == 'retry-after' and text.isdecimal():
            return int(text) * MS_PER_S
    return 0
