"""Background tasks of a program that end by themselves."""

import asyncio

import pytest

from lagoonflow.wiring import background


class Log:
    """Keeps the names of tasks that were logged as failed."""

    def __init__(self) -> None:
        self.failed: list[str] = []

    def error(self, _message: str, *, task: str, **_fields: object) -> None:
        self.failed.append(task)


@pytest.mark.parametrize('is_stopped', [False, True])
async def test_a_task_whose_wait_was_cancelled_does_not_end_silently(
    monkeypatch, is_stopped
):
    log = Log()
    monkeypatch.setattr(background, 'get_logger', lambda _: log)
    waiter = asyncio.get_running_loop().create_future()

    async def wait():
        await waiter

    tasks = background.BackgroundTasks()
    tasks.start('reader', wait())
    await asyncio.sleep(0)
    if not is_stopped:
        waiter.cancel()
        await asyncio.sleep(0.01)
    await tasks.stop()
    assert log.failed == ([] if is_stopped else ['reader'])
