"""A router that stood still while servers left, in a fleet of processes."""

import asyncio
import time

import pytest

from loopback.platform_fleet import (
    CALLER_PORT,
    RUNNER_PORT,
    PlatformFleet,
)
from loopback.processes import ProcessSet

pytestmark = pytest.mark.process

CALLERS = 30
# Longer than servers may get requests after the store has accepted that they leave.
PAUSE_S = 3.5
ANSWER_S = 3


@pytest.fixture
def fleet(tmp_path):
    processes = ProcessSet(tmp_path)
    running_fleet = PlatformFleet(processes)
    # Otherwise routers wait for the zones that may have been evacuated.
    running_fleet.evacuate_ms = 0
    try:
        running_fleet.start(routers=1, runners=1, plain_servers=2)
        yield running_fleet
    finally:
        processes.end_all()


async def connect(router):
    """Return connections that wait for a request."""
    address = (router.ip, CALLER_PORT)
    return [await asyncio.open_connection(*address) for _ in range(CALLERS)]


def send_all(connections):
    for number, (_, writer) in enumerate(connections):
        writer.write(
            f'POST /open/x HTTP/1.1\r\nHost: desk.example\r\n'
            f'Attempt-Id: {number:016x}\r\nDeadline-Ms: 4000\r\n'
            f'Content-Length: 0\r\n\r\n'.encode()
        )


async def read_status(reader):
    async with asyncio.timeout(ANSWER_S):
        head = await reader.readuntil(b'\r\n\r\n')
    return int(head.split(b' ')[1])


async def call_after_pause(fleet, leave):
    """Return the statuses of calls that a paused router finds as it goes on."""
    (router,) = fleet.routers
    connections = await connect(router)
    await asyncio.sleep(0.2)
    router.program.pause()
    paused_s = time.monotonic()
    await asyncio.to_thread(leave)
    await asyncio.sleep(paused_s + PAUSE_S - time.monotonic())
    send_all(connections)
    await asyncio.sleep(0.1)
    router.program.resume()
    return await asyncio.gather(
        *(read_status(reader) for reader, _ in connections)
    )


def test_no_server_that_left_during_a_stall_gets_a_request(fleet):
    """Requests that waited were sent by a list of servers from before it."""
    leaving, other = fleet.plain_servers

    def leave():
        fleet.set_faults(f'{leaving.ip}:{RUNNER_PORT}', is_leaving=True)

    before = len(fleet.counts(leaving)['arrived_s'])
    statuses = asyncio.run(call_after_pause(fleet, leave))
    assert statuses == [200] * CALLERS
    assert len(fleet.counts(leaving)['arrived_s']) == before
    assert len(fleet.counts(other)['arrived_s']) >= CALLERS


def test_no_server_whose_entry_was_removed_during_a_stall_gets_a_request(fleet):
    """Nobody read the store during the stall, which was taken for an outage."""
    leaving, _ = fleet.plain_servers

    def leave():
        # It sends no more heartbeats, and answers nothing.
        leaving.runner.pause()
        time.sleep(0.1)
        fleet.put('keyed.servers', key, None)

    key = fleet.server_key(leaving)
    try:
        statuses = asyncio.run(call_after_pause(fleet, leave))
    finally:
        leaving.runner.resume()
    assert statuses == [200] * CALLERS


def test_calls_are_served_after_a_stall_during_which_the_store_went_away(fleet):
    """Nothing newer than the list from before the stall can be read."""

    def leave():
        fleet.set_faults(fleet.store, outage=True)

    statuses = asyncio.run(call_after_pause(fleet, leave))
    assert statuses == [200] * CALLERS
