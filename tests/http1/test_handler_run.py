"""Handlers that are stopped, and what remains of their cancellation."""

import asyncio

import pytest

from lagoonflow.http1.handler_run import HandlerRun


@pytest.mark.parametrize('is_answered', [False, True])
@pytest.mark.parametrize('is_task_cancelled', [False, True])
async def test_only_a_handler_that_has_answered_leaves_its_task_uncancelled(
    is_answered, is_task_cancelled
):
    run = HandlerRun()

    async def serve() -> tuple[bool, int]:
        is_ended = False
        try:
            await run.run(asyncio.sleep(5), lambda: is_answered, may_wait=True)
        except asyncio.CancelledError:
            is_ended = True
        return is_ended, asyncio.current_task().cancelling()

    task = asyncio.create_task(serve())
    await asyncio.sleep(0)
    run.stop()
    run.stop()
    if is_task_cancelled:
        task.cancel()
    goes_on = is_answered and not is_task_cancelled
    left = 0 if goes_on else 1 + is_task_cancelled
    assert await task == (not goes_on, left)
