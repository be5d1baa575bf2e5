"""Tests of servers that name the requests per second that they take."""

import asyncio

from lagoonflow.clock import boottime_ms
from tests.relay.harness import (
    RelayHarness,
    answer_with,
    encode_request,
    read_framed_answer,
)

LIMIT_PER_S = 2
WINDOW_MS = 4000
# By the users' rule; the first limit is heard within the first second.
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_MS / 1000 + 5
OK_ANSWER = answer_with('200 OK', 'fine')


class TimedBackend:
    """A script that notes when requests arrive, and may name a limit."""

    def __init__(self, limit=None) -> None:
        self.limit = limit
        self.arrived_ms = []

    async def __call__(self, writer, received):
        self.arrived_ms.append(boottime_ms())
        headers = () if self.limit is None else (f'Server-Limit: {self.limit}',)
        return await answer_with('200 OK', 'fine', *headers)(writer, received)

    def most_in_window(self):
        return max(
            sum(start <= one < start + WINDOW_MS for one in self.arrived_ms)
            for start in self.arrived_ms
        )


async def ask(harness):
    reader, writer = await harness.open_connection()
    writer.write(encode_request('/read/x', 'Deadline-Ms: 1000'))
    answer = await read_framed_answer(reader)
    writer.close()
    return answer


async def flood(harness, for_ms):
    """Send requests without pause; return their answers."""
    end_ms = boottime_ms() + for_ms
    answers = []
    while boottime_ms() < end_ms:
        harness.view.confirm(boottime_ms())
        answers.append(await ask(harness))
        await asyncio.sleep(0.01)
    return answers


async def make_harness(*scripts):
    harness = RelayHarness()
    await harness.add_backends(*scripts)
    await harness.http.listen('127.0.0.1:0')
    return harness


async def test_a_server_does_not_get_more_than_the_limit_it_has_named():
    limited = TimedBackend(LIMIT_PER_S)
    harness = await make_harness(limited, OK_ANSWER)
    answers = await flood(harness, 5000)
    assert limited.most_in_window() <= MAX_IN_WINDOW
    assert {answer.status for answer in answers} == {200}


async def test_a_limited_server_still_gets_requests():
    limited = TimedBackend(LIMIT_PER_S)
    harness = await make_harness(limited)
    await asyncio.gather(*(flood(harness, 4000) for _ in range(3)))
    assert len(limited.arrived_ms) >= LIMIT_PER_S * 2


async def test_a_server_whose_limit_is_lifted_is_used_again():
    limited = TimedBackend(LIMIT_PER_S)
    harness = await make_harness(limited)
    await flood(harness, 1000)
    limited.limit = None
    await flood(harness, 1000)
    lifted = len(limited.arrived_ms)
    await flood(harness, 1000)
    assert len(limited.arrived_ms) - lifted > 5 * LIMIT_PER_S


async def test_callers_beyond_the_limit_are_told_when_to_come_back():
    harness = await make_harness(TimedBackend(0.2))
    await ask(harness)
    began_ms = boottime_ms()
    answers = [await ask(harness) for _ in range(3)]
    assert boottime_ms() - began_ms < 500
    assert {answer.status for answer in answers} == {503}
    waits_s = [float(answer.headers[b'retry-after']) for answer in answers]
    assert 2 < waits_s[0] < waits_s[1] < waits_s[2]
