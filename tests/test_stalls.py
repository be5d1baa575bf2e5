"""Tests of the meter of event loop stalls."""

import asyncio
import gc
import time
import weakref

import pytest

from lagoonflow.stalls import TICK_MS, stall_meter


def stall(duration_s: float) -> None:
    """Hold the event loop up."""
    time.sleep(duration_s)


async def test_a_stall_is_measured_while_it_is_going_on_and_once():
    meter = stall_meter()
    meter.begin_use()
    await asyncio.sleep(0)
    stall(0.5)
    during_s = meter.stalled_s()
    await asyncio.sleep(2 * TICK_MS / 1000)
    meter.end_use()
    assert 0.5 - TICK_MS / 1000 <= during_s <= 0.6
    assert abs(meter.stalled_s() - during_s) < 0.1
    assert 400 <= meter.longest_ms < 600


@pytest.mark.parametrize('before_s', [0.005, 0.05, 0.09])
async def test_a_stall_between_two_ticks_is_measured_whole(before_s):
    meter = stall_meter()
    meter.begin_use()
    await asyncio.sleep(before_s)
    stall(0.25)
    await asyncio.sleep(0)
    assert 0.24 <= meter.stalled_s() <= 0.3
    meter.end_use()


async def test_nothing_is_measured_without_a_use():
    meter = stall_meter()
    stall(0.2)
    await asyncio.sleep(0.15)
    assert meter.stalled_s() == 0


def test_a_closed_event_loop_is_not_kept_alive():
    async def measure():
        meter = stall_meter()
        meter.begin_use()
        meter.end_use()
        return weakref.ref(asyncio.get_running_loop())

    loop = asyncio.run(measure())
    gc.collect()
    assert loop() is None
