"""Notices when a caller goes away while its answer is prepared."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from starlette.requests import Request

Answer = TypeVar('Answer')


class CallerDisconnected(Exception):
    """The caller has closed its connection."""


async def cancel_on_disconnect(
    request: Request, work: Awaitable[Answer]
) -> Answer:
    """Await the work, but cancel it when the caller goes away.

    :raises CallerGone: when the caller went away first.
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
