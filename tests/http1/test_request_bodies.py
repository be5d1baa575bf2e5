"""The bodies of all requests together stay within a bound."""

import asyncio

import pytest

from lagoonflow.http1.request_bodies import (
    FREE_BYTES,
    HeldBody,
    RequestBodies,
    bodies_bound,
)
from lagoonflow.http1.request_reader import ServerLimits
from lagoonflow.http1.server import HttpServer

TOTAL_BYTES = 1_000_000
BODY_BYTES = 300_000
CALLERS = 12
CHUNKED, WITH_LENGTH = 'chunked', 'length'
SMALL = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody'


def encode(framing: str) -> bytes:
    body = b'x' * BODY_BYTES
    head = b'POST / HTTP/1.1\r\nHost: h\r\n'
    if framing == CHUNKED:
        line = b'Transfer-Encoding: chunked\r\n\r\n%x\r\n' % BODY_BYTES
        return head + line + body + b'\r\n0\r\n\r\n'
    return head + b'Content-Length: %d\r\n\r\n' % BODY_BYTES + body


class Harness:
    """Holds requests until a test lets them go on."""

    def __init__(self) -> None:
        self.release = asyncio.Event()
        self.held_bytes = 0
        self.most_bytes = 0
        self.server = HttpServer(
            self._handle,
            self._refuse,
            ServerLimits,
            bodies=RequestBodies(TOTAL_BYTES),
        )

    async def listen(self) -> None:
        await self.server.listen('127.0.0.1:0')
        self._address = self.server._server.sockets[0].getsockname()

    async def open(self):
        return await asyncio.open_connection(*self._address)

    async def send(self, raw: bytes) -> bytes:
        reader, writer = await self.open()
        writer.write(raw)
        head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 3)
        writer.close()
        return head.split(b' ')[1]

    async def _handle(self, request, reply) -> None:
        self.held_bytes += len(request.body)
        self.most_bytes = max(self.most_bytes, self.held_bytes)
        if len(request.body) > FREE_BYTES:
            await self.release.wait()
        self.held_bytes -= len(request.body)
        await reply.send_whole(200, b'OK', (), b'')

    async def _refuse(self, reply, status, _reason) -> None:
        await reply.send_whole(status, b'Refused', (), b'')


@pytest.mark.parametrize('framing', [CHUNKED, WITH_LENGTH])
async def test_bodies_beyond_the_bound_are_refused_as_not_run(framing):
    harness = Harness()
    await harness.listen()
    sends = [
        asyncio.create_task(harness.send(encode(framing)))
        for _ in range(CALLERS)
    ]
    await asyncio.sleep(0.5)
    assert await harness.send(SMALL) == b'200'
    harness.release.set()
    statuses = sorted(await asyncio.gather(*sends))
    served = statuses.count(b'200')
    assert statuses == [b'200'] * served + [b'503'] * (CALLERS - served)
    assert served == TOTAL_BYTES // (BODY_BYTES - FREE_BYTES)
    assert harness.most_bytes <= TOTAL_BYTES + CALLERS * FREE_BYTES


def test_the_bound_follows_from_the_memory_of_the_process():
    """The smallest host needs most of its memory for everything else."""
    assert bodies_bound(300_000_000) >= 30 * 4_194_304
    assert bodies_bound(200_000_000) <= 50_000_000
    assert bodies_bound(0) == bodies_bound(200_000_000)
    assert 0 < bodies_bound(1) < bodies_bound(200_000_000)


async def test_memory_of_a_body_is_given_back_however_its_request_ends():
    harness = Harness()
    await harness.listen()
    for raw in (encode(WITH_LENGTH), encode(WITH_LENGTH)[:-1]):
        for _ in range(CALLERS):
            _, writer = await harness.open()
            writer.write(raw)
            await asyncio.sleep(0.01)
            writer.transport.abort()
            await asyncio.sleep(0.01)
    harness.release.set()
    reader, writer = await harness.open()
    for _ in range(CALLERS):
        writer.write(encode(WITH_LENGTH))
        head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 3)
        assert head.startswith(b'HTTP/1.1 200 ')
    writer.close()


async def test_a_body_for_which_no_memory_is_left_is_refused_as_not_run(
    monkeypatch,
):
    def grow(_held, body_bytes):
        if body_bytes > FREE_BYTES:
            raise MemoryError

    monkeypatch.setattr(HeldBody, 'grow', grow)
    harness = Harness()
    await harness.listen()
    assert await harness.send(encode(WITH_LENGTH)) == b'503'
    assert await harness.send(SMALL) == b'200'
