"""Callers that close only their sending side get a truthful refusal."""

import asyncio
import json

import pytest
from structlog.testing import capture_logs

from lagoonflow.clock import boottime_ms
from lagoonflow.gossip.messages import AgentState
from tests.relay.harness import (
    REJECTION,
    RelayHarness,
    answer_raw,
    encode_request,
    never_answer,
    read_answer,
    read_framed_answer,
    runner_harness,
)
from tests.relay.test_late_connections import LateServer, late_harness

MAX_WORK_S = 0.5
STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nServer-Seal: s\r\n'
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)
EVENT = b'10\r\nid: 1\ndata: x1\n\n\r\n'
# Reads on without an answer, so that the end of the connection shows.
STAY_SILENT = answer_raw(b'')


async def close_sending_side(harness, backend, *requests):
    """Send requests, close the sending side once the first is at a server.

    :return: statuses, headers and error codes of the answers.
    """
    reader, writer = await harness.connect()
    writer.write(b''.join(requests))
    await asyncio.wait_for(backend.has_request.wait(), 1)
    await asyncio.sleep(0.05)
    writer.write_eof()
    answers = [await read_answer(reader) for _ in requests]
    assert await asyncio.wait_for(reader.read(), 1) == b''
    return answers


def code(body: bytes) -> str:
    return json.loads(body)['error']['name']


@pytest.mark.parametrize('path', ['/read/x', '/book/x', '/once/x', '/resume/x'])
async def test_a_request_that_may_have_run_is_not_said_not_to_have_run(path):
    harness = RelayHarness()
    (backend,) = await harness.add_backends(STAY_SILENT)
    with capture_logs() as lines:
        ((status, headers, body),) = await close_sending_side(
            harness, backend, encode_request(path)
        )
    assert (status, code(body)) == (502, 'CALLER_GONE')
    assert headers['connection'] == 'close'
    assert 'retry-after' not in headers
    (line,) = [one for one in lines if one['event'] == 'ended']
    assert (line['outcome'], line['status']) == ('caller left', 502)
    async with asyncio.timeout(MAX_WORK_S):
        await backend.closed_by_peer.wait()


async def test_a_request_that_waits_for_its_model_is_refused_as_not_run():
    harness = runner_harness()
    (backend,) = await harness.add_backends(never_answer, service='llm')
    agent = AgentState(
        'a', 'i-0', 1, loading='m1', order_ready_in_ms=900, can_order=True
    )
    harness.fleet.observe_agent(agent, boottime_ms())
    backend.has_request.set()
    request = encode_request('/hot/x', 'Model: m1')
    ((status, headers, body),) = await close_sending_side(
        harness, backend, request
    )
    assert (status, code(body)) == (503, 'CALLER_GONE')
    assert float(headers['retry-after']) > 0
    assert not backend.requests


async def test_a_request_whose_server_accepts_late_is_refused_as_not_run():
    """A run was counted before the connection was open."""
    harness = late_harness()
    late = LateServer(harness)
    late.backend.has_request.set()
    ((status, headers, _),) = await close_sending_side(
        harness, late.backend, encode_request('/x/1')
    )
    assert status == 503
    assert 'retry-after' in headers
    late.close()


async def test_later_requests_are_not_sent_but_answered_in_order():
    """What is known at once is answered; the rest has certainly not run."""
    harness = RelayHarness()
    refunds = []
    harness.rate_limiter.refund = lambda *charge: refunds.append(charge)
    (backend,) = await harness.add_backends(never_answer)
    answers = await close_sending_side(
        harness,
        backend,
        encode_request('/read/x'),
        encode_request('/none/x'),
        encode_request('/read/x'),
        encode_request('/read/x').replace(b'Token', b'Other'),
        encode_request('/once/x'),
    )
    assert [status for status, _, _ in answers] == [502, 404, 503, 401, 503]
    retries = ['retry-after' in headers for _, headers, _ in answers]
    assert retries == [False, False, True, False, True]
    assert len(backend.requests) == 1
    assert len(refunds) == 2


async def test_a_request_that_may_run_at_a_second_server_is_not_said_not_to():
    harness = RelayHarness()
    _, backend = await harness.add_backends(REJECTION, never_answer)
    ((status, _, _),) = await close_sending_side(
        harness, backend, encode_request('/book/x')
    )
    assert status == 502


async def test_a_stream_that_had_begun_does_not_look_complete():
    harness = RelayHarness()
    (backend,) = await harness.add_backends(answer_raw(STREAM_HEAD + EVENT))
    reader, writer = await harness.connect()
    writer.write(encode_request('/once/x'))
    await reader.readuntil(b'data: x1')
    writer.write_eof()
    assert not (await read_framed_answer(reader)).is_complete
    async with asyncio.timeout(MAX_WORK_S):
        await backend.closed_by_peer.wait()
