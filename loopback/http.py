"""Blocking HTTP for steps: control of the stand-ins, callers, SSE."""

import dataclasses
import http.client
import json
import time
from collections.abc import Iterator
from typing import Any

TIMEOUT_S = 30
END_OF_STREAM = '[DONE]'


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer.

    :param status: HTTP status.
    :param headers: headers with names in lower case.
    :param body: the body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerAnswer:
    """What a caller got for a generation.

    :param status: HTTP status.
    :param text: text put together from all chunks.
    :param finish_reason: why the answer ended; empty when it broke off.
    :param error: the error object; empty when there was none.
    :param headers: headers with names in lower case.
    :param first_token_ms: time to the first text, in ms; -1 when none.
    :param end_ms: time to the end, in ms.
    """

    status: int
    text: str
    finish_reason: str
    error: dict[str, Any]
    headers: dict[str, str]
    first_token_ms: float
    end_ms: float


def request(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = TIMEOUT_S,
) -> Reply:
    """Send one request; a body that is not bytes is sent as JSON.

    :raises OSError: when the server can't be reached or is silent.
    :raises http.client.HTTPException: when the answer is cut.
    """
    connection, response = _send(
        address, method, path, body, headers, timeout_s
    )
    try:
        return Reply(response.status, _headers(response), response.read())
    finally:
        connection.close()


def set_faults(address: str, **faults: Any) -> dict[str, Any]:
    """Switch faults of a stand-in and return all of them."""
    reply = request(address, 'POST', '/faults', faults)
    assert reply.status == 200, reply.body
    return reply.json()


def counts(address: str) -> dict[str, Any]:
    """Return the counters of a stand-in."""
    return request(address, 'GET', '/counts').json()


class SseStream:
    """The events of a streamed answer.

    :param connection: the open connection.
    :param response: the answer on it.
    """

    def __init__(
        self,
        connection: http.client.HTTPConnection,
        response: http.client.HTTPResponse,
    ) -> None:
        self.status = response.status
        self.headers = _headers(response)
        self._connection = connection
        self._response = response

    def events(self) -> Iterator[str]:
        """Return the data of each event."""
        lines: list[str] = []
        while raw := self._response.readline():
            line = raw.decode().rstrip('\r\n')
            if line.startswith('data:'):
                lines.append(line.removeprefix('data:').removeprefix(' '))
            elif not line and lines:
                yield '\n'.join(lines)
                lines = []

    def read(self) -> bytes:
        """Return the rest of a body that is not a stream."""
        return self._response.read()

    def close(self) -> None:
        """Close the connection at once."""
        self._response.close()
        self._connection.close()


def open_stream(
    address: str,
    path: str,
    body: Any,
    headers: dict[str, str] | None = None,
    timeout_s: float = TIMEOUT_S,
) -> SseStream:
    """Send a request and return when the headers of its answer came."""
    sent = _send(address, 'POST', path, body, headers, timeout_s)
    return SseStream(*sent)


def complete(
    address: str,
    key: str,
    body: dict[str, Any],
    headers: dict[str, str] | None = None,
    path: str = '/v1/completions',
    timeout_s: float = TIMEOUT_S,
) -> CallerAnswer:
    """Ask for a streamed generation and read it to its end.

    :param address: address of a router.
    :param key: key of the organisation; empty for none.
    :param body: the request; `stream` is added.
    """
    sent_s = time.monotonic()
    sent_headers = dict(headers or {})
    if key:
        sent_headers['Authorization'] = f'Bearer {key}'
    stream = open_stream(
        address, path, {**body, 'stream': True}, sent_headers, timeout_s
    )
    try:
        return _read_answer(stream, sent_s)
    finally:
        stream.close()


def _read_answer(stream: SseStream, sent_s: float) -> CallerAnswer:
    text, finish_reason, error, first_ms = '', '', {}, -1.0
    if stream.status != 200:
        error = _error_of(json.loads(stream.read() or b'{}'))
    else:
        for event in stream.events():
            if event == END_OF_STREAM:
                break
            decoded = json.loads(event)
            error = _error_of(decoded) or error
            piece, reason = _choice(decoded)
            if piece and first_ms < 0:
                first_ms = _ms_since(sent_s)
            text += piece
            finish_reason = reason or finish_reason
    return CallerAnswer(
        stream.status,
        text,
        finish_reason,
        error,
        stream.headers,
        first_ms,
        _ms_since(sent_s),
    )


def _choice(event: dict[str, Any]) -> tuple[str, str]:
    choices = event.get('choices') or [{}]
    choice = choices[0]
    delta = choice.get('delta') or {}
    piece = choice.get('text') or delta.get('content') or ''
    return piece, choice.get('finish_reason') or ''


def _error_of(decoded: Any) -> dict[str, Any]:
    error = decoded.get('error', {}) if isinstance(decoded, dict) else {}
    return error if isinstance(error, dict) else {'message': str(error)}


def _ms_since(start_s: float) -> float:
    return (time.monotonic() - start_s) * 1000


def _send(
    address: str,
    method: str,
    path: str,
    body: Any,
    headers: dict[str, str] | None,
    timeout_s: float,
) -> tuple[http.client.HTTPConnection, http.client.HTTPResponse]:
    sent_headers = {'Connection': 'close', **(headers or {})}
    encoded = body
    if body is not None and not isinstance(body, bytes):
        encoded = json.dumps(body).encode()
        sent_headers.setdefault('Content-Type', 'application/json')
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, encoded, sent_headers)
        return connection, connection.getresponse()
    except BaseException:
        connection.close()
        raise


def _headers(response: http.client.HTTPResponse) -> dict[str, str]:
    return {name.lower(): text for name, text in response.getheaders()}
