"""Tests of prompt parts under which one server after the other crashes."""

import asyncio

import pytest

from lagoonflow.clock import boottime_ms
from tests.relay.harness import (
    Backend,
    RelayHarness,
    answer_events,
    encode_request,
    read_framed_answer,
)

# Requests with a crashing part may reach servers this often, by the users'
# rule: until the fifth crash, and three times more.
MAX_CRASHES = 8


class CrashingBackend(Backend):
    """A server that crashes when it answers a prompt with the part `bad`."""

    def __init__(
        self, *, first_events: bool = False, answers_whole: bool = False
    ) -> None:
        super().__init__(self._answer)
        self.has_crashed = False
        self._first_events = first_events
        self._answers_whole = answers_whole
        self._writers = set()

    async def _answer(self, writer, received):
        self._writers.add(writer)
        if 'bad:' not in received.headers.get('prompt-prefix', ''):
            return await answer_events(1, 2)(writer, received)
        if self._answers_whole:
            await answer_events(1, 2)(writer, received)
            await asyncio.sleep(0.03)
        elif self._first_events:
            await answer_events(1, 2, ends=False)(writer, received)
        self.crash()
        return False

    def crash(self) -> None:
        self.has_crashed = True
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()


async def crashing_fleet(count, **options):
    harness = RelayHarness()
    await harness.http.listen('127.0.0.1:0')
    backends = [CrashingBackend(**options) for _ in range(count)]
    for index, backend in enumerate(backends):
        server = await backend.start(f'i-{index}', 'app')
        harness.fleet.roster.put(server, boottime_ms())
    return harness, backends


async def ask(harness, prompt, path='/once/x'):
    """Send a request on a connection of its own; return the answer."""
    reader, writer = await harness.open_connection()
    writer.write(encode_request(path, f'Prompt-Prefix: {prompt}'))
    return await read_framed_answer(reader)


@pytest.mark.parametrize('first_events', [False, True])
async def test_a_part_that_crashes_servers_stops_reaching_them(first_events):
    harness, backends = await crashing_fleet(14, first_events=first_events)
    for number in range(12):
        await ask(harness, f'common:9,bad:4,own{number}:1')
    assert sum(one.has_crashed for one in backends) <= MAX_CRASHES


async def test_a_short_answer_before_the_crash_does_not_clear_its_part():
    harness, backends = await crashing_fleet(20)
    for backend in backends[::3]:
        backend._answers_whole = True
    for number in range(18):
        await ask(harness, f'common:9,bad:4,own{number}:1')
        await asyncio.sleep(0.2)
    assert sum(one.has_crashed for one in backends) <= MAX_CRASHES


async def test_requests_without_the_crashing_part_are_still_served():
    harness, _ = await crashing_fleet(14)
    for number in range(12):
        await ask(harness, f'common:9,bad:4,own{number}:1')
    for number in range(4):
        answer = await ask(harness, f'common:9,good:4,more{number}:1')
        assert (answer.status, answer.is_complete) == (200, True)


async def test_a_refused_request_with_a_crashing_part_has_not_run():
    harness, _ = await crashing_fleet(14)
    for number in range(12):
        await ask(harness, f'common:9,bad:4,own{number}:1')
    answer = await ask(harness, 'common:9,bad:4,last:1')
    assert answer.status == 503
    assert float(answer.headers[b'retry-after']) > 60
