"""Tests of the answers that callers get from a stopping router."""

import asyncio

import pytest

from lagoonflow.backends.limits import LimitStatement
from lagoonflow.clock import boottime_ms
from lagoonflow.gossip.messages import AgentState
from tests.relay.harness import (
    RelayHarness,
    answer_events,
    answer_with,
    drop_connection,
    encode_request,
    never_answer,
    read_framed_answer,
    runner_harness,
)

WORK_MS = 300
# Timeout of the routes of the harness.
ROUTE_TIMEOUT_MS = 1500
STREAMS = frozenset(('/once/x', '/resume/x'))
SLOW_LIMIT_PER_S = 1.0
SHORT_ANSWER = answer_with('200 OK', 'fine')


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


def answer_after(work_ms):
    """Return a script that answers after a time."""
    answer = answer_with('200 OK', 'fine')

    async def script(writer, received):
        await asyncio.sleep(work_ms / 1000)
        await answer(writer, received)

    return script


async def harness_with_known_work():
    """Return a relay that knows how long the answers of its server take."""
    harness = RelayHarness()
    (backend,) = await harness.add_backends(answer_after(WORK_MS))
    for _ in range(3):
        assert (await harness.send_request('/book/x'))[0] == 200
    backend.requests.clear()
    return harness, backend


async def test_a_call_is_not_sent_when_the_process_ends_before_its_answer():
    """Its caller would get 502 or 504, though it may run only once."""
    harness, backend = await harness_with_known_work()
    harness.calls.finish_calls_by(boottime_ms() + WORK_MS - 50)
    sent_ms = boottime_ms()
    status, headers, _ = await harness.send_request('/book/x')
    assert (status, backend.requests) == (503, [])
    assert 0 < float(headers['retry-after']) < 0.1
    assert boottime_ms() - sent_ms < 150


async def test_a_refused_caller_may_come_back_so_short_answers_are_served():
    """A load balancer that has not noticed the stop sends retries here again."""
    harness, _ = await harness_with_known_work()
    harness.calls.finish_calls_by(
        boottime_ms() + WORK_MS + 300, is_in_rotation=True
    )
    assert (await harness.send_request('/book/x'))[0] == 200
    harness.calls.finish_calls_by(boottime_ms() + WORK_MS + 300)
    assert (await harness.send_request('/book/x'))[0] == 503


async def test_the_latency_target_counts_where_no_answer_is_known():
    harness = RelayHarness()
    (backend,) = await harness.add_backends(SHORT_ANSWER)
    harness.calls.finish_calls_by(boottime_ms() + 150, is_in_rotation=True)
    assert (await harness.send_request('/book/x'))[0] == 503
    assert not backend.requests
    harness.calls.finish_calls_by(boottime_ms() + 600, is_in_rotation=True)
    assert (await harness.send_request('/book/x'))[0] == 200


async def test_a_call_is_served_when_its_deadline_is_before_the_process_ends():
    harness, _ = await harness_with_known_work()
    harness.calls.finish_calls_by(boottime_ms() + WORK_MS + 300)
    deadline = f'Deadline-Ms: {WORK_MS + 200}'
    assert (await harness.send_request('/book/x', deadline))[0] == 200


async def test_a_call_is_served_when_its_route_ends_it_before_the_process():
    harness, _ = await harness_with_known_work()
    harness.calls.finish_calls_by(boottime_ms() + ROUTE_TIMEOUT_MS + 300)
    deadline = f'Deadline-Ms: {2 * ROUTE_TIMEOUT_MS}'
    assert (await harness.send_request('/book/x', deadline))[0] == 200


