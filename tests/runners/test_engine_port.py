"""A runner's task with the stand-in engine process, and its faults."""

import asyncio

import pytest

from lagoonflow.calls.messages import AttemptId, AttemptRequest, Generation
from lagoonflow.clients.engine import EngineClient
from lagoonflow.clock import boottime_ms
from lagoonflow.placement.messages import (
    Ack,
    BidRequest,
    Decision,
    PermitReply,
)
from lagoonflow.placement.peers import RankedPeers
from lagoonflow.runners.engine_port import EngineClientPort
from lagoonflow.runners.events import Finished, Started
from lagoonflow.runners.settings import RunnerSettings
from lagoonflow.runners.state import RunnerState
from lagoonflow.runners.task import RunnerTask
from lagoonflow.streams.messages import Versions
from lagoonflow.wire import methods
from loopback.http import counts, set_faults
from tests.runners.fakes import FakeReleases, adapter_spec, model_spec

pytestmark = pytest.mark.process
FLAGS = (
    '--memory-mb=250',
    '--local-checkpoints=a@1:disk,b@1:disk',
    '--disk-load-ms=200',
    '--tokens-per-s=500',
    '--first-token-ms=5',
)


async def send(_name, method, message):
    if method is methods.PERMIT:
        return PermitReply(message.permit_id, True, 0, Versions())
    return Ack(Versions())


class Agent:
    def __init__(self, address, nonce='n1', **settings):
        releases = FakeReleases(
            {'a': model_spec(), 'b': model_spec(memory_mb=200)},
            {'x': adapter_spec('a')},
        )
        self.client = EngineClient(address)
        self.state = RunnerState(
            RunnerSettings('agent', may_follow_another=False, **settings),
            releases,
            lambda *_key: True,
        )
        self.runner = RunnerTask(
            self.state,
            EngineClientPort(self.client, nonce),
            RankedPeers(send, lambda _model: ('agent',), lambda: ('agent',)),
            boottime_ms,
            nonce,
        )

    async def __aenter__(self):
        self.task = asyncio.create_task(self.runner.run())
        for _ in range(200):
            if self.state.components.is_reconciled:
                break
            await asyncio.sleep(0.01)
        return self

    async def __aexit__(self, *error):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.client.aclose()

    def load(self, model):
        bid = self.runner.bid(BidRequest(f'bid-{model}', model, Versions()))
        assert bid.refusal is None
        decision = Decision(
            f'd-{model}', bid.bid_id, model, '1', 'agent', 'home', Versions()
        )
        assert self.runner.decide(decision).refusal is None

    async def submit_request(self, name, model='a', adapter='', tokens=20):
        request = AttemptRequest(
            AttemptId(name, 1),
            'router',
            'org',
            'key',
            20_000,
            Versions(),
            Generation(model, adapter, 'a prompt', tokens),
        )
        return [event async for event in self.runner.submit(request)]


def is_complete(events, tokens=20):
    indexes = []
    for event in events[1:-1]:
        indexes.extend(range(event.index, event.index + event.tokens))
    ends = isinstance(events[0], Started) and isinstance(events[-1], Finished)
    return ends and indexes == list(range(tokens))


@pytest.fixture
def address(processes):
    process = processes.start('engine', 'standins.engine', *FLAGS)
    process.wait_listening()
    return process.address


async def test_cold_requests_wait_for_one_load(address):
    async with Agent(address) as agent:
        agent.load('a')
        answers = await asyncio.gather(
            *(agent.submit_request(f'r{number}') for number in range(10)),
            agent.submit_request('with-adapter', adapter='x'),
        )
        assert all(map(is_complete, answers))
    assert counts(address)['loads'] == {'a': 1}


async def test_models_that_do_not_fit_together_take_turns(address):
    async with Agent(address) as agent:
        agent.load('a')
        first = asyncio.create_task(agent.submit_request('r1', tokens=200))
        await asyncio.sleep(0.4)
        agent.load('b')
        second = await agent.submit_request('r2', 'b')
        assert is_complete(await first, 200)
        assert is_complete(second)
    assert counts(address)['overcommit_attempts'] == 0


async def test_restarted_agent_takes_over_a_load_in_progress(address):
    async with Agent(address) as agent:
        agent.load('a')
        await asyncio.sleep(0.05)
    async with Agent(address, nonce='n2') as agent:
        assert is_complete(await agent.submit_request('r1'))
    assert counts(address)['loads'] == {'a': 1}


@pytest.mark.parametrize(
    'faults',
    [
        {'lose_order_answers': 1},
        {'fail_loads': 1},
        {'order_delay_ms': 1_500},
    ],
)
async def test_load_survives_a_fault(address, faults):
    set_faults(address, **faults)
    async with Agent(address) as agent:
        agent.load('a')
        assert is_complete(await agent.submit_request('r1'))
    assert counts(address)['overcommit_attempts'] == 0


async def test_stalled_stream_is_resumed(address):
    async with Agent(address) as agent:
        agent.load('a')
        asking = asyncio.create_task(agent.submit_request('r1', tokens=300))
        await asyncio.sleep(0.5)
        set_faults(address, freeze_streams=True)
        assert is_complete(await asking, 300)
