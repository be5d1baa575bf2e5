"""What callers get, and what backend servers see, under failures."""

import asyncio
import dataclasses

import pytest

from lagoonflow.backends.messages import BackendServer
from lagoonflow.clock import boottime_ms
from lagoonflow.declared.messages import (
    Organisation,
)
from lagoonflow.gossip.messages import AgentState, HeldModelState
from tests.relay.world import (
    ORGANISATION,
    REJECTION,
    ROUTES,
    World,
    cut,
    events,
    hang,
    raw,
    request,
    route,
    runner_world,
    state,
    whole,
)

FINE = whole('200 OK', 'fine')
UNREACHABLE = BackendServer('i-0', 'llm', '127.0.0.1:1', 'z', 8, started_ms=1)


async def test_passes_an_answer_unchanged():
    world = World()
    (backend,) = await world.add(whole('200 OK', 'fine', 'X-Own: 7'))
    status, headers, body = await world.ask('/read/x?q=1', body='abc')
    assert (status, body) == (200, b'fine')
    assert headers['server-seal'] == 's'
    assert headers['x-own'] == '7'
    assert backend.seen[0].target == '/read/x?q=1'
    assert backend.seen[0].body == b'abc'


async def test_hands_over_the_time_that_is_left():
    world = World()
    (backend,) = await world.add(FINE)
    await world.ask('/read/x', 'Deadline-Ms: 900')
    assert 800 <= int(backend.seen[0].headers['deadline-ms']) <= 900


async def test_a_failed_read_is_repeated_elsewhere():
    world = World()
    first, second = await world.add(cut, FINE)
    status, _, body = await world.ask('/read/x')
    assert (status, body) == (200, b'fine')
    assert len(first.seen) == len(second.seen) == 1


async def test_a_silent_server_does_not_hold_a_read():
    world = World()
    await world.add(hang, FINE)
    status, _, _ = await world.ask('/read/x', 'Deadline-Ms: 1000')
    assert status == 200


async def test_a_booking_is_sent_once_and_its_outcome_stays_open():
    world = World()
    first, second = await world.add(cut, FINE)
    status, _, _ = await world.ask('/book/x')
    assert status == 502
    assert len(first.seen) + len(second.seen) == 1


async def test_a_rejected_booking_goes_to_another_server():
    world = World()
    _, second = await world.add(REJECTION, FINE)
    status, _, _ = await world.ask('/book/x')
    assert status == 200
    assert len(second.seen) == 1


async def test_a_booking_that_all_reject_has_not_run():
    world = World()
    await world.add(REJECTION, REJECTION)
    status, headers, _ = await world.ask('/book/x')
    assert status == 503
    assert float(headers['retry-after']) > 0


async def test_a_server_that_does_not_listen_was_not_sent_to():
    world = World()
    backends = await world.add(FINE, FINE)
    backends[0]._server.close()
    await backends[0]._server.wait_closed()
    status, _, _ = await world.ask('/book/x')
    assert status == 200


async def test_a_servers_own_503_is_no_promise():
    world = World()
    await world.add(whole('503 Busy', 'x'))
    status, headers, _ = await world.ask('/book/x')
    assert status == 502
    assert 'server-seal' not in headers


async def test_a_servers_own_failure_passes_unchanged():
    world = World()
    await world.add(whole('500 Bad', 'why'))
    status, headers, body = await world.ask('/book/x')
    assert (status, body) == (500, b'why')
    assert headers['server-seal'] == 's'


