"""Real routers and agents before stand-ins of the users' platform."""

import threading
import time

import pytest

from loopback import http
from loopback.platform_fleet import (
    KEY,
    OTHER_KEY,
    RUNNER_PORT,
    PlatformFleet,
    configuration,
)
from loopback.processes import ProcessSet

pytestmark = pytest.mark.process


@pytest.fixture
def fleet(tmp_path):
    processes = ProcessSet(tmp_path)
    made = PlatformFleet(processes)
    try:
        made.start()
        yield made
    finally:
        processes.end_all()


def eventually(is_true, within_s=6):
    deadline_s = time.monotonic() + within_s
    while not is_true():
        assert time.monotonic() < deadline_s
        time.sleep(0.05)


def ran(fleet, hosts):
    """Runs by request id, over some backend servers."""
    found = {}
    for host in hosts:
        for name, times in fleet.counts(host)['ran'].items():
            found[name] = found.get(name, 0) + times
    return found


def test_a_calm_fleet_serves_every_kind(fleet):
    for router in fleet.routers:
        assert fleet.send_request(router, '/read/x').body == b'fine'
        assert fleet.send_request(router, '/book/x').status == 200
        for name in ('m1', 'm2', 'm3', 'm1/a1'):
            reply = fleet.send_request(router, '/draft/x', {'Model': name})
            assert reply.status == 200
            assert reply.body.count(b'data: piece') == 6
        assert fleet.send_request(router, '/nowhere/').status == 404
        assert fleet.send_request(router, '/read/x', key='wrong').status == 401
    for host in fleet.runners:
        counts = fleet.counts(host)
        assert counts['overcommitted'] == 0
        assert len(counts['holders']) <= 1


def test_no_backend_server_sees_a_key(fleet):
    for path in ('/read/x', '/book/x'):
        fleet.send_request(fleet.routers[0], path, {'Tenant': 'evil'})
    for host in (*fleet.plain_servers, *fleet.runners):
        seen = fleet.counts(host)['headers_seen']
        assert not [one for one in seen if KEY in one['value']]


def test_a_withdrawn_key_stops_working(fleet):
    router = fleet.routers[0]
    assert fleet.send_request(router, '/read/x', key=OTHER_KEY).status == 200
    body = configuration(2)
    body['tenants'][0]['api_keys'] = [KEY]
    fleet.publish(body)
    eventually(
        lambda: (
            fleet.send_request(router, '/read/x', key=OTHER_KEY).status == 401
        ),
        2,
    )
    assert fleet.send_request(router, '/read/x').status == 200


def test_without_the_store_keys_work_only_while_they_are_proved(fleet):
    router = fleet.routers[0]
    fleet.set_faults(fleet.store, silent=True)
    assert fleet.send_request(router, '/read/x').status == 200
    eventually(lambda: fleet.send_request(router, '/read/x').status == 503, 7)
    assert not fleet.is_ready(router)
    assert fleet.send_request(router, '/open/x').status == 200
    fleet.set_faults(fleet.store, silent=False)
    eventually(lambda: fleet.send_request(router, '/read/x').status == 200, 5)


def test_compacted_history_is_read_anew(fleet):
    http.request(fleet.store, 'POST', '/test/compact')
    body = configuration(9)
    body['routes'] = body['routes'][:1]
    fleet.publish(body)
    for router in fleet.routers:
        eventually(
            lambda router=router: (
                fleet.send_request(router, '/book/x').status == 404
            )
        )


def test_a_booking_whose_answer_is_lost_runs_once(fleet):
    for host in fleet.plain_servers:
        fleet.set_faults(f'{host.ip}:{RUNNER_PORT}', lose_answers=1)
    replies = [
        fleet.send_request(fleet.routers[0], '/book/x') for _ in range(4)
    ]
    assert [reply.status for reply in replies].count(502) == 2
    assert set(ran(fleet, fleet.plain_servers).values()) == {1}


def test_a_resumable_stream_survives_a_cut(fleet):
    """The second runner has to load the model first."""
    first, second = fleet.runners
    before = ran(fleet, [second])
    fleet.set_faults(f'{first.ip}:{RUNNER_PORT}', cut_streams=1)
    reply = fleet.send_request(fleet.routers[0], '/resume/x', {'Model': 'm1'})
    assert reply.status == 200
    assert reply.body.count(b'data: piece') == 6
    assert len(ran(fleet, [second])) == len(before) + 1


def test_a_dead_agent_breaks_no_answer(fleet):
    for host in fleet.runners:
        host.program.kill()
    reply = fleet.send_request(fleet.routers[0], '/draft/x', {'Model': 'm1'})
    assert reply.status == 200
    fleet.start_agent(fleet.runners[0])
    fleet.start_agent(fleet.runners[1])
    eventually(
        lambda: (
            fleet.send_request(
                fleet.routers[0], '/draft/x', {'Model': 'm3'}
            ).status
            == 200
        ),
        10,
    )


def test_late_orders_overcommit_nothing(fleet):
    for host in fleet.runners:
        fleet.set_faults(f'{host.ip}:{RUNNER_PORT}', late_orders=2)
    for name in ('m3', 'm2', 'm1', 'm3'):
        fleet.send_request(fleet.routers[0], '/draft/x', {'Model': name})
    time.sleep(1.5)
    for host in fleet.runners:
        assert fleet.counts(host)['overcommitted'] == 0


def test_a_planned_stop_cuts_no_request(fleet):
    router, other = fleet.routers
    statuses: list[int] = []
    stop = threading.Event()

    def call() -> None:
        while not stop.is_set():
            target = router if fleet.is_ready(router) else other
            statuses.append(fleet.send_request(target, '/book/x').status)

    callers = [threading.Thread(target=call) for _ in range(4)]
    for caller in callers:
        caller.start()
    time.sleep(0.5)
    router.program.terminate()
    assert router.program.wait(9) == 0
    time.sleep(0.3)
    stop.set()
    for caller in callers:
        caller.join()
    assert len(statuses) > 20
    assert set(statuses) == {200}


def test_a_leaving_server_gets_no_new_requests(fleet):
    leaving = fleet.plain_servers[0]
    fleet.set_faults(f'{leaving.ip}:{RUNNER_PORT}', is_leaving=True)
    time.sleep(1.5)
    before = sum(ran(fleet, [leaving]).values())
    for _ in range(10):
        assert fleet.send_request(fleet.routers[0], '/read/x').status == 200
    assert sum(ran(fleet, [leaving]).values()) == before
