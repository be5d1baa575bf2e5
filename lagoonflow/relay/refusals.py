"""HTTP form of a refusal: status, headers and body."""

import msgspec

from lagoonflow.clock import MS_PER_S
from lagoonflow.http1.messages import Headers
from lagoonflow.http1.request_reader import UNAVAILABLE_STATUS
from lagoonflow.relay.attempts import BUSY_RETRY_MS
from lagoonflow.results import Refusal, Result

_STATUSES = {
    Result.UNKNOWN_ROUTE: (404, b'Not Found'),
    Result.KEY_MISSING: (401, b'Unauthorized'),
    Result.KEY_UNKNOWN: (401, b'Unauthorized'),
    Result.RATE_EXCEEDED: (429, b'Too Many Requests'),
    Result.MALFORMED_HEADER: (400, b'Bad Request'),
    Result.BODY_TOO_LARGE: (413, b'Content Too Large'),
    Result.HEADERS_TOO_LARGE: (431, b'Request Header Fields Too Large'),
}
_NOT_RUN = (503, b'Service Unavailable')
_TIMED_OUT = (504, b'Gateway Timeout')
_MAY_HAVE_RUN = (502, b'Bad Gateway')


def unreadable_refusal(status: int, reason: str) -> Refusal:
    """Return the refusal of a request that can't be read."""
    if status == UNAVAILABLE_STATUS:
        return Refusal(
            Result.TOO_MANY_WAITING, reason, retry_after_ms=BUSY_RETRY_MS
        )
    return Refusal(Result.MALFORMED_HEADER, reason)


def status_of(refusal: Refusal) -> tuple[int, bytes]:
    """Return the status and reason phrase of a refusal.

    Callers take 503 to mean that the request has not run, so only a request
    that certainly has not run gets it.
    """
    stated = _STATUSES.get(refusal.code)
    if stated is not None:
        return stated
    if refusal.not_run:
        return _NOT_RUN
    if refusal.code is Result.DEADLINE_UNREACHABLE:
        return _TIMED_OUT
    return _MAY_HAVE_RUN


def headers_of(refusal: Refusal, request_id: str) -> Headers:
    """Return the headers of a refusal."""
    headers = [
        (b'Content-Type', b'application/json'),
        (b'X-Request-Id', request_id.encode('latin-1')),
    ]
    if refusal.retry_after_ms > 0 and refusal.not_run:
        seconds = refusal.retry_after_ms / MS_PER_S
        headers.append((b'Retry-After', f'{seconds:.3f}'.encode()))
    return tuple(headers)


def body_of(refusal: Refusal) -> bytes:
    """Return the body of a refusal."""
    return msgspec.json.encode(
        {
            'error': {
                'code': int(refusal.code),
                'name': refusal.code.name,
                'message': refusal.reason,
                'not_run': refusal.not_run,
            },
        },
    )
