"""HTTP requests, answers and failures as values."""

import dataclasses
from typing import Any, TypeVar

import msgspec

from lagoonflow.clients.messages.common import Headers

MS_PER_S = 1000
DEFAULT_TIMEOUT_MS = 2000
DEFAULT_BODY_LIMIT_BYTES = 8 * 1024 * 1024
JSON_HEADERS: Headers = (('Content-Type', 'application/json'),)

# RecursionError: the input is nested too deeply.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)

BodyT = TypeVar('BodyT')


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """One request.

    :param method: HTTP method.
    :param target: path and query, percent-encoded.
    :param headers: headers to send.
    :param body: body to send.
    :param timeout_ms: time for the whole answer, in ms; for a stream, time
        until its headers.
    :param body_limit_bytes: longest body that is accepted.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b''
    timeout_ms: float = DEFAULT_TIMEOUT_MS
    body_limit_bytes: int = DEFAULT_BODY_LIMIT_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A whole answer.

    :param status: HTTP status.
    :param headers: headers as received.
    :param body: body as received.
    """

    status: int
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class HttpFailure:
    """No whole answer came.

    :param reason: one sentence for a person.
    :param was_sent: whether the server may have seen the request.
    :param is_timeout: whether the time was over.
    """

    reason: str
    was_sent: bool
    is_timeout: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorBody:
    """Body of an answer that is no success.

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
    """Return one line about an answer that is no success."""
    decoded = decode_json(answer.body, ErrorBody)
    if isinstance(decoded, HttpFailure):
        return f'status {answer.status}'
    return f'status {answer.status}: {decoded.error}'


def retry_after_ms(answer: HttpAnswer) -> int:
    """Return when to come back, in ms; 0 when not told."""
    for name, text in answer.headers:
        if name.lower() == 'retry-after' and text.isdecimal():
            return int(text) * MS_PER_S
    return 0
