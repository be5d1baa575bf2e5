"""Calls of a plain service: queueing, withdrawal and deadlines."""

import asyncio

import pytest

from lagoonflow.calls.executor import (
    AnswerBegun,
    BodyProduced,
    Finished,
    Refused,
    Started,
)
from lagoonflow.calls.messages import (
    AttemptId,
    AttemptRequest,
    ServiceAnswer,
    ServiceCall,
)
from lagoonflow.calls.service_executor import ServiceExecutor, ServiceLimits
from lagoonflow.results import Refusal, Result
from lagoonflow.streams.messages import Versions

HEAD = ServiceAnswer(204, ())


class FakeClient:
    def __init__(self, *parts):
        self.parts = parts
        self.gate = asyncio.Event()
        self.calls = 0

    async def call(self, call):
        self.calls += 1
        await self.gate.wait()
        for part in self.parts:
            yield part


def request(number=1, deadline_in_ms=1000):
    call = ServiceCall('portal', 'POST', '/', '', (), b'', False)
    return AttemptRequest(
        AttemptId(f'request-{number}', 1),
        'router',
        'org',
        'key',
        deadline_in_ms,
        Versions(),
        service_call=call,
    )


async def run_to_end(executor, one):
    return [event async for event in executor.run(one)]


@pytest.fixture
def client():
    return FakeClient(HEAD, b'body')


@pytest.fixture
def executor(client):
    return ServiceExecutor(client, ServiceLimits(max_running=1, max_waiting=1))


async def test_call_is_answered(executor, client):
    client.gate.set()
    events = await run_to_end(executor, request())
    kinds = [type(event) for event in events]
    assert kinds == [Started, AnswerBegun, BodyProduced, Finished]


async def test_refusal_of_the_client_ends_the_call():
    refusal = Refusal(Result.OUTCOME_UNKNOWN, 'broken', not_run=False)
    client = FakeClient(HEAD, refusal)
    client.gate.set()
    events = await run_to_end(ServiceExecutor(client), request())
    assert events[-1] == Refused(refusal)


async def test_waiting_call_can_be_withdrawn_and_a_running_one_not(
    executor, client
):
    running = asyncio.create_task(run_to_end(executor, request(1)))
    await asyncio.sleep(0)
    waiting = asyncio.create_task(run_to_end(executor, request(2)))
    await asyncio.sleep(0)
    (full,) = await run_to_end(executor, request(3))
    assert full.refusal.code is Result.TOO_MANY_WAITING
    assert not executor.withdraw(request(1).attempt)
    assert executor.withdraw(request(2).attempt)
    client.gate.set()
    await running
    (revoked,) = await waiting
    assert revoked.refusal.not_run
    assert client.calls == 1
    assert len(await run_to_end(executor, request(4))) == 4


async def test_call_that_can_not_start_before_its_deadline_is_refused(
    executor, client
):
    running = asyncio.create_task(run_to_end(executor, request(1)))
    await asyncio.sleep(0)
    (late,) = await run_to_end(executor, request(2, deadline_in_ms=20))
    assert late.refusal.code is Result.DEADLINE_UNREACHABLE
    assert late.refusal.not_run
    client.gate.set()
    await running
    assert client.calls == 1


async def test_call_that_waited_is_rechecked_before_it_starts(client):
    withdrawn = Refusal(Result.KEY_WITHDRAWN, 'withdrawn')
    limits = ServiceLimits(max_running=1, max_waiting=1)
    refusals = [None, withdrawn]
    executor = ServiceExecutor(client, limits, lambda _: refusals.pop(0))
    first = asyncio.create_task(run_to_end(executor, request(1)))
    await asyncio.sleep(0)
    second = asyncio.create_task(run_to_end(executor, request(2)))
    client.gate.set()
    await first
    assert await second == [Refused(withdrawn)]
    assert client.calls == 1
    refusals.append(None)
    assert (await run_to_end(executor, request(3)))[-1] == Finished(
        first.result()[-1].finish
    )