@pytest.mark.parametrize(
    'script',
    [
        raw(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'),
        raw(
            b'HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Encoding: gzip\r\n'
            b'Content-Length: 2\r\n\r\nok'
        ),
        raw(
            b'HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: 9\r\n\r\nok',
            ends=True,
        ),
        raw(b'\x00\x01\x02', ends=True),
    ],
)
async def test_a_spoilt_answer_is_no_success(script):
    world = World()
    await world.add(script)
    status, _, _ = await world.ask('/book/x')
    assert status == 502


async def test_an_answer_to_another_request_is_skipped():
    world = World()
    other = (
        b'HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: other\r\n'
        b'Content-Length: 5\r\n\r\nother'
    )
    own = other.replace(b'other', b'a1').replace(b': 5', b': 2')
    await world.add(raw(other + own))
    status, _, body = await world.ask('/book/x')
    assert (status, body) == (200, b'a1')


async def test_a_stream_that_breaks_does_not_look_whole():
    world = World()
    await world.add(events(1, 2, ends=False))
    status, _, body = await world.ask('/once/x')
    assert status == 200
    assert not body.endswith(b'0\r\n\r\n')


async def test_a_resumable_stream_goes_on_elsewhere():
    world = World()
    _, second = await world.add(events(1, 2, ends=False), events(3, 4))
    status, _, body = await world.ask('/resume/x')
    assert status == 200
    assert [body.count(b'x%d' % one) for one in (1, 2, 3, 4)] == [1, 1, 1, 1]
    assert body.endswith(b'0\r\n\r\n')
    assert b'id: 9' not in body
    assert second.seen[0].headers['last-event-id'] == '2'


async def test_repeated_events_of_a_resumption_are_left_out():
    world = World()
    await world.add(events(1, 2, ends=False), events(2, 3))
    _, _, body = await world.ask('/resume/x')
    assert body.count(b'x2') == 1


async def test_a_caller_that_leaves_ends_the_request():
    world = World()
    (backend,) = await world.add(hang)
    _, writer = await world.open()
    writer.write(request('/read/x'))
    await asyncio.sleep(0.1)
    assert backend.seen
    writer.close()
    await asyncio.sleep(0.1)
    health = world.fleet.health('i-0')
    assert health.inflight == 0


async def test_the_route_timeout_ends_a_request():
    world = World()
    await world.add(hang)
    started_ms = boottime_ms()
    status, _, _ = await world.ask('/book/x', 'Deadline-Ms: 60000')
    assert status == 504
    assert boottime_ms() - started_ms < 1500 + 500


async def test_a_lowered_timeout_binds_requests_in_work():
    world = World()
    await world.add(hang)
    asking = asyncio.create_task(world.ask('/book/x'))
    await asyncio.sleep(0.1)
    short = route(ROUTES[1].kind, '/book/', timeout_ms=200)
    world.view.apply(state(2, routes=(short,)))
    started_ms = boottime_ms()
    world.calls.apply_timeouts()
    status, _, _ = await asking
    assert status == 504
    assert boottime_ms() - started_ms < 500


async def test_repeats_stay_within_the_budget():
    world = World()
    world.budgets.share_between(1000)
    _, second = await world.add(cut, FINE)
    status, _, _ = await world.ask('/read/x')
    assert status == 502
    assert not second.seen


async def test_an_unknown_route_and_key_are_told():
    world = World()
    assert (await world.ask('/nowhere/'))[0] == 404
    world.view.apply(state(2, organisations=(Organisation('o', frozenset()),)))
    assert (await world.ask('/read/x'))[0] == 401
    assert (await world.ask('/nowhere/'))[0] == 404


async def test_nothing_is_refused_for_good_on_an_old_configuration():
    world = World()
    world.view.confirmed_at_ms = boottime_ms() - 60_000
    for path in ('/nowhere/', '/read/x'):
        status, headers, _ = await world.ask(path)
        assert status == 503
        assert float(headers['retry-after']) > 0


async def test_open_routes_are_served_on_an_old_configuration():
    world = World()
    await world.add(FINE)
    world.view.confirmed_at_ms = boottime_ms() - 60_000
    assert (await world.ask('/open/x'))[0] == 200


async def test_a_call_beyond_the_rate_is_told_when_to_come_back():
    world = World()
    await world.add(FINE)
    world.meter.charge(ORGANISATION.name, 80_000, boottime_ms())
    status, headers, _ = await world.ask('/read/x')
    assert status == 429
    assert 2 < float(headers['retry-after']) < 4


async def test_a_call_that_did_not_run_is_not_charged():
    world = World()
    before = world.meter.level(ORGANISATION.name)
    status, _, _ = await world.ask('/read/x')
    assert status == 503
    assert world.meter.level(ORGANISATION.name) >= before


async def test_a_model_that_comes_too_late_for_one_call_is_still_wished_for():
    """Later callers find it loaded; else it would be refused for ever."""
    world = runner_world(UNREACHABLE)
    agent = AgentState('a', 'i-0', 1, free_mb=90_000, can_order=True)
    world.fleet.observe_agent(agent, boottime_ms())
    status, headers, _ = await world.ask('/hot/x', 'Model: m1')
    assert status == 503
    assert float(headers['retry-after']) > 5
    load_requests = world.calls.placer.load_requests
    assert load_requests.for_runner('i-0', boottime_ms())[0].model == 'm1'
    assert not load_requests.for_runner('i-0', boottime_ms() + 60_000)


async def test_a_call_waits_for_agents_after_a_restart():
    world = runner_world()
    (backend,) = await world.add(events(1, 2), service='llm')
    asking = asyncio.create_task(world.ask('/hot/x', 'Model: m1'))
    await asyncio.sleep(0.3)
    agent = AgentState('a', 'i-0', 1, (HeldModelState('m1'),), can_order=True)
    world.fleet.observe_agent(agent, boottime_ms())
    world.calls.placer.fleet_changed.notify()
    status, _, _ = await asking
    assert status == 200
    assert backend.seen


async def test_a_key_that_is_withdrawn_while_a_call_waits_does_not_run():
    world = runner_world()
    (backend,) = await world.add(events(1, 2), service='llm')
    asking = asyncio.create_task(world.ask('/hot/x', 'Model: m1'))
    await asyncio.sleep(0.1)
    without_keys = dataclasses.replace(
        world.view.state, version=3, organisations=()
    )
    world.view.apply(without_keys)
    agent = AgentState('a', 'i-0', 1, (HeldModelState('m1'),), can_order=True)
    world.fleet.observe_agent(agent, boottime_ms())
    world.calls.placer.fleet_changed.notify()
    status, _, _ = await asking
    assert status == 401
    assert not backend.seen


async def test_a_call_waits_for_agents_for_a_second_at_most():
    world = runner_world(UNREACHABLE)
    asked_ms = boottime_ms()
    status, headers, _ = await world.ask('/hot/x', 'Model: m1')
    assert status == 503
    assert float(headers['retry-after']) > 0
    assert 900 < boottime_ms() - asked_ms < 1400


async def test_a_call_does_not_wait_when_all_agents_were_heard():
    world = runner_world(UNREACHABLE)
    agent = AgentState('a', 'i-0', 1, is_down=True, can_order=True)
    world.fleet.observe_agent(agent, boottime_ms())
    asked_ms = boottime_ms()
    status, _, _ = await world.ask('/hot/x', 'Model: m1')
    assert status == 503
    assert boottime_ms() - asked_ms < 300


async def test_a_call_rejected_by_a_runner_that_drops_its_model_waits_there():
    """It was sent to a model that was just making way."""
    world = runner_world()
    scripts = iter([REJECTION, events(1, 2)])

    async def script(writer, seen):
        return await next(scripts)(writer, seen)

    (backend,) = await world.add(script, service='llm')
    holding = AgentState('a', 'i-0', 1, (HeldModelState('m1'),), can_order=True)
    world.fleet.observe_agent(holding, boottime_ms())
    asking = asyncio.create_task(world.ask('/hot/x', 'Model: m1'))
    await asyncio.sleep(0.1)
    dropped = AgentState(
        'a', 'i-0', 1, free_mb=90_000, on_disk=('m1',), can_order=True
    )
    world.fleet.observe_agent(dropped, boottime_ms())
    world.calls.placer.fleet_changed.notify()
    await asyncio.sleep(0.1)
    world.fleet.observe_agent(holding, boottime_ms())
    world.calls.placer.fleet_changed.notify()
    status, _, _ = await asking
    assert status == 200
    assert len(backend.seen) == 2
