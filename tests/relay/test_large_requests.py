"""Request bodies that take long to reach their server."""

import asyncio
import socket
import time

from lagoonflow.backends.messages import BackendServer
from lagoonflow.clock import boottime_ms
from lagoonflow.http1.connection_memory import ProcessMemory, Requester
from lagoonflow.http1.memory_budget import MemoryBudget
from tests.relay.harness import (
    Backend,
    RelayHarness,
    answer_with,
    encode_request,
    read_answer,
)

# Arrives within the deadline of 1.5 s, but after the time for a first send.
BODY_BYTES = 1_000_000
BYTES_PER_S = 1_000_000
PART_BYTES = 8192


class SlowLinkBackend:
    """A server whose requests arrive at the rate of a slow link.

    :param stops_after_bytes: bytes of a request after which nothing arrives.
    """

    def __init__(self, stops_after_bytes=None, *, answers=True) -> None:
        self.received_bytes = 0
        self._stops_after_bytes = stops_after_bytes
        self._answers = answers

    async def start(self, fleet, name):
        listener = socket.create_server(('127.0.0.1', 0))
        # Else the kernel takes most of a body at once.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PART_BYTES)
        await asyncio.start_server(self._serve, sock=listener, limit=PART_BYTES)
        port = listener.getsockname()[1]
        fleet.roster.put(
            BackendServer(
                name, 'app', f'127.0.0.1:{port}', 'z', 8, started_ms=1
            ),
            boottime_ms(),
        )

    async def _serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        began_s = time.monotonic()
        while self.received_bytes < BODY_BYTES:
            if self._is_stopped():
                await asyncio.sleep(60)
            self.received_bytes += len(await reader.read(PART_BYTES))
            due_s = began_s + self.received_bytes / BYTES_PER_S
            await asyncio.sleep(max(due_s - time.monotonic(), 0))
        if self._answers:
            writer.write(
                b'HTTP/1.1 200 OK\r\nServer-Seal: s\r\n'
                b'Content-Length: 4\r\n\r\nslow'
            )

    def _is_stopped(self):
        stops_after_bytes = self._stops_after_bytes
        return (
            stops_after_bytes is not None
            and self.received_bytes >= stops_after_bytes
        )


async def call(first, memory=None):
    """Send a large request to a slow server, beside one that is fast."""
    harness = RelayHarness(memory)
    await first.start(harness.fleet, 'i-0')
    second = Backend(answer_with('200 OK', 'fast'))
    server = await second.start('i-1', 'app')
    harness.fleet.roster.put(server, boottime_ms())
    reader, writer = await harness.connect()
    writer.write(encode_request('/read/x', body='x' * BODY_BYTES))
    status, _, answer = await read_answer(reader)
    return status, answer, len(second.requests)


async def test_a_body_that_still_arrives_is_not_sent_to_a_second_server():
    assert await call(SlowLinkBackend()) == (200, b'slow', 0)


async def test_a_body_that_no_longer_arrives_is_sent_to_a_second_server():
    assert await call(SlowLinkBackend(200_000)) == (200, b'fast', 1)


async def test_a_body_that_the_kernel_does_not_take_is_sent_to_a_second_server():
    memory = ProcessMemory(MemoryBudget(), lambda _: Requester('c'))
    assert await call(SlowLinkBackend(200_000), memory) == (200, b'fast', 1)


async def test_a_lost_answer_to_a_large_request_is_noticed():
    assert await call(SlowLinkBackend(answers=False)) == (200, b'fast', 1)
