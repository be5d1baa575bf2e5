"""ASGI middleware that applies faults and records credentials."""

import asyncio
from typing import Any

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from standins.faults import FaultSwitch
from standins.lagged import MS_PER_S

CONTROL_PATHS = frozenset(('/faults', '/counts'))
CREDENTIAL_NAME_PARTS = ('auth', 'cookie', 'key', 'token', 'secret')
KEY_PREFIX = 'lf_'
NOT_CREDENTIALS = frozenset(('idempotency-key',))
JSON_TYPE = 'application/json'


class RequestLog:
    """Records the credentials and queries that reached a stand-in."""

    def __init__(self) -> None:
        self._headers: set[tuple[str, str]] = set()
        self._queries: set[str] = set()

    def record(self, scope: Scope) -> None:
        """Record the query of a request and headers that may be credentials."""
        for raw_name, raw_value in scope['headers']:
            name = raw_name.decode('latin-1').lower()
            text = raw_value.decode('latin-1')
            if _is_credential(name) or KEY_PREFIX in text:
                self._headers.add((name, text))
        if scope['query_string']:
            self._queries.add(scope['query_string'].decode('latin-1'))

    def counts(self) -> dict[str, Any]:
        """Return the recorded headers and queries, for `/counts`."""
        headers = [
            {'name': name, 'value': value}
            for name, value in sorted(self._headers)
        ]
        return {'headers_seen': headers, 'queries_seen': sorted(self._queries)}


def _is_credential(name: str) -> bool:
    if name in NOT_CREDENTIALS:
        return False
    return any(word in name for word in CREDENTIAL_NAME_PARTS)


class FaultMiddleware:
    """ASGI middleware that applies the common faults to each request.

    Requests to the control paths have no faults and are not recorded.

    :param app: the application that answers the requests.
    :param switch: the current faults.
    :param requests: records credentials and queries.
    """

    def __init__(
        self,
        app: ASGIApp,
        switch: FaultSwitch[Any],
        requests: RequestLog,
    ) -> None:
        self._app = app
        self._switch = switch
        self._requests = requests

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Handle one ASGI connection."""
        if scope['type'] != 'http' or scope['path'] in CONTROL_PATHS:
            await self._app(scope, receive, send)
            return
        self._requests.record(scope)
        # uvicorn has no public way to close a connection without an answer.
        scope['abort'] = send.__self__.transport.abort  # type: ignore
        if self._switch.current.delay_ms:
            await asyncio.sleep(self._switch.current.delay_ms / MS_PER_S)
        if self._switch.current.silent:
            await wait_for_disconnect(receive)
            return
        if self._switch.current.outage:
            await _unavailable(scope, receive, send)
            return
        await self._app(
            scope, receive, _OutageSender(self._switch, send, scope)
        )


class _OutageSender:
    """Replaces an answer by 503 if an outage began after its request."""

    def __init__(
        self,
        switch: FaultSwitch[Any],
        send: Send,
        scope: Scope,
    ) -> None:
        self._switch = switch
        self._send = send
        self._scope = scope
        self._replaced = False

    async def __call__(self, message: Message) -> None:
        """Send one ASGI message."""
        is_start = message['type'] == 'http.response.start'
        if is_start and self._switch.current.outage:
            self._replaced = True
            await _unavailable(self._scope, _no_body, self._send)
        if not self._replaced:
            await self._send(message)


async def _no_body() -> Message:
    return {'type': 'http.request', 'body': b'', 'more_body': False}


async def _unavailable(scope: Scope, receive: Receive, send: Send) -> None:
    await reply({'error': 'outage'}, 503)(scope, receive, send)


async def wait_for_disconnect(receive: Receive) -> None:
    """Return when the client has closed the connection."""
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()


async def close_without_answer(request: Request) -> Response:
    """Close the connection of a request instead of answering it."""
    request.scope['abort']()
    await wait_for_disconnect(request.receive)
    return Response()


async def never_answer(request: Request) -> Response:
    """Leave a request unanswered until its caller closes the connection."""
    await wait_for_disconnect(request.receive)
    return Response()


def reply(
    value: Any,
    status: int = 200,
    headers: dict[str, str] | None = None,
) -> Response:
    """Build a JSON response."""
    return Response(
        msgspec.json.encode(value),
        status_code=status,
        headers=headers,
        media_type=JSON_TYPE,
    )