@pytest.mark.parametrize('path', ['/read/x', '/book/x', '/once/x', '/resume/x'])
async def test_a_long_answer_is_not_cut_because_earlier_ones_were_short(path):
    harness = RelayHarness()
    script = answer_events(1, 2) if path in STREAMS else SHORT_ANSWER
    (backend,) = await harness.add_backends(script)
    for _ in range(3):
        assert (await harness.send_request(path))[0] == 200
    backend.requests.clear()
    backend.script = never_answer
    harness.calls.finish_calls_by(boottime_ms() + ROUTE_TIMEOUT_MS - 300)
    status, headers, _ = await harness.send_request(path)
    assert (status, backend.requests) == (503, [])
    assert 0 < float(headers['retry-after']) < 0.1


@pytest.mark.parametrize('path', ['/read/x', '/resume/x'])
async def test_a_failed_call_is_not_sent_again_if_the_stop_may_cut_it(path):
    """Its caller can send it to another router, which isn't about to end."""
    harness = RelayHarness()
    first, second = await harness.add_backends(drop_connection, SHORT_ANSWER)
    first.script = _stop_before(harness, first.script, 600)
    status, _, _ = await harness.send_request(path)
    assert (status, second.requests) == (504, [])


async def test_a_failed_call_is_sent_again_if_its_deadline_is_before_the_stop():
    harness = RelayHarness()
    first, _ = await harness.add_backends(drop_connection, SHORT_ANSWER)
    first.script = _stop_before(harness, first.script, 600)
    status, _, _ = await harness.send_request('/read/x', 'Deadline-Ms: 400')
    assert status == 200


async def harness_with_waiting_call():
    """Return a relay with a call that waits for its server's limit."""
    harness = RelayHarness()
    (backend,) = await harness.add_backends(SHORT_ANSWER)
    harness.fleet.limits.hear(
        LimitStatement('i-0', 1, SLOW_LIMIT_PER_S, boottime_ms())
    )
    waiting = asyncio.create_task(harness.send_request('/read/x'))
    await asyncio.sleep(0.1)
    assert not waiting.done()
    return harness, backend, waiting


async def test_a_call_that_waits_for_a_place_is_refused_if_the_stop_may_cut_it():
    harness, backend, waiting = await harness_with_waiting_call()
    stopped_ms = boottime_ms()
    harness.calls.finish_calls_by(stopped_ms + 1200)
    status, _, _ = await waiting
    assert (status, backend.requests) == (503, [])
    assert boottime_ms() - stopped_ms < 300


async def test_a_waiting_call_is_refused_when_the_router_leaves_the_rotation():
    harness, backend, waiting = await harness_with_waiting_call()
    harness.calls.finish_calls_by(boottime_ms() + 1200, is_in_rotation=True)
    await asyncio.sleep(0.1)
    assert not waiting.done()
    left_ms = boottime_ms()
    harness.calls.finish_calls_by(left_ms + 1100)
    status, _, _ = await waiting
    assert (status, backend.requests) == (503, [])
    assert boottime_ms() - left_ms < 200


async def test_a_begun_stream_goes_on_at_another_server_while_stopping():
    harness = RelayHarness()
    _, second = await harness.add_backends(
        answer_events(1, 2, ends=False), answer_events(3, 4)
    )
    reader, writer = await harness.connect()
    writer.write(encode_request('/resume/x'))
    second.script = _stop_before(harness, second.script)
    assert (await read_framed_answer(reader)).is_complete


async def test_a_stream_that_breaks_off_during_the_stop_goes_on_elsewhere():
    harness = RelayHarness()
    first, _ = await harness.add_backends(
        answer_events(1, 2, ends=False), answer_events(3, 4)
    )
    reader, writer = await harness.connect()
    writer.write(encode_request('/resume/x'))
    first.script = _stop_before(harness, first.script, 600)
    answer = await read_framed_answer(reader)
    assert answer.is_complete
    assert b'id: 4' in answer.body


def _stop_before(harness, script, grace_ms=100):
    async def run(writer, received):
        harness.calls.finish_calls_by(boottime_ms() + grace_ms)
        return await script(writer, received)

    return run
