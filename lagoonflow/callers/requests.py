"""Reads the headers and the body of a caller's request within limits."""

import dataclasses

from starlette.requests import Request

from lagoonflow.calls.messages import Header
from lagoonflow.keys.state import find_presented_key
from lagoonflow.results import Refusal, Result

DEADLINE_HEADER = 'lagoonflow-deadline-ms'
IDEMPOTENCY_HEADER = 'idempotency-key'
MAX_DEADLINE_MS = 600_000
MAX_IDEMPOTENCY_KEY_CHARS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of a router for requests of callers.

    :param max_body_bytes: largest request body, in bytes.
    :param max_header_bytes: largest size of all headers together, in bytes.
    :param max_waiting: largest number of requests in flight.
    :param default_deadline_ms: time until the answer has to begin, in ms, if
        the caller sets no deadline.
    """

    max_body_bytes: int = 1_048_576
    max_header_bytes: int = 16384
    max_waiting: int = 4096
    default_deadline_ms: int = 30_000


def read_api_key(request: Request) -> str:
    """Return the caller's API key, or an empty string."""
    headers = (Header(*named) for named in request.headers.items())
    return find_presented_key(headers, request.url.query)


def read_deadline_ms(request: Request, limits: CallerLimits) -> int | Refusal:
    """Return how long the caller waits for the answer to begin, in ms."""
    header = request.headers.get(DEADLINE_HEADER)
    if header is None:
        return limits.default_deadline_ms
    if header.isascii() and header.isdigit():
        # Ten digits are enough to tell that a number exceeds the maximum.
        deadline = int(header[:10])
        if 0 < deadline <= MAX_DEADLINE_MS:
            return deadline
    return Refusal(
        Result.MALFORMED_HEADER,
        f'{DEADLINE_HEADER} has to be 1 to {MAX_DEADLINE_MS} ms.',
    )


def read_idempotency_key(request: Request) -> str | Refusal:
    """Return the Idempotency-Key header, or an empty string."""
    header = request.headers.get(IDEMPOTENCY_HEADER, '')
    if len(header) > MAX_IDEMPOTENCY_KEY_CHARS:
        return Refusal(
            Result.MALFORMED_HEADER,
            f'{IDEMPOTENCY_HEADER} is longer than '
            f'{MAX_IDEMPOTENCY_KEY_CHARS} characters.',
        )
    return header


def check_header_size(request: Request, limits: CallerLimits) -> Refusal | None:
    """Refuse a request whose headers are too large."""
    size_bytes = sum(
        len(name) + len(value) for name, value in request.headers.raw
    )
    if size_bytes <= limits.max_header_bytes:
        return None
    return Refusal(
        Result.HEADERS_TOO_LARGE,
        f'The headers are larger than {limits.max_header_bytes} bytes.',
    )


async def read_body(request: Request, limits: CallerLimits) -> bytes | Refusal:
    """Read the body, but stop as soon as it exceeds its limit."""
    chunks: list[bytes] = []
    size_bytes = 0
    async for chunk in request.stream():
        size_bytes += len(chunk)
        if size_bytes > limits.max_body_bytes:
            return Refusal(
                Result.BODY_TOO_LARGE,
                f'The body is larger than {limits.max_body_bytes} bytes.',
            )
        chunks.append(chunk)
    return b''.join(chunks)
