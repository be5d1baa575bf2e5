"""Cancels the work on a request when its caller disconnects."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from starlette.requests import Request

Answer = TypeVar('Answer')


class CallerDisconnected(Exception):
    """The caller disconnected before its answer was ready."""


async def cancel_on_disconnect(
    request: Request, work: Awaitable[Answer]
) -> Answer:
    """Await the work, but cancel it when the caller disconnects.

    :raises CallerDisconnected: when the caller disconnects first.
    """
    work_task = asyncio.ensure_future(work)
    disconnect_task = asyncio.ensure_future(_wait_for_disconnect(request))
    try:
        await asyncio.wait(
            {work_task, disconnect_task},
            return_when=asyncio.FIRST_COMPLETED,
        )
        if work_task.done():
            return work_task.result()
        raise CallerDisconnected
    finally:
        await _cancel_all(work_task, disconnect_task)


async def _cancel_all(*tasks: asyncio.Future) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _wait_for_disconnect(request: Request) -> None:
    while True:
        message = await request.receive()
        if message['type'] == 'http.disconnect':
            return
