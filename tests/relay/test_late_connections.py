"""Tests of servers that accept connections late."""

import asyncio
import socket

import pytest

from lagoonflow.backends.messages import BackendServer
from lagoonflow.clock import boottime_ms
from lagoonflow.declared.messages import RouteKind
from lagoonflow.relay import openings
from tests.relay.harness import (
    SERVICE,
    Backend,
    RelayHarness,
    answer_with,
    encode_request,
    read_answer,
    route,
    state,
)

OK_ANSWER = answer_with('200 OK', 'fine')


class LateServer:
    """A server whose queue of connections is full until it accepts.

    The kernel of a caller repeats its attempt after one second.
    """

    def __init__(self, harness, instance='i-0'):
        self.backend = Backend(OK_ANSWER)
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=0)
        host, port = self._listener.getsockname()
        self._first = [socket.socket() for _ in range(2)]
        for one in self._first:
            one.setblocking(False)
            one.connect_ex((host, port))
        server = BackendServer(
            instance, SERVICE, f'{host}:{port}', 'z', 8, started_ms=1
        )
        harness.fleet.roster.put(server, boottime_ms())

    def close(self):
        for one in (*self._first, self._listener):
            one.close()

    async def accept(self):
        await asyncio.start_server(self.backend._serve, sock=self._listener)


def connecting_count():
    """Return how many attempts to connect go on."""
    names = (one.get_coro().__qualname__ for one in asyncio.all_tasks())
    return sum('ConnectionPool.connect' in name for name in names)


def late_harness(kind=RouteKind.IDEMPOTENT, timeout_ms=5000):
    harness = RelayHarness()
    slow = route(kind, '/x/', timeout_ms=timeout_ms, most_sends=1)
    harness.view.apply(state(2, routes=(slow,)))
    return harness


@pytest.mark.parametrize('kind', [RouteKind.IDEMPOTENT, RouteKind.AT_MOST_ONCE])
async def test_the_only_server_is_waited_for_until_it_accepts(kind):
    """A call was refused after 400 ms with 4.6 s left."""
    harness = late_harness(kind)
    late = LateServer(harness)
    asyncio.get_running_loop().call_later(
        0.7, lambda: asyncio.ensure_future(late.accept())
    )
    status, _, body = await harness.send_request('/x/1')
    assert (status, body) == (200, b'fine')
    assert len(late.backend.requests) == 1
    # Two fill the queue, the third is the call's.
    assert late.backend.connections <= 3


async def test_another_server_is_preferred_to_one_that_accepts_late():
    harness = late_harness()
    _, other = await harness.add_backends(OK_ANSWER, OK_ANSWER)
    late = LateServer(harness)
    began_ms = boottime_ms()
    status, _, _ = await harness.send_request('/x/1')
    assert status == 200
    assert boottime_ms() - began_ms < 900
    assert len(other.requests) == 1
    await asyncio.sleep(0)
    assert not connecting_count()
    late.close()


async def test_a_server_that_never_accepts_is_not_waited_for_again(monkeypatch):
    monkeypatch.setattr(openings, 'LONGEST_OPENING_MS', 800)
    harness = late_harness()
    late = LateServer(harness)
    reader, writer = await harness.connect()
    for least_ms, most_ms in ((700, 1300), (350, 700)):
        began_ms = boottime_ms()
        writer.write(encode_request('/x/1'))
        status, headers, _ = await read_answer(reader)
        assert status == 503
        assert 'retry-after' in headers
        assert least_ms < boottime_ms() - began_ms < most_ms
    assert not connecting_count()
    late.close()


async def test_a_call_without_time_is_refused_as_not_run_before_its_deadline():
    harness = late_harness(timeout_ms=900)
    late = LateServer(harness)
    began_ms = boottime_ms()
    status, _, _ = await harness.send_request('/x/1')
    assert status == 503
    assert 700 < boottime_ms() - began_ms < 900
    late.close()


async def test_an_attempt_to_connect_ends_when_its_caller_leaves():
    harness = late_harness()
    late = LateServer(harness)
    _, writer = await harness.connect()
    writer.write(encode_request('/x/1'))
    await asyncio.sleep(0.6)
    assert connecting_count() == 1
    writer.close()
    await asyncio.sleep(0.1)
    assert not connecting_count()
    late.close()


async def test_a_server_that_was_late_once_is_waited_for_again(monkeypatch):
    """It counted as down once its late connection was LONGEST_OPENING_MS old."""
    monkeypatch.setattr(openings, 'LONGEST_OPENING_MS', 1500)
    harness = late_harness()
    reader, writer = await harness.connect()
    for _ in range(2):
        late = LateServer(harness)
        asyncio.get_running_loop().call_later(
            0.7, lambda one=late: asyncio.ensure_future(one.accept())
        )
        writer.write(encode_request('/x/1'))
        status, _, body = await read_answer(reader)
        assert (status, body) == (200, b'fine')
        await asyncio.sleep(1)


async def test_a_connection_that_opens_after_its_server_is_gone_is_closed():
    """It stayed open in a pool that nothing used any more."""
    harness = late_harness()
    late = LateServer(harness)
    server = harness.fleet.roster.get('i-0')
    pool = harness.sender.pools.pool(server)
    sent = await harness.sender.pools.connect(server, 'a1', 5000)
    harness.sender.forget(['i-0'])
    await late.accept()
    await asyncio.wait_for(late.backend.closed_by_peer.wait(), 3)
    assert sent.opening.is_open
    assert pool.connection_count == 0
