"""Servers get no more calls at once than connections that they accept."""

import asyncio
import dataclasses
import socket
from collections import Counter

import pytest

from lagoonflow.backends.messages import BackendServer
from lagoonflow.declared.messages import Service
from tests.relay.harness import (
    SERVICE,
    RelayHarness,
    answer_with,
    encode_request,
    read_answer,
    state,
)

LIMIT = 3


class BoundedServer:
    """Resets the connections beyond those that it accepts."""

    def __init__(self, work_s: float) -> None:
        self.active = 0
        self._work_s = work_s

    async def answer(self, writer, received):
        if self.active == LIMIT:
            writer.transport.abort()
            return False
        self.active += 1
        await asyncio.sleep(self._work_s)
        self.active -= 1
        return await answer_with('200 OK', 'fine')(writer, received)


@pytest.mark.parametrize(
    ('servers', 'work_s', 'calls', 'refused'),
    [(1, 0.03, 2 * LIMIT, 0), (2, 0.6, 2 * LIMIT, 0), (1, 0.6, LIMIT + 2, 2)],
)
async def test_calls_beyond_the_connections_of_a_server_do_not_break(
    servers, work_s, calls, refused
):
    """They go to another server, or wait, or are refused without a send."""
    harness = RelayHarness()
    limited = {SERVICE: Service(SERVICE, LIMIT)}
    harness.view.apply(state(2, services=limited))
    backends = await harness.add_backends(
        *(BoundedServer(work_s).answer for _ in range(servers))
    )
    await harness.http.listen('127.0.0.1:0')
    opened = [await harness.open_connection() for _ in range(calls)]
    for _, writer in opened:
        writer.write(encode_request('/book/x'))
    answers = await asyncio.gather(*(read_answer(one) for one, _ in opened))
    statuses = Counter(status for status, _, _ in answers)
    assert statuses == Counter({200: calls - refused, 503: refused})
    assert sum(len(one.requests) for one in backends) == calls - refused
    for _, writer in opened:
        writer.close()


async def test_a_failed_connection_leaves_nothing_of_a_server_that_is_gone():
    harness = RelayHarness()
    pools = harness.sender.pools
    unused = socket.create_server(('127.0.0.1', 0))
    port = unused.getsockname()[1]
    unused.close()
    gone = BackendServer('i-0', 'app', f'127.0.0.1:{port}', 'z', 8)
    assert not pools.prepare(gone, 'a1')
    pools.forget([gone.instance])
    await asyncio.sleep(0.1)
    assert not pools._opening
    assert not pools._refused_ms


@pytest.mark.parametrize('address', ['', '127.0.0.1:1'])
async def test_the_connection_of_a_call_is_closed_whose_server_is_gone(address):
    """It stayed open for good, in a pool of a server that nobody lists."""
    harness = RelayHarness()
    pools = harness.sender.pools

    async def answer_late(writer, received):
        server = harness.fleet.roster.get('i-0')
        pools.forget([server.instance])
        if address:
            pools.pool(dataclasses.replace(server, address=address))
        await answer_with('200 OK', 'fine')(writer, received)

    (backend,) = await harness.add_backends(answer_late)
    status, _, body = await harness.send_request('/read/x')
    assert (status, body) == (200, b'fine')
    await asyncio.wait_for(backend.closed_by_peer.wait(), 1)
    known = [pool.address for pool in pools._pools.values()]
    assert known == ([address] if address else [])
