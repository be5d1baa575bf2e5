"""Tests of waits for agents while this process stands still."""

import asyncio
import time
import types

import pytest

from lagoonflow.backends.choosing import Wake
from lagoonflow.backends.messages import BackendServer
from lagoonflow.clock import boottime_ms
from lagoonflow.gossip.messages import AgentState, HeldModelState
from lagoonflow.relay.attempts import Attempts
from lagoonflow.relay.placing import WAKE_SLACK_MS, Placer, RequestedLoad
from tests.relay.harness import answer_events, runner_harness


def stall():
    """Hold the event loop up."""
    time.sleep(1)


async def test_a_stall_does_not_use_up_the_wait_for_the_first_states_of_agents():
    harness = runner_harness()
    await harness.add_backends(answer_events(1, 2), service='llm')
    pending_answer = asyncio.create_task(
        harness.send_request('/hot/x', 'Model: m1')
    )
    await asyncio.sleep(0.1)
    stall()
    await asyncio.sleep(0.1)
    agent = AgentState('a', 'i-0', 1, (HeldModelState('m1'),), can_order=True)
    harness.fleet.observe_agent(agent, boottime_ms())
    harness.calls.placer.fleet_changed.notify()
    assert (await pending_answer)[0] == 200


@pytest.mark.parametrize('stalled_ms', [0, 2000])
def test_a_runner_is_not_left_for_an_agent_that_could_not_be_heard(stalled_ms):
    server = BackendServer('i-0', 'llm', '127.0.0.1:1', 'z', 8, started_ms=1)
    times = types.SimpleNamespace(now_ms=0, stalled_ms=0)
    placer = Placer(
        types.SimpleNamespace(choose=lambda *_: Wake(server, 500, 500)),
        types.SimpleNamespace(refuse_crashing=lambda _: None),
        limits=None,
        clock=lambda: times.now_ms,
        stalled_ms=lambda: times.stalled_ms,
    )
    call = types.SimpleNamespace(model='m1', adapter='')
    admitted = types.SimpleNamespace(
        call=call,
        service=None,
        urgency=1,
        deadline_at_ms=9000,
        time_left_ms=lambda now_ms: 9000 - now_ms,
        start_time_left_ms=lambda now_ms: 9000 - now_ms,
    )
    record = types.SimpleNamespace(note_choice=lambda *_: None)
    attempts, requested = Attempts(), RequestedLoad()
    for now_ms in (0, 500 + WAKE_SLACK_MS + 100):
        times.now_ms = now_ms
        times.stalled_ms = stalled_ms if now_ms else 0
        placer.place_now(record, admitted, attempts, requested, None)
    assert bool(attempts.excluded) == (not stalled_ms)
