"""Routers that are started again on the same port, and a loss of power."""

import asyncio
import contextlib
import random
import signal
import threading
import time
from http.client import HTTPException

import pytest

from loopback import http
from loopback.platform_fleet import (
    CALLER_PORT,
    KEY,
    RUNNER_PORT,
    PlatformFleet,
    configuration,
)
from loopback.processes import ProcessSet

pytestmark = pytest.mark.process

CALLERS = 30
WORK_MS = 300
PAUSE_S = 0.04
# A request that is sent while the router closes the connection may be lost.
CROSSING_S = 0.05
ANSWER_S = 12
BIND_S = 8
RECOVERY_S = 12


@pytest.fixture
def fleet(tmp_path):
    processes = ProcessSet(tmp_path)
    running_fleet = PlatformFleet(processes)
    try:
        running_fleet.start(routers=1, runners=1)
        yield running_fleet
    finally:
        processes.end_all()


class Caller:
    """Keeps a connection until its end is announced or seen, then reconnects."""

    def __init__(self, router, number, is_done):
        self.answers = {}
        self.lost = []
        self._address = (router.ip, CALLER_PORT)
        self._path = ('/read/x', '/book/x')[number % 2]
        self._is_done = is_done

    async def run(self):
        while not self._is_done.is_set():
            try:
                reader, writer = await asyncio.open_connection(*self._address)
            except ConnectionRefusedError:
                await asyncio.sleep(PAUSE_S)
                continue
            while not self._is_done.is_set() and not reader.at_eof():
                if not await self._send(reader, writer):
                    break
                await asyncio.sleep(random.uniform(0, PAUSE_S))
            writer.transport.abort()

    async def _send(self, reader, writer):
        """Send a request; return whether the connection may carry another."""
        request_id = f'{random.getrandbits(64):016x}'
        sent_s = time.monotonic()
        writer.write(
            f'POST {self._path} HTTP/1.1\r\nHost: desk.example\r\n'
            f'Attempt-Id: {request_id}\r\nDeadline-Ms: 4000\r\n'
            f'Authorization: Token {KEY}\r\n'
            'Content-Length: 0\r\n\r\n'.encode()
        )
        try:
            async with asyncio.timeout(ANSWER_S):
                head = (await reader.readuntil(b'\r\n\r\n')).lower()
                length = head.split(b'content-length: ')[1].split(b'\r')[0]
                await reader.readexactly(int(length))
        except (OSError, EOFError):
            self.lost.append((request_id, time.monotonic() - sent_s))
            return False
        self.answers[request_id] = int(head.split(b' ')[1])
        return b'connection: close' not in head


def wait_started(router):
    """Wait until a router that was just started has bound its ports."""
    deadline_s = time.monotonic() + BIND_S
    while '"started"' not in router.program.logs():
        assert router.program.is_running
        assert time.monotonic() < deadline_s
        time.sleep(0.02)


def restart(fleet, router):
    """Stop a router, and start the next one at once."""
    router.program.terminate()
    assert router.program.wait(10) == 0
    fleet.start_router(router)
    wait_started(router)
    fleet.wait_ready(router)


async def test_no_call_is_lost_between_a_process_and_the_next_on_its_port(
    fleet,
):
    for host in fleet.plain_servers:
        fleet.set_faults(f'{host.ip}:{RUNNER_PORT}', delay_ms=WORK_MS)
    router = fleet.routers[0]
    is_done = asyncio.Event()
    callers = [Caller(router, number, is_done) for number in range(CALLERS)]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    await asyncio.sleep(1)
    await asyncio.to_thread(restart, fleet, router)
    before = sum(len(caller.answers) for caller in callers)
    await asyncio.sleep(1)
    is_done.set()
    await asyncio.gather(*tasks)
    answers = {}
    for caller in callers:
        answers |= caller.answers
    lost = dict(one for caller in callers for one in caller.lost)
    ran = set()
    for host in fleet.plain_servers:
        ran |= fleet.counts(host)['ran'].keys()
    assert len(answers) > before
    assert not ran & lost.keys()
    assert not [took_s for took_s in lost.values() if took_s > CROSSING_S]
    assert set(answers.values()) <= {200, 503}
    assert not [one for one in ran if answers.get(one) == 503]


