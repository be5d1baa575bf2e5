"""Tests of requests that crash each server that runs them."""

import asyncio

import pytest

from lagoonflow.clock import boottime_ms
from tests.relay.crashing import Moment, ask, crashing_fleet

# A request may reach servers until it has crashed three, and three times more.
MAX_MORE = 3
MAX_CRASHES = 3 + MAX_MORE
REPEATS = 10
ROUTES = ('/read/', '/book/', '/once/', '/resume/', '/open/')
BAD_PATH = 'bad?page=3'
BAD_BODY = 'same'
# Time in which the relay notices that a server has crashed, in s.
NOTICE_S = 0.1
WORK_S = 0.04


def is_bad(received):
    return received.target.endswith(BAD_PATH) and received.body == b'same'


def count_crashed(backends):
    return sum(one.has_crashed for one in backends)


async def repeat_bad(harness, route, times=REPEATS):
    for _ in range(times):
        harness.view.confirm(boottime_ms())
        await ask(harness, route + BAD_PATH, body=BAD_BODY)
        await asyncio.sleep(NOTICE_S)


@pytest.mark.parametrize('moment', Moment)
@pytest.mark.parametrize('route', ROUTES)
async def test_a_repeated_request_stops_crashing_servers(route, moment):
    harness, backends = await crashing_fleet(24, is_bad, moment)
    await repeat_bad(harness, route)
    assert count_crashed(backends) <= MAX_CRASHES


async def test_copies_sent_together_stop_crashing_servers():
    harness, backends = await crashing_fleet(40, is_bad)
    crashed = []
    for _ in range(12):
        harness.view.confirm(boottime_ms())
        copies = (
            ask(harness, '/read/' + BAD_PATH, body=BAD_BODY) for _ in range(3)
        )
        await asyncio.gather(*copies)
        await asyncio.sleep(0.6)
        crashed.append(count_crashed(backends))
    assert crashed[-1] <= crashed[0] + MAX_MORE


async def test_a_long_request_stops_crashing_servers():
    body = 'x' * 300_000
    harness, backends = await crashing_fleet(
        24, lambda received: len(received.body) == len(body)
    )
    for _ in range(REPEATS):
        harness.view.confirm(boottime_ms())
        await ask(harness, '/read/long', body=body)
        await asyncio.sleep(NOTICE_S)
    assert count_crashed(backends) <= MAX_CRASHES
    assert (await ask(harness, '/read/long', body=body[1:])).status == 200


@pytest.mark.parametrize(
    ('path', 'body'),
    [
        ('/read/bad?page=3', 'other'),
        ('/read/bad', 'same'),
        ('/read/other', 'same'),
        ('/book/bad?page=4', 'same'),
        ('/open/bad?page=4', 'same'),
        ('/read/other', ''),
    ],
)
async def test_requests_that_share_some_of_it_are_served(path, body):
    harness, backends = await crashing_fleet(24, is_bad)
    await repeat_bad(harness, '/read/')
    for _ in range(3):
        assert (await ask(harness, path, body=body)).status == 200
    assert count_crashed(backends) <= MAX_CRASHES


async def test_a_refused_request_that_crashes_servers_has_not_run():
    harness, _ = await crashing_fleet(24, is_bad)
    await repeat_bad(harness, '/read/')
    answer = await ask(harness, '/read/' + BAD_PATH, body=BAD_BODY)
    assert answer.status == 503
    assert float(answer.headers[b'retry-after']) > 0


async def crash_in_flight(harness, backends, number):
    """Kill the servers at which a sound request is in work."""
    asked = asyncio.create_task(ask(harness, '/book/sound', body='repeated'))
    await asyncio.sleep(WORK_S / 2)
    for backend in backends:
        if len(backend.requests) > number and not backend.has_crashed:
            backend.crash()
    await asked
    await asyncio.sleep(NOTICE_S)


async def test_a_sound_request_in_work_at_killed_servers_is_served_again():
    harness, backends = await crashing_fleet(
        12, lambda _received: False, Moment.NOTHING, WORK_S
    )
    for _ in range(3):
        await crash_in_flight(harness, backends, 0)
    assert count_crashed(backends) == 3
    await asyncio.sleep(0.6)
    statuses = []
    for _ in range(6):
        answer = await ask(harness, '/book/sound', body='repeated')
        statuses.append(answer.status)
    assert statuses == [200] * 6


async def test_a_sound_request_that_all_repeat_is_served_while_servers_die():
    harness, backends = await crashing_fleet(
        16, lambda _received: False, Moment.NOTHING, WORK_S
    )
    statuses = []

    async def repeat():
        for _ in range(60):
            harness.view.confirm(boottime_ms())
            answer = await ask(harness, '/read/sound', body='repeated')
            statuses.append(answer.status)
            await asyncio.sleep(0.02)

    async def kill():
        for backend in backends[:10]:
            await asyncio.sleep(0.3)
            backend.crash()

    await asyncio.gather(kill(), *(repeat() for _ in range(4)))
    assert statuses.count(200) >= 0.95 * len(statuses)
    assert statuses[-20:] == [200] * 20
