"""Tests of requests that meet the stop of their server."""

import asyncio
import contextlib
import socket

import pytest

from lagoonflow.http1.request_reader import ServerLimits
from lagoonflow.http1.server import HttpServer

GET = b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n'
HALF = b'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf'
HALF_BODY = b'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n'
TIMEOUT_S = 3


class Harness:
    """A server, a connection to it, and an answer that waits to be ended."""

    def __init__(self) -> None:
        self.server = HttpServer(self._answer, self._refuse, ServerLimits)
        self.may_end = asyncio.Event()
        self.has_begun = asyncio.Event()
        self.caller = socket.socket()
        self.caller.setblocking(False)

    async def connect(self) -> None:
        await self.server.listen('127.0.0.1:0')
        address = self.server._server.sockets[0].getsockname()
        await asyncio.get_running_loop().sock_connect(self.caller, address)

    async def read_until(self, end: bytes) -> bytes:
        loop = asyncio.get_running_loop()
        content = b''
        async with asyncio.timeout(TIMEOUT_S):
            while end not in content:
                part = await loop.sock_recv(self.caller, 65_536)
                assert part, content
                content += part
        return content

    async def _answer(self, _request, reply) -> None:
        await reply.start(200, b'OK', ())
        await reply.send_part(b'fine')
        self.has_begun.set()
        await self.may_end.wait()
        await reply.end()

    async def _refuse(self, reply, status, reason) -> None:
        await reply.send_whole(status, b'Refused', (), reason.encode())


async def test_a_request_that_has_arrived_is_answered_as_idle_connections_close():
    harness = Harness()
    harness.may_end.set()
    await harness.connect()
    harness.caller.send(GET)
    await harness.read_until(b'0\r\n\r\n')
    harness.caller.send(GET)
    for connection in harness.server._connections:
        connection.close_if_idle()
    assert b'fine' in await harness.read_until(b'0\r\n\r\n')


async def test_a_request_is_answered_that_follows_an_answer_from_before_the_stop():
    harness = Harness()
    await harness.connect()
    harness.caller.send(GET)
    await harness.has_begun.wait()
    await harness.server.stop_accepting()
    harness.may_end.set()
    assert b'connection: close' not in await harness.read_until(b'0\r\n\r\n')
    harness.caller.send(GET)
    answer = await harness.read_until(b'0\r\n\r\n')
    assert b'connection: close' in answer.lower()


async def test_requests_are_answered_that_were_pipelined_before_the_stop():
    harness = Harness()
    await harness.connect()
    harness.caller.send(GET + GET)
    await harness.has_begun.wait()
    await harness.server.stop_accepting()
    harness.may_end.set()
    content = await harness.read_until(b'onnection: close')
    while content.count(b'0\r\n\r\n') < 2:
        content += await harness.read_until(b'0\r\n\r\n')
    assert content.count(b'fine') == 2


async def test_a_request_that_is_not_whole_at_the_end_of_a_stop_is_refused():
    harness = Harness()
    await harness.connect()
    harness.caller.send(HALF)
    await asyncio.sleep(0.05)
    await harness.server.stop_accepting()
    await harness.server.wait_until_closed(50)
    harness.server.refuse_unread()
    await harness.server.wait_until_closed(1000)
    answer = await harness.read_until(b'missing')
    assert answer.startswith(b'HTTP/1.1 503')


@pytest.mark.parametrize('pause_ms', [1, 10, 30])
async def test_a_body_that_goes_on_arriving_is_refused_at_the_end_of_a_stop(
    pause_ms,
):
    """Each part began a new limit, so the process ended without an answer."""
    harness = Harness()
    await harness.connect()
    harness.caller.send(HALF_BODY)
    feeding = asyncio.create_task(_feed(harness.caller, pause_ms))
    await asyncio.sleep(0.1)
    harness.server.is_stopping = True
    harness.server.refuse_unread()
    answer = await asyncio.wait_for(harness.read_until(b'missing'), 0.3)
    assert answer.startswith(b'HTTP/1.1 503')
    feeding.cancel()


async def _feed(caller: socket.socket, pause_ms: float) -> None:
    with contextlib.suppress(OSError):
        while True:
            caller.send(b'x')
            await asyncio.sleep(pause_ms / 1000)


async def test_whole_requests_are_served_that_follow_the_end_of_a_stop():
    harness = Harness()
    await harness.connect()
    harness.caller.send(GET)
    await harness.has_begun.wait()
    await harness.server.stop_accepting()
    harness.may_end.set()
    await harness.read_until(b'0\r\n\r\n')
    harness.server.refuse_unread()
    await asyncio.sleep(0.05)
    harness.caller.send(GET)
    assert b'fine' in await harness.read_until(b'0\r\n\r\n')