def test_a_router_that_starts_is_ready_only_with_a_configuration(fleet):
    router = fleet.routers[0]
    router.program.kill()
    fleet.set_faults(fleet.store, outage=True)
    fleet.start_router(router)
    wait_started(router)
    for _ in range(5):
        assert fleet.send_request(router, '/read/x').status == 503
        assert not fleet.is_ready(router)
        time.sleep(0.1)
    fleet.set_faults(fleet.store, outage=False)
    fleet.wait_ready(router)
    assert fleet.send_request(router, '/nowhere/').status == 404


def publish_in_vain(fleet, body):
    with contextlib.suppress(OSError, HTTPException):
        http.request(fleet.store, 'POST', '/test/put', body, timeout_s=2)


def lose_power(fleet):
    """Kill all processes, while another configuration is being sent."""
    record = {'topic': 'keyed.op', 'key': 'config', 'value': configuration(3)}
    sending = threading.Thread(target=publish_in_vain, args=(fleet, record))
    sending.start()
    programs = [fleet.store_process]
    for host in (*fleet.routers, *fleet.runners, *fleet.plain_servers):
        programs += [one for one in (host.program, host.runner) if one]
    for program in programs:
        program.popen.send_signal(signal.SIGKILL)
    for program in programs:
        program.wait()
    sending.join()


def start_again(fleet):
    """Start all processes; the store has what it has acknowledged."""
    fleet.start_store()
    fleet.publish(fleet.published)
    for host in fleet.routers:
        fleet.start_router(host)
    for host in fleet.plain_servers:
        fleet.start_plain_server(host)
    for host in fleet.runners:
        fleet.start_runner(host, '')
        fleet.start_agent(host)


def status_of(fleet, router, path, headers=None):
    """Return the status of a call; 0 if no router listens."""
    try:
        return fleet.send_request(router, path, headers).status
    except (OSError, HTTPException):
        return 0


@pytest.mark.parametrize('seed', [1, 2])
def test_an_acknowledged_configuration_holds_after_a_loss_of_all_power(
    fleet, seed
):
    router = fleet.routers[0]
    body = configuration(2)
    body['routes'] = [one for one in body['routes'] if one['name'] != 'book']
    fleet.publish(body)
    time.sleep(random.Random(seed).choice((0, 0.05, 0.5)))
    lose_power(fleet)
    began_s = time.monotonic()
    start_again(fleet)
    waiting = [('/read/x', None), ('/draft/x', {'Model': 'm1'})]
    while waiting:
        assert time.monotonic() < began_s + RECOVERY_S, waiting
        assert status_of(fleet, router, '/book/x') in {0, 404, 503}
        waiting = [
            one for one in waiting if status_of(fleet, router, *one) != 200
        ]
        time.sleep(0.05)
    assert status_of(fleet, router, '/book/x') == 404


def test_a_stream_is_taken_up_at_a_router_that_started_after_it_began(fleet):
    """Routers tell each other of streams only as they begin."""
    model = {'Model': 'm1/a1', 'Deadline-Ms': '15000', 'Attempt-Id': 'first'}
    fleet.routers.append(fleet.add_router())
    first, second = fleet.routers
    fleet.wait_ready(second)
    assert fleet.send_request(first, '/resume/x', model).status == 200
    # The stream is repeated to the others for three seconds.
    time.sleep(4)
    second.program.kill()
    fleet.start_router(second)
    fleet.wait_ready(second)
    resumed = {
        **model,
        'Attempt-Id': 'second',
        'Resumes': 'first',
        'Last-Event-Id': '2',
    }
    assert fleet.send_request(second, '/resume/x', resumed).status == 200
