"""What callers get from a router that stops."""

import asyncio

from lagoonflow.clock import boottime_ms
from lagoonflow.gossip.messages import AgentState
from tests.relay.world import World, hang, runner_world


async def waiting_world():
    """A relay whose only runner would load the model from the store."""
    world = runner_world()
    (backend,) = await world.add(hang, service='llm')
    agent = AgentState(
        'a', 'i-0', 1, loading='m1', order_ready_in_ms=900, can_order=True
    )
    world.fleet.observe_agent(agent, boottime_ms())
    return world, backend


async def test_a_call_that_waits_for_a_model_is_refused_for_another_router():
    """It waited for a load of six seconds, and the process ended first."""
    world, backend = await waiting_world()
    asking = asyncio.create_task(world.ask('/hot/x', 'Model: m1'))
    await asyncio.sleep(0.1)
    stopped_ms = boottime_ms()
    world.calls.finish_calls_by(stopped_ms + 400)
    status, headers, _ = await asking
    assert status == 503
    assert 0 < float(headers['retry-after']) < 0.1
    assert boottime_ms() - stopped_ms < 300
    assert not backend.seen


async def test_a_call_that_comes_after_the_signal_is_refused_at_once():
    world, _ = await waiting_world()
    world.calls.finish_calls_by(boottime_ms() + 400)
    asked_ms = boottime_ms()
    status, _, _ = await world.ask('/hot/x', 'Model: m1')
    assert status == 503
    assert boottime_ms() - asked_ms < 200


async def test_a_call_that_was_sent_gets_an_answer_before_the_end():
    world = World()
    (backend,) = await world.add(hang)
    asking = asyncio.create_task(world.ask('/book/x'))
    await asyncio.sleep(0.1)
    assert backend.seen
    stopped_ms = boottime_ms()
    world.calls.finish_calls_by(stopped_ms + 300)
    status, headers, _ = await asking
    assert status == 504
    assert 'retry-after' not in headers
    assert boottime_ms() - stopped_ms < 600
