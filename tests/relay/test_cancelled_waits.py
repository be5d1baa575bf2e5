"""Calls whose wait for something is ended from inside, not by the caller."""

import asyncio
import dataclasses
import socket
from collections.abc import Callable

import pytest

from lagoonflow.backends.messages import BackendServer
from lagoonflow.clock import boottime_ms
from lagoonflow.http1.channel import ConnectionClosedError
from lagoonflow.http1.connection_memory import ProcessMemory, Requester
from lagoonflow.http1.memory_budget import TOTAL_BYTES, Direction, MemoryBudget
from tests.relay.harness import (
    ORGANISATION,
    SERVICE,
    RelayHarness,
    Script,
    answer_with,
    encode_request,
    never_answer,
    read_framed_answer,
    runner_harness,
)
from tests.relay.test_software_versions import RESUME, follow_older_list

HEAD = b'HTTP/1.1 200 OK\r\nServer-Seal: s\r\n'
PART = HEAD + b'Content-Length: 9\r\n\r\nok'
EVENT = HEAD + (
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'a\r\ndata: xx\n\n\r\n'
)
NO_ROOM = dict.fromkeys(Direction, 1)
# More than the kernel takes for a server that reads nothing.
LARGE = 'x' * 3_000_000


def begin(content: bytes) -> Script:
    """Return a script that begins an answer, and doesn't end it."""

    async def script(writer, received) -> None:
        writer.write(content)
        await never_answer(writer, received)

    return script


@dataclasses.dataclass(frozen=True)
class Wait:
    """A wait of a call, and what its caller gets when it is ended.

    :param function: qualified name of the coroutine that waits.
    :param status: status of the answer, which is cut off where it is 200.
    :param script: what the server does; ``None`` for one that reads nothing.
    :param unsent: bytes of the body that the caller holds back.
    """

    function: str
    path: str = '/book/x'
    status: int = 502
    script: Script | None = never_answer
    body: str = ''
    headers: tuple[str, ...] = ()
    unsent: int = 0
    memory: dict[Direction, int] | None = None
    is_sent: bool = True


UNREAD = Wait('RequestReader._read_body', status=500, is_sent=False)
WAITS = (
    dataclasses.replace(UNREAD, body='xx', unsent=1),
    dataclasses.replace(
        UNREAD,
        function='ConnectionMemory.hold_body',
        body='x' * 9000,
        unsent=1,
        memory=NO_ROOM,
    ),
    Wait('Admitter.admit', '/resume/x', headers=RESUME, is_sent=False),
    Wait('Placer.place', '/hot/x', headers=('Model: m1',), is_sent=False),
    Wait('ConnectionPool.connect', status=503, is_sent=False),
    Wait('open_in_time', status=503, is_sent=False),
    Wait('ClientConnection.send', script=None, body=LARGE, memory=TOTAL_BYTES),
    Wait('ClientConnection.read_head'),
    Wait('ClientConnection.read_head', '/read/x'),
    Wait('ClientConnection.read_body', script=begin(PART)),
    Wait(
        'ResponseWriter.wait_for_room',
        script=answer_with('200 OK', 'x' * 9000),
        memory=NO_ROOM,
    ),
    Wait('AnswerStream._next_part', '/once/x', 200, begin(EVENT)),
    Wait('AnswerStream._next_part', '/resume/x', 200, begin(EVENT)),
)


def cancel(waiter: asyncio.Future) -> None:
    waiter.cancel()


def close_another_connection(waiter: asyncio.Future) -> None:
    waiter.set_exception(ConnectionClosedError('connection closed by the peer'))


async def start(wait: Wait) -> RelayHarness:
    """Return a relay in which a call waits as described."""
    if wait.path.startswith('/hot'):
        unknown = BackendServer(
            'i-0', 'llm', '127.0.0.1:1', 'z', 8, started_ms=1
        )
        harness = runner_harness(unknown)
    elif wait.memory is None:
        harness = RelayHarness()
    else:
        budget = MemoryBudget(wait.memory)
        harness = RelayHarness(ProcessMemory(budget, lambda _: Requester('')))
    if wait.script is not None and not wait.path.startswith('/hot'):
        await harness.add_backends(wait.script)
    if wait.function == 'Admitter.admit':
        await follow_older_list(harness, 'v1')
    return harness


