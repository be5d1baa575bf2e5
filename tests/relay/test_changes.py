"""In which order waiting calls go on when the fleet changes."""

import asyncio

from lagoonflow.relay.changes import ChangeNotifier
from loopback.virtual_loop import run_virtually

CALLS = 50
ARRIVAL_INTERVAL_MS = 7
RECHECK_MS = 120


def test_calls_that_arrived_first_go_on_first():
    """Guards against newer calls that take the place of earlier ones."""
    notifier = ChangeNotifier()
    resumed = []

    async def wait(loop, number):
        notified_ms = CALLS * ARRIVAL_INTERVAL_MS
        arrived_ms = loop.time_ms()
        while loop.time_ms() < notified_ms:
            await notifier.wait(RECHECK_MS, arrived_ms)
        resumed.append(number)

    async def main(loop):
        tasks = []
        for number in range(CALLS):
            tasks.append(asyncio.ensure_future(wait(loop, number)))
            await asyncio.sleep(ARRIVAL_INTERVAL_MS / 1000)
        notifier.notify()
        await asyncio.gather(*tasks)

    run_virtually(main)
    assert resumed == list(range(CALLS))
