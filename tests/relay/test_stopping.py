"""Tests of the answers that callers get from a stopping router."""

import asyncio

from lagoonflow.clock import boottime_ms
from lagoonflow.gossip.messages import AgentState
from tests.relay.harness import RelayHarness, never_answer, runner_harness


async def harness_with_pending_load():
    """Return a relay whose only runner is loading the model."""
    harness = runner_harness()
    (backend,) = await harness.add_backends(never_answer, service='llm')
    agent = AgentState(
        'a', 'i-0', 1, loading='m1', order_ready_in_ms=900, can_order=True
    )
    harness.fleet.observe_agent(agent, boottime_ms())
    return harness, backend


async def test_a_call_that_waits_for_a_model_is_told_to_retry_at_once():
    """The process ends before a load of six seconds would.

    Another router can let the caller wait for the load.
    """
    harness, backend = await harness_with_pending_load()
    pending_answer = asyncio.create_task(
        harness.send_request('/hot/x', 'Model: m1')
    )
    await asyncio.sleep(0.1)
    stopped_ms = boottime_ms()
    harness.calls.finish_calls_by(stopped_ms + 400)
    status, headers, _ = await pending_answer
    assert status == 503
    assert 0 < float(headers['retry-after']) < 0.1
    assert boottime_ms() - stopped_ms < 300
    assert not backend.requests


async def test_a_call_that_arrives_while_stopping_is_refused_at_once():
    harness, _ = await harness_with_pending_load()
    harness.calls.finish_calls_by(boottime_ms() + 400)
    sent_ms = boottime_ms()
    status, _, _ = await harness.send_request('/hot/x', 'Model: m1')
    assert status == 503
    assert boottime_ms() - sent_ms < 200


async def test_a_call_that_was_sent_is_answered_before_the_process_ends():
    harness = RelayHarness()
    (backend,) = await harness.add_backends(never_answer)
    pending_answer = asyncio.create_task(harness.send_request('/book/x'))
    await asyncio.sleep(0.1)
    assert backend.requests
    stopped_ms = boottime_ms()
    harness.calls.finish_calls_by(stopped_ms + 300)
    status, headers, _ = await pending_answer
    assert status == 504
    assert 'retry-after' not in headers
    assert boottime_ms() - stopped_ms < 600
