"""Tasks of runners and homes together, with fake engines."""

import asyncio

import pytest

from lagoonflow.calls.messages import (
    AttemptId,
    AttemptRequest,
    Generation,
    Usage,
)
from lagoonflow.clock import boottime_ms
from lagoonflow.placement.home import HomeState
from lagoonflow.placement.messages import LocateRequest, Target
from lagoonflow.placement.peers import RankedPeers
from lagoonflow.placement.permits import StorePermits, StoreSettings
from lagoonflow.placement.settings import HomeSettings
from lagoonflow.placement.task import HomeTask
from lagoonflow.results import Refusal, Result
from lagoonflow.runners.events import (
    Finished,
    Refused,
    Started,
    StreamFailed,
    Tokens,
)
from lagoonflow.runners.settings import RunnerSettings
from lagoonflow.runners.state import RunnerState
from lagoonflow.runners.task import RunnerTask
from lagoonflow.streams.messages import Versions
from lagoonflow.wire import methods
from tests.runners.fakes import FakeEngine, FakeReleases, model_spec


class FakeEnginePort:
    """An engine whose loads take 50 ms and whose tokens take 5 ms."""

    def __init__(self):
        self.engine = FakeEngine()
        self.break_at_token = 0
        self.cancelled = []

    async def listing(self):
        return self.engine.listing()

    async def order(self, order):
        answer = self.engine.apply(order)
        asyncio.get_running_loop().call_later(0.05, self.engine.complete_loads)
        return answer

    async def generate(self, start, from_token):
        total = start.request.generation.max_tokens
        for index in range(from_token, total):
            if index and index == self.break_at_token:
                self.break_at_token = 0
                yield StreamFailed('broken', not_run=False)
                return
            await asyncio.sleep(0.005)
            yield Tokens(index, f't{index} ', 1)
        yield Finished('length', Usage(1, total))

    async def cancel(self, attempt):
        self.cancelled.append(attempt)


class Network:
    """Two agents, each with a runner and a home, and their messages."""

    def __init__(self):
        self.names = ('one', 'two')
        self.unreachable = set()
        self.engine_ports = {name: FakeEnginePort() for name in self.names}
        releases = FakeReleases({'a': model_spec(max_replicas=1)})
        peers = RankedPeers(
            self.send, lambda _model: self.names, lambda: self.names
        )
        self.runners = {}
        self.homes = {}
        for name in self.names:
            state = RunnerState(
                RunnerSettings(name, may_follow_another=False),
                releases,
                lambda *_key: True,
            )
            self.runners[name] = RunnerTask(
                state, self.engine_ports[name], peers, boottime_ms, 'nonce'
            )
            home = HomeState(
                HomeSettings(name, 'nonce'), releases, lambda _: self.names
            )
            permits = StorePermits(StoreSettings(10, 4))
            self.homes[name] = HomeTask(home, permits, peers, boottime_ms)

    async def send(self, name, method, message):
        await asyncio.sleep(0.001)
        if name in self.unreachable:
            return Refusal(Result.BACKEND_UNREACHABLE, 'down')
        home = self.homes[name]
        runner = self.runners[name]
        match method:
            case methods.LOCATE:
                return await home.locate(message)
            case methods.ANNOUNCE:
                return await home.announce(message)
            case methods.PERMIT:
                return await home.permit(message)
            case methods.LOAD_FINISHED:
                return await home.load_finished(message)
            case methods.BID:
                return runner.bid(message)
            case methods.DECIDE:
                return runner.decide(message)

    async def locate(self, home='one'):
        request = LocateRequest(Target('a'), 'org', 5_000, Versions())
        return await self.send(home, methods.LOCATE, request)


def make_request(number=1, tokens=10):
    return AttemptRequest(
        AttemptId(f'r{number}', 1),
        'router',
        'org',
        'key',
        5_000,
        Versions(),
        Generation('a', '', 'prompt', tokens),
    )


@pytest.fixture
async def network():
    network = Network()
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(task.run())
            for task in (*network.runners.values(), *network.homes.values())
        ]
        await asyncio.sleep(0.01)
        yield network
        for task in tasks:
            task.cancel()


async def collect(events):
    return [event async for event in events]


async def test_cold_burst_loads_once_and_answers_all(network):
    replies = await asyncio.gather(*(network.locate() for _ in range(20)))
    agents = {reply.places[0].agent for reply in replies}
    assert len(agents) == 1
    runner = network.runners[agents.pop()]
    answers = await asyncio.gather(
        *(collect(runner.submit(make_request(number))) for number in range(20))
    )
    for events in answers:
        assert isinstance(events[0], Started)
        assert [one.index for one in events[1:-1]] == list(range(10))
        assert isinstance(events[-1], Finished)
    assert sum(port.engine.loads for port in network.engine_ports.values()) == 1


async def test_broken_stream_is_resumed_without_a_gap(network):
    reply = await network.locate()
    name = reply.places[0].agent
    network.engine_ports[name].break_at_token = 4
    events = await collect(network.runners[name].submit(make_request()))
    assert [one.index for one in events[1:-1]] == list(range(10))
    assert isinstance(events[-1], Finished)


async def test_cancelled_generation_frees_its_slot(network):
    reply = await network.locate()
    name = reply.places[0].agent
    runner = network.runners[name]
    request = make_request(tokens=1_000)
    events = runner.submit(request)
    assert isinstance(await anext(events), Started)
    runner.cancel(request.attempt)
    rest = await collect(events)
    assert rest[-1].refusal.code is Result.CALLER_GONE
    await asyncio.sleep(0.01)
    assert network.engine_ports[name].cancelled == [request.attempt]
    assert len((await collect(runner.submit(make_request(2))))[1:-1]) == 10


async def test_revoked_attempt_never_runs(network):
    reply = await network.locate()
    runner = network.runners[reply.places[0].agent]
    events = runner.submit(make_request())
    assert runner.revoke(AttemptId('r1', 1))
    (event,) = await collect(events)
    assert isinstance(event, Refused)
    assert event.refusal.not_run
    assert not runner.revoke(AttemptId('r1', 1))


async def test_next_agent_acts_as_home_when_the_first_is_unreachable(network):
    network.unreachable.add('one')
    reply = await network.locate('two')
    assert [place.agent for place in reply.places] == ['two']


async def test_loads_continue_while_the_store_home_is_unreachable(network):
    network.unreachable.add('one')
    reply = await network.locate('two')
    runner = network.runners[reply.places[0].agent]
    events = await collect(runner.submit(make_request()))
    assert isinstance(events[-1], Finished)


async def test_paused_home_refuses_until_it_has_caught_up(network):
    network.homes['one'].pause()
    assert (await network.locate()).refusal.code is Result.NOT_HOME
    assert (await network.locate('two')).places
    network.homes['one'].caught_up()
    assert (await network.locate()).places
    assert sum(port.engine.loads for port in network.engine_ports.values()) == 1


async def test_drain_finishes_running_attempts_and_refuses_new_ones(network):
    reply = await network.locate()
    runner = network.runners[reply.places[0].agent]
    events = runner.submit(make_request())
    assert isinstance(await anext(events), Started)
    await runner.drain()
    assert isinstance((await collect(events))[-1], Finished)
    (refused,) = await collect(runner.submit(make_request(2)))
    assert refused.refusal.code is Result.SHUTTING_DOWN
