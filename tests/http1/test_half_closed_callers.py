"""Callers that close only their sending side, and callers that are gone."""

import asyncio
import socket
import struct
import threading
import time

import pytest

from lagoonflow.http1.connection_memory import ProcessMemory, Requester
from lagoonflow.http1.memory_budget import MemoryBudget
from lagoonflow.http1.request_reader import ServerLimits
from lagoonflow.http1.server import HttpServer

LIMITS = ServerLimits(idle_timeout_ms=400)
# More than the kernel takes for a caller that doesn't read.
LARGE_BYTES = 20_000_000
# The same where its buffers are kept small.
MEDIUM_BYTES = 1_000_000


def get(path: str) -> bytes:
    return f'GET /{path} HTTP/1.1\r\nHost: h\r\n\r\n'.encode()


class Harness:
    """A server whose handler does what the path says, and one caller."""

    def __init__(self, memory: ProcessMemory | None = None) -> None:
        self.handled: list[bytes] = []
        self.has_begun = asyncio.Event()
        self.errors: list[dict] = []
        self.server = HttpServer(
            self._handle, self._refuse, lambda: LIMITS, memory
        )

    async def connect(self, *requests: bytes) -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _, context: self.errors.append(context)
        )
        await self.server.listen('127.0.0.1:0')
        address = self.server._server.sockets[0].getsockname()
        self.reader, self.writer = await asyncio.open_connection(*address)
        self.writer.write(b''.join(requests))

    async def read_after_end(self) -> bytes:
        """Close the sending side; return all that arrives afterwards."""
        self.writer.write_eof()
        return await asyncio.wait_for(self.reader.read(), 3)

    async def expect_closed(self) -> None:
        tasks = [one.task for one in self.server._connections]
        await self.server.wait_until_closed(1000)
        assert [task.exception() for task in tasks] == [None] * len(tasks)
        assert self.server.open_connection_count == 0
        assert not self.errors

    async def _handle(self, request, reply) -> None:
        path = request.head.target[1:]
        self.handled.append(path)
        if path == b'half':
            await reply.start(200, b'OK', ())
            await reply.send_part(b'half')
        self.has_begun.set()
        try:
            if path == b'block':
                time.sleep(0.1)  # noqa: ASYNC251
            elif path in {b'wait', b'half'}:
                await asyncio.sleep(10)
        except asyncio.CancelledError:
            if path == b'wait':
                await reply.send_whole(502, b'Stopped', (), path)
            raise
        body = path
        if path in {b'large', b'medium'}:
            body = bytes(LARGE_BYTES if path == b'large' else MEDIUM_BYTES)
        await reply.send_whole(200, b'OK', (), body)

    async def _refuse(self, reply, status, reason) -> None:
        await reply.send_whole(status, b'Refused', (), reason.encode())


async def test_whole_requests_before_the_end_get_their_answers_in_order():
    harness = Harness()
    await harness.connect(get('a'), get('block'), get('c'), b'nonsense\r\n\r\n')
    answers = (await harness.read_after_end()).split(b'HTTP/1.1 ')[1:]
    assert [answer[:3] for answer in answers] == [b'200'] * 3 + [b'400']
    assert harness.handled == [b'a', b'block', b'c']
    closes = [b'connection: close' in answer.lower() for answer in answers]
    assert closes == [False] * 3 + [True]
    await harness.expect_closed()


async def test_the_last_answer_announces_that_the_connection_closes():
    harness = Harness()
    await harness.connect(get('block'), get('block'))
    answers = (await harness.read_after_end()).lower().split(b'http/1.1 ')[1:]
    closes = [b'connection: close' in answer for answer in answers]
    assert closes == [False, True]


async def test_work_in_progress_is_stopped_and_its_refusal_delivered():
    harness = Harness()
    await harness.connect(get('wait'), get('wait'), get('c'))
    await harness.has_begun.wait()
    answers = (await harness.read_after_end()).split(b'HTTP/1.1 ')[1:]
    assert [answer[:3] for answer in answers] == [b'502', b'502', b'200']
    await harness.expect_closed()


async def test_an_answer_that_had_begun_does_not_look_complete():
    harness = Harness()
    await harness.connect(get('half'), get('c'))
    await harness.reader.readuntil(b'half')
    assert await harness.read_after_end() == b'\r\n'
    assert harness.handled == [b'half']
    await harness.expect_closed()


async def test_a_request_that_is_not_whole_is_neither_handled_nor_refused():
    harness = Harness()
    await harness.connect(
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx'
    )
    assert await harness.read_after_end() == b''
    assert not harness.handled
    await harness.expect_closed()


@pytest.mark.parametrize('is_bounded', [False, True])
async def test_a_complete_answer_is_delivered_to_its_end(is_bounded):
    memory = None
    if is_bounded:
        memory = ProcessMemory(MemoryBudget(), lambda _: Requester('c'))
        sweeps = asyncio.create_task(memory.run())
    harness = Harness(memory)
    await harness.connect(get('medium' if is_bounded else 'large'), get('c'))
    await harness.has_begun.wait()
    received = await harness.read_after_end()
    assert len(received) > (MEDIUM_BYTES if is_bounded else LARGE_BYTES)
    assert received.endswith(b'\r\n\r\nc')
    await harness.expect_closed()
    if is_bounded:
        sweeps.cancel()


async def test_a_caller_that_takes_nothing_after_the_end_is_disconnected():
    harness = Harness()
    await harness.connect(get('large'), get('c'))
    await harness.has_begun.wait()
    harness.writer.write_eof()
    await asyncio.sleep(0.1)
    assert harness.server.open_connection_count == 1
    await harness.expect_closed()
    assert harness.handled == [b'large']


@pytest.mark.parametrize('path', ['wait', 'block', 'half', 'large'])
@pytest.mark.parametrize('resets', [False, True])
async def test_a_caller_that_is_gone_costs_no_error_and_its_connection_ends(
    path, resets
):
    harness = Harness()
    await harness.connect(get(path), get('wait'), get('wait'))
    await harness.has_begun.wait()
    if resets:
        raw = harness.writer.get_extra_info('socket')
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    harness.writer.transport.abort()
    await harness.expect_closed()


async def test_a_reset_that_was_not_seen_yet_does_not_end_the_task_with_an_error():
    harness = Harness()
    await harness.connect()
    caller = socket.create_connection(harness.writer.get_extra_info('peername'))
    caller.send(get('block').replace(b'Host', b'Connection: close\r\nHost'))
    # While the handler holds up the event loop; the answer meets a reset.
    threading.Timer(0.05, caller.close).start()
    await harness.has_begun.wait()
    harness.writer.close()
    await harness.expect_closed()
