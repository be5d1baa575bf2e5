"""Tests of the time for which connections are said to stay open."""

import asyncio

import pytest

from lagoonflow.http1.request_reader import ServerLimits
from lagoonflow.http1.server import HttpServer

GET = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
GET_AND_CLOSE = b'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
OLD_GET = b'GET / HTTP/1.0\r\nHost: h\r\n\r\n'


class Server:
    """A server whose idle time is lowered while it answers."""

    def __init__(self, idle_ms, lowered_ms=None):
        self.limits = ServerLimits(idle_timeout_ms=idle_ms)
        self._lowered_ms = lowered_ms
        self.http = HttpServer(self._answer, self._refuse, lambda: self.limits)

    async def connect(self):
        if not self.http.open_connection_count:
            await self.http.listen('127.0.0.1:0')
        address = self.http._server.sockets[0].getsockname()
        return await asyncio.open_connection(*address)

    def lower(self, idle_ms):
        self.limits = ServerLimits(idle_timeout_ms=idle_ms)

    async def _answer(self, _request, reply) -> None:
        await reply.start(200, b'OK', ())
        if self._lowered_ms is not None:
            self.lower(self._lowered_ms)
        await reply.end()

    async def _refuse(self, reply, status, _reason) -> None:
        await reply.send_whole(status, b'Refused', (), b'')


async def ask(connection, request=GET):
    """Return the head of the answer."""
    reader, writer = connection
    writer.write(request)
    head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 2)
    if b'chunked' in head.lower():
        await reader.readuntil(b'0\r\n\r\n')
    return head.lower()


@pytest.mark.parametrize(
    ('idle_ms', 'stated'),
    [(15_000, b'timeout=12\r\n'), (2500, b'timeout=2\r\n'), (900, None)],
)
async def test_answers_say_how_long_their_connection_stays_open(
    idle_ms, stated
):
    head = await ask(await Server(idle_ms).connect())
    assert (stated or b'200 ok') in head
    assert (b'keep-alive' in head) == (stated is not None)


@pytest.mark.parametrize(
    'request_bytes', [GET_AND_CLOSE, OLD_GET, b'GET\r\n\r\n']
)
async def test_nothing_is_said_of_a_connection_that_closes(request_bytes):
    head = await ask(await Server(15_000).connect(), request_bytes)
    assert b'keep-alive' not in head


async def test_a_stated_time_is_kept_when_the_limit_falls_before_the_rest():
    """The connection was closed earlier than its caller had been told."""
    connection = await Server(1300, lowered_ms=100).connect()
    assert b'timeout=1\r\n' in await ask(connection)
    await asyncio.sleep(0.9)
    assert b'200 ok' in await ask(connection)
    # The next answer states nothing, as the lower limit holds.
    assert not await asyncio.wait_for(connection[0].read(), 0.6)


async def test_a_lowered_idle_time_closes_no_resting_connections_at_once():
    server = Server(1000)
    connections = []
    for _ in range(10):
        connections.append(await server.connect())
        await ask(connections[-1])
        await asyncio.sleep(0.05)
    server.lower(50)
    await asyncio.sleep(0.2)
    assert server.http.open_connection_count == len(connections)
    await asyncio.sleep(0.6)
    assert 0 < server.http.open_connection_count < len(connections)
