"""Tests of moving timeouts."""

import asyncio

import pytest

from lagoonflow.relay.timers import move_timeout


async def test_a_timeout_is_moved():
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(10) as timer:
            move_timeout(timer, asyncio.get_running_loop().time())
            await asyncio.sleep(1)


async def test_a_timeout_that_is_ending_is_left_alone():
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.01) as timer:
            try:
                await asyncio.sleep(1)
            finally:
                move_timeout(timer, 0)
