"""Calls over gRPC between a router and two agents.

Covers broken and silent connections, draining agents, and callers that read
slowly or disconnect.
"""

import asyncio
import contextlib
import dataclasses

import pytest

from lagoonflow.calls import actions
from lagoonflow.calls.buffer import BufferLimits
from lagoonflow.calls.policy import CallPolicy
from tests.calls.fleet import (
    POLICY,
    collect,
    expected,
    running_fleet,
    wait_until,
)

TOKENS = 60


@pytest.fixture
async def fleet():
    async with running_fleet() as running:
        yield running


async def produced_when_idle(engine):
    async with asyncio.timeout(10):
        produced = -1
        while produced < engine.produced:
            produced = engine.produced
            await asyncio.sleep(0.5)
    return produced


def first_agent(fleet):
    return fleet.agents['agent-1']


async def test_answer_is_complete(fleet):
    text, last, _ = await collect(fleet.start(TOKENS))
    assert text == expected(TOKENS)
    assert last.finish.usage.completion_tokens == TOKENS


@pytest.mark.guarantee_08
@pytest.mark.parametrize('on_tokens', [0, 1, 20, TOKENS - 1])
async def test_silent_connection_is_replaced(fleet, on_tokens):
    await collect(fleet.start(1))
    silence = first_agent(fleet).relay.silence_open
    text, last, gap_ms = await collect(fleet.start(TOKENS), on_tokens, silence)
    assert text == expected(TOKENS)
    assert isinstance(last, actions.DeliverFinish)
    assert len(first_agent(fleet).engine.started) == 2
    assert gap_ms < fleet.policy.progress_timeout_ms + 400


async def test_connection_reset_is_resumed(fleet):
    reset = first_agent(fleet).relay.cut_open
    text, _, gap_ms = await collect(fleet.start(TOKENS), 20, reset)
    assert text == expected(TOKENS)
    assert len(first_agent(fleet).engine.started) == 1
    assert gap_ms < fleet.policy.progress_timeout_ms


async def test_generation_continues_at_another_agent(fleet):
    cut = first_agent(fleet).relay.cut_all
    text, last, _ = await collect(fleet.start(TOKENS), 20, cut)
    assert text == expected(TOKENS)
    assert last.finish.usage.completion_tokens == TOKENS
    assert fleet.agents['agent-2'].engine.produced <= TOKENS - 20


async def test_concurrent_answers_survive_a_silent_connection():
    async with running_fleet(CallPolicy()) as fleet:
        calls = [fleet.start(TOKENS, 30_000) for _ in range(150)]
        silence = first_agent(fleet).relay.silence_open
        answers = await asyncio.gather(
            *(collect(call) for call in calls[1:]),
            collect(calls[0], 10, silence),
        )
    assert {text for text, _, _ in answers} == {expected(TOKENS)}
    for agent in fleet.agents.values():
        started = agent.engine.started
        assert len(started) == len(set(started))


async def test_generation_stops_when_its_caller_disconnects(fleet):
    call = fleet.start(10_000)
    async with contextlib.aclosing(call.answer()) as parts:
        await anext(parts)
    await wait_until(lambda: not first_agent(fleet).calls.open_count)
    assert first_agent(fleet).engine.produced < 100
    await wait_until(lambda: not fleet.router.open_count)


async def test_slow_caller_throttles_the_engine(fleet):
    first_agent(fleet).engine.token_ms = 0
    call = fleet.start(100_000, 60_000)
    async with contextlib.aclosing(call.answer()) as parts:
        await anext(parts)
        produced = await produced_when_idle(first_agent(fleet).engine)
    limits = BufferLimits()
    assert produced * 2 < 4 * limits.pending_bytes + limits.retained_bytes


@pytest.mark.guarantee_12
async def test_draining_agent_returns_its_queued_attempts(fleet):
    agent = first_agent(fleet)
    running = asyncio.create_task(collect(fleet.start(TOKENS)))
    await wait_until(lambda: agent.engine.started)
    agent.engine.gate.clear()
    waiting = asyncio.create_task(collect(fleet.start(TOKENS)))
    await wait_until(lambda: agent.engine.waiting)
    await agent.calls.drain()
    answers = await asyncio.gather(running, waiting)
    assert [text for text, _, _ in answers] == [expected(TOKENS)] * 2
    assert len(agent.engine.started) == 1
    assert len(fleet.agents['agent-2'].engine.started) == 1


@pytest.mark.guarantee_09
async def test_call_that_can_not_start_is_revoked_before_its_deadline(fleet):
    for agent in fleet.agents.values():
        agent.engine.gate.clear()
    _, last, _ = await collect(fleet.start(TOKENS, 800))
    assert last.refusal.not_run
    for agent in fleet.agents.values():
        agent.engine.gate.set()
    await asyncio.sleep(0.1)
    assert not first_agent(fleet).engine.started


async def test_agent_stops_attempts_that_nobody_reads():
    policy = dataclasses.replace(POLICY, orphan_timeout_ms=100)
    async with running_fleet(policy) as fleet:
        agent = first_agent(fleet)
        sweeping = asyncio.create_task(agent.calls.sweep_forever())
        reading = asyncio.create_task(collect(fleet.start(100_000)))
        await wait_until(lambda: agent.engine.started)
        agent.relay.cut_all()
        await wait_until(lambda: agent.engine.cancelled)
        await wait_until(lambda: not agent.calls.open_count)
        reading.cancel()
        sweeping.cancel()
