"""Calls whose servers hold as many bytes of requests as they may."""

import asyncio

import pytest

from lagoonflow.backends.held_bytes import REQUEST_BYTES
from lagoonflow.clock import boottime_ms
from tests.relay.harness import (
    RelayHarness,
    answer_with,
    encode_request,
    read_answer,
)

BODY = 'x' * 10_000


def answer_after(delay_s):
    async def script(writer, received):
        await asyncio.sleep(delay_s)
        return await answer_with('200 OK', 'fine')(writer, received)

    return script


async def ask_two(*scripts):
    """Send two requests to servers with room for one; return the answers."""
    harness = RelayHarness()
    bound_bytes = 2 * (len(BODY) + REQUEST_BYTES)
    harness.fleet.held_bytes.set_bound('router', bound_bytes)
    harness.fleet.held_bytes.update_routers([])
    backends = await harness.add_backends(*scripts)
    await harness.http.listen('127.0.0.1:0')
    answers, writers = [], []
    for _ in range(2):
        reader, writer = await harness.open_connection()
        writer.write(encode_request('/read/x', body=BODY))
        writers.append(writer)
        answers.append(asyncio.create_task(read_answer(reader)))
        await asyncio.wait_for(backends[0].has_request.wait(), 1)
    answers = await asyncio.gather(*answers)
    for writer in writers:
        writer.close()
    await harness.http.stop_accepting()
    harness.sender.forget(['i-0', 'i-1'])
    await asyncio.sleep(0.05)
    return [(status, 'retry-after' in head) for status, head, _ in answers], [
        len(backend.requests) for backend in backends
    ]


async def test_another_server_with_room_takes_the_request():
    answers, requests = await ask_two(answer_after(0.3), answer_after(0))
    assert answers == [(200, False)] * 2
    assert requests == [1, 1]


@pytest.mark.parametrize(
    ('takes_s', 'second'), [(0.08, (200, False)), (0.6, (503, True))]
)
async def test_a_call_waits_within_its_latency_target(takes_s, second):
    """It is refused at once when the server will have no room by then."""
    began_ms = boottime_ms()
    answers, requests = await ask_two(answer_after(takes_s))
    assert answers == [(200, False), second]
    assert requests == [1 + (second[0] == 200)]
    assert boottime_ms() - began_ms < 1000