async def reach(function: str) -> asyncio.Task:
    """Return the task of the only call that waits in a function."""
    async with asyncio.timeout(3):
        while True:
            await asyncio.sleep(0.01)
            for task in asyncio.all_tasks():
                if function in _suspended_in(task.get_coro()):
                    return task


def _suspended_in(coroutine) -> list[str]:
    functions = []
    while hasattr(coroutine, 'cr_code'):
        functions.append(coroutine.cr_code.co_qualname)
        coroutine = coroutine.cr_await
    return functions


def leftovers(harness: RelayHarness) -> list[float]:
    """Return what is still counted for calls."""
    pools = harness.sender.pools._pools.values()
    return [
        harness.fleet.health('i-0').inflight,
        harness.fleet.held_bytes.most_bytes,
        len(harness.calls._deadlines._timers),
        sum(len(pool._in_use) for pool in pools),
        harness.http.unanswered_closes,
    ]


@pytest.mark.parametrize('end', [cancel, close_another_connection])
@pytest.mark.parametrize(
    'wait', WAITS, ids=lambda wait: wait.function + wait.path
)
async def test_a_call_is_answered_when_what_it_waits_for_is_ended(
    wait: Wait, end: Callable[[asyncio.Future], None], monkeypatch
):
    harness = await start(wait)
    with socket.create_server(('127.0.0.1', 0)) as unread:
        if wait.script is None:
            host, port = unread.getsockname()
            server = BackendServer(
                'i-0', SERVICE, f'{host}:{port}', 'z', 8, started_ms=1
            )
            harness.fleet.roster.put(server, boottime_ms())
        reader, writer = await harness.connect()
        if wait.function in {'ConnectionPool.connect', 'open_in_time'}:
            loop = asyncio.get_running_loop()
            monkeypatch.setattr(
                loop, 'create_connection', lambda *_: loop.create_future()
            )
        content = encode_request(wait.path, *wait.headers, body=wait.body)
        writer.write(content[: len(content) - wait.unsent])
        task = await reach(wait.function)
        end(task._fut_waiter)
        answer = await read_framed_answer(reader)
    assert answer.status == wait.status
    assert answer.is_complete == (wait.status != 200)
    assert leftovers(harness) == [0] * 5
    bucket = harness.rate_limiter._buckets[ORGANISATION.name]
    assert bool(bucket.charged_tokens) == wait.is_sent


async def test_an_answer_that_waits_to_be_taken_is_delivered_after_a_cancelled_wait():
    harness = await start(
        Wait('', script=answer_with('200 OK', LARGE), memory=TOTAL_BYTES)
    )
    reader, writer = await harness.connect()
    writer.transport.pause_reading()
    writer.write(encode_request('/read/x'))
    task = await reach('ConnectionMemory.wait_until_taken')
    task._fut_waiter.cancel()
    await asyncio.sleep(0.05)
    writer.transport.resume_reading()
    assert (await read_framed_answer(reader)).is_complete


async def test_an_idle_connection_gets_no_answer_when_its_wait_is_cancelled():
    harness = await start(Wait(''))
    reader, _ = await harness.connect()
    task = await reach('RequestReader._wait_for_request')
    task._fut_waiter.cancel()
    assert await reader.read() == b''


async def test_a_stop_ends_a_call_whose_wait_is_cancelled_at_the_same_time():
    harness = await start(Wait(''))
    reader, writer = await harness.connect()
    writer.write(encode_request('/read/x'))
    task = await reach('ClientConnection.read_head')
    task._fut_waiter.cancel()
    task.cancel()
    assert await reader.read() == b''
    assert (await asyncio.wait([task], timeout=1))[0]


@pytest.mark.parametrize('is_deadline_first', [False, True])
async def test_a_call_is_answered_when_a_wait_is_cancelled_at_its_deadline(
    is_deadline_first,
):
    harness = await start(Wait(''))
    reader, writer = await harness.connect()
    writer.write(encode_request('/read/x'))
    task = await reach('ClientConnection.read_head')
    waiter = task._fut_waiter
    ((_, timer),) = harness.calls._deadlines._timers.values()
    ends = [timer._expire, waiter.cancel]
    for end in ends if is_deadline_first else reversed(ends):
        end()
    assert (await read_framed_answer(reader)).status == 504
