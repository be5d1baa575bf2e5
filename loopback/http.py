"""Blocking HTTP client: control of stand-ins, calls, event streams."""

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
    """A complete HTTP response.

    :param status: HTTP status.
    :param headers: headers with names in lower case.
    :param body: the whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body decoded from JSON."""
        return json.loads(self.body)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerAnswer:
    """The response to a generation request, as its caller received it.

    :param status: HTTP status.
    :param text: generated text, joined from all chunks.
    :param finish_reason: why the answer ended; empty when it broke off.
    :param error: the error object; empty when there was none.
    :param headers: headers with names in lower case.
    :param first_token_ms: time from sending to the first text, in ms; -1 when
        no text came.
    :param end_ms: time from sending to the end of the response, in ms.
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
    """Send one request and return the complete response.

    :param address: `IP:port` of the server.
    :param body: bytes, or a value to be sent as JSON; None for no body.
    :param timeout_s: longest wait for the connection or for data, in seconds.
    :raises OSError: when the server can't be reached or does not answer.
    :raises http.client.HTTPException: when the response is cut off.
    """
    connection, response = _send(
        address, method, path, body, headers, timeout_s
    )
    try:
        return Reply(response.status, _read_headers(response), response.read())
    finally:
        connection.close()


def set_faults(address: str, **faults: Any) -> dict[str, Any]:
    """Change faults of a stand-in and return the settings of all of them."""
    reply = request(address, 'POST', '/faults', faults)
    assert reply.status == 200, reply.body
    return reply.json()


def counts(address: str) -> dict[str, Any]:
    """Return the counters of a stand-in."""
    return request(address, 'GET', '/counts').json()


class SseStream:
    """A response that streams server-sent events.

    :param connection: the open connection.
    :param response: the response on it, of which the headers were read.
    """

    def __init__(
        self,
        connection: http.client.HTTPConnection,
        response: http.client.HTTPResponse,
    ) -> None:
        self.status = response.status
        self.headers = _read_headers(response)
        self._connection = connection
        self._response = response

    def events(self) -> Iterator[str]:
        """Yield the data of each event as it arrives."""
        lines: list[str] = []
        while raw := self._response.readline():
            line = raw.decode().rstrip('\r\n')
            if line.startswith('data:'):
                lines.append(line.removeprefix('data:').removeprefix(' '))
            elif not line and lines:
                yield '\n'.join(lines)
                lines = []

    def read(self) -> bytes:
        """Return the rest of a body that is not an event stream."""
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
    """Send a POST request and return once the response headers arrived."""
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
    """Request a streamed generation and read the response to its end.

    :param address: address of a router.
    :param key: key of the organisation; empty for none.
    :param body: body of the request; `stream` is added to it.
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
        error = _read_error(json.loads(stream.read() or b'{}'))
    else:
        for event in stream.events():
            if event == END_OF_STREAM:
                break
            decoded = json.loads(event)
            error = _read_error(decoded) or error
            piece, reason = _read_choice(decoded)
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


def _read_choice(event: dict[str, Any]) -> tuple[str, str]:
    choices = event.get('choices') or [{}]
    choice = choices[0]
    delta = choice.get('delta') or {}
    piece = choice.get('text') or delta.get('content') or ''
    return piece, choice.get('finish_reason') or ''


def _read_error(decoded: Any) -> dict[str, Any]:
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


def _read_headers(response: http.client.HTTPResponse) -> dict[str, str]:
    return {name.lower(): text for name, text in response.getheaders()}
