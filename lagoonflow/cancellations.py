"""Tells the cancellation of a task from that of what it awaits."""

import asyncio


def is_cancelled() -> bool:
    """Return whether the current task itself was cancelled.

    Otherwise a ``CancelledError`` is that of something that the task awaited.
    Within a time limit that has ended it was cancelled, too.
    """
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
