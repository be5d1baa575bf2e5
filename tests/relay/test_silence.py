"""What callers get when a runner's host falls silent."""

import asyncio

from lagoonflow.clock import boottime_ms
from lagoonflow.declared.messages import RouteKind
from lagoonflow.gossip.messages import AgentState
from tests.relay.world import World, events, hang, route, state

AGENT = AgentState('a', 'i-0', 1, can_order=True)


def fall_silent(world):
    """Make the last state of the agent an old one."""
    world.fleet.observe_agent(AGENT, boottime_ms() - 3000)


async def ask_silent(world, path):
    """Ask; the server falls silent once it has the request."""
    await world.add(hang, events(1, 2))
    world.fleet.observe_agent(AGENT, boottime_ms())
    asking = asyncio.create_task(world.ask(path))
    await asyncio.sleep(0.05)
    fall_silent(world)
    return asking


async def test_a_repeatable_request_goes_to_another_host():
    world = World()
    asking = await ask_silent(world, '/resume/x')
    world.sender.waits.abort_waits_on_silent_hosts(boottime_ms())
    status, _, body = await asyncio.wait_for(asking, 0.5)
    assert status == 200
    assert body.endswith(b'0\r\n\r\n')


async def test_another_request_waits_in_case_the_host_wakes():
    world = World()
    asking = await ask_silent(world, '/once/x')
    world.sender.waits.abort_waits_on_silent_hosts(boottime_ms())
    await asyncio.sleep(0.05)
    assert not asking.done()
    asking.cancel()


async def test_its_caller_gets_an_answer_before_it_leaves():
    """Else the host would run requests of callers that have left."""
    world = World()
    slow = route(RouteKind.STREAM, '/slow/', timeout_ms=9000, most_sends=1)
    world.view.apply(state(2, routes=(slow,)))
    asking = await ask_silent(world, '/slow/x')
    asked_ms = boottime_ms()
    while not asking.done() and boottime_ms() < asked_ms + 3000:
        fall_silent(world)
        world.sender.waits.abort_waits_on_silent_hosts(boottime_ms())
        await asyncio.sleep(0.02)
    assert asking.result()[0] == 502
    assert boottime_ms() < asked_ms + 2000


async def test_a_host_that_still_answers_is_not_silent():
    """Its agent alone has ended."""
    world = World()
    asking = await ask_silent(world, '/resume/x')
    world.fleet.liveness.note_answer_part('i-0', boottime_ms())
    world.sender.waits.abort_waits_on_silent_hosts(boottime_ms())
    await asyncio.sleep(0.05)
    assert not asking.done()
    asking.cancel()


async def test_an_agent_that_says_it_ends_is_not_missed():
    world = World()
    asking = await ask_silent(world, '/resume/x')
    stopping = AgentState('a', 'i-0', 1, is_stopping=True)
    world.fleet.observe_agent(stopping, boottime_ms() - 3000)
    world.sender.waits.abort_waits_on_silent_hosts(boottime_ms())
    await asyncio.sleep(0.05)
    assert not asking.done()
    asking.cancel()
