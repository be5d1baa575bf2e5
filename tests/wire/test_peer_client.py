"""gRPC calls between two members over the loopback interface."""

import asyncio
import contextlib

import pytest

from lagoonflow.calls.messages import (
    AttemptId,
    AttemptRequest,
    AttemptState,
    Chunk,
    RevokeReply,
    RevokeRequest,
)
from lagoonflow.results import Refusal, Result
from lagoonflow.streams.messages import Versions
from lagoonflow.wire.channel_pool import MAX_CALLS_PER_CHANNEL, Endpoint
from lagoonflow.wire.connection_settings import ConnectionSettings
from lagoonflow.wire.grpc_server import GrpcServer, Route
from lagoonflow.wire.methods import REVOKE, RUN
from lagoonflow.wire.peer_client import PeerClient

ATTEMPT = AttemptId('request', 1)
REVOKE_REQUEST = RevokeRequest(ATTEMPT, 'router', Versions(3, 4))
RUN_REQUEST = AttemptRequest(ATTEMPT, 'router', 'org', 'key', 1000, Versions())


class FakeAgent:
    """Answers Run with `chunks` chunks; if `is_stalled`, never ends the call.

    A stalled agent does not answer Revoke either.
    """

    def __init__(self, chunks=2, is_stalled=False):
        self.chunks = chunks
        self.is_stalled = is_stalled
        self.running = 0

    async def revoke(self, request):
        if self.is_stalled:
            await asyncio.sleep(3600)
        return RevokeReply(
            request.attempt, AttemptState.REVOKED, request.versions
        )

    async def run(self, request):
        self.running += 1
        try:
            for index in range(self.chunks):
                yield Chunk(request.attempt, index, AttemptState.STARTED, 'a')
            if self.is_stalled:
                await asyncio.sleep(3600)
        finally:
            self.running -= 1


@contextlib.asynccontextmanager
async def serving(agent, **settings):
    server = GrpcServer([Route(REVOKE, agent.revoke), Route(RUN, agent.run)])
    port = await server.start('127.0.0.1', 0)
    endpoints = {'agent': Endpoint('127.0.0.1', port)}
    peers = PeerClient(endpoints.get, ConnectionSettings(**settings))
    try:
        yield peers, endpoints
    finally:
        peers.close()
        await server.close()


async def wait_until(condition, timeout_s=5):
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


async def collect(peers, progress_timeout_ms=1000):
    stream = peers.stream('agent', RUN, RUN_REQUEST, progress_timeout_ms)
    return [reply async for reply in stream]


async def test_unary_call_returns_the_reply():
    async with serving(FakeAgent()) as (peers, _):
        reply = await peers.send('agent', REVOKE, REVOKE_REQUEST)
    assert reply == RevokeReply(ATTEMPT, AttemptState.REVOKED, Versions(3, 4))


async def test_stream_yields_chunks_in_order():
    async with serving(FakeAgent(chunks=300)) as (peers, _):
        replies = await collect(peers)
    assert [chunk.index for chunk in replies] == list(range(300))


async def test_stalled_stream_ends_with_a_refusal():
    async with serving(FakeAgent(is_stalled=True)) as (peers, _):
        *chunks, refusal = await collect(peers, progress_timeout_ms=100)
    assert len(chunks) == 2
    assert refusal.code is Result.BACKEND_UNREACHABLE
    assert not refusal.not_run


async def test_timed_out_call_may_have_run():
    async with serving(FakeAgent(is_stalled=True)) as (peers, _):
        refusal = await peers.send('agent', REVOKE, REVOKE_REQUEST, 100)
    assert refusal.code is Result.BACKEND_UNREACHABLE
    assert not refusal.not_run


async def test_call_to_an_unreachable_member_was_not_run():
    peers = PeerClient({'agent': Endpoint('127.0.0.1', 1)}.get)
    refusal = await peers.send('agent', REVOKE, REVOKE_REQUEST)
    peers.close()
    assert refusal.code is Result.BACKEND_UNREACHABLE
    assert refusal.not_run


async def test_unknown_member_is_refused():
    refusal = await PeerClient({}.get).send('agent', REVOKE, REVOKE_REQUEST)
    assert refusal.code is Result.NOT_A_MEMBER


async def test_closing_the_stream_ends_the_handler():
    agent = FakeAgent(is_stalled=True)
    async with serving(agent) as (peers, _):
        stream = peers.stream('agent', RUN, RUN_REQUEST, 1000)
        async with contextlib.aclosing(stream) as replies:
            await anext(replies)
            assert agent.running == 1
        await wait_until(lambda: not agent.running)


async def test_calls_beyond_one_connection_open_another():
    agent = FakeAgent(is_stalled=True)
    calls = MAX_CALLS_PER_CHANNEL + 20
    long_timeouts = {'connect_timeout_ms': 30_000, 'call_timeout_ms': 30_000}
    async with serving(agent, **long_timeouts) as (peers, _):
        tasks = [
            asyncio.create_task(collect(peers, 60_000)) for _ in range(calls)
        ]
        await wait_until(lambda: agent.running == calls, 30)
        agent.is_stalled = False
        reply = await peers.send('agent', REVOKE, REVOKE_REQUEST)
        for task in tasks:
            task.cancel()
        await wait_until(lambda: not agent.running, 30)
    assert isinstance(reply, RevokeReply)


async def test_malformed_request_is_refused():
    async with serving(FakeAgent()) as (peers, _):
        bad = RevokeRequest(AttemptId(5, 'x'), 'router', Versions())
        refusal = await peers.send('agent', REVOKE, bad)
    assert refusal.code is Result.MALFORMED_MESSAGE


@pytest.mark.parametrize('is_moved', [False, True])
async def test_calls_reach_a_restarted_member(is_moved):
    async with serving(FakeAgent()) as (peers, endpoints):
        await peers.send('agent', REVOKE, REVOKE_REQUEST)
        async with serving(FakeAgent(is_stalled=True)) as (_, others):
            if is_moved:
                endpoints.update(others)
                refusal = await peers.send('agent', REVOKE, REVOKE_REQUEST, 50)
                assert isinstance(refusal, Refusal)
                endpoints.update(agent=Endpoint('127.0.0.1', 1))
        refusal = await peers.send('agent', REVOKE, REVOKE_REQUEST)
        assert isinstance(refusal, Refusal) is is_moved
