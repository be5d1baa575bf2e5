"""Notices when a caller goes away while its answer is prepared."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from starlette.requests import Request

Answer = TypeVar('Answer')


class CallerGone(Exception):
    """The caller has closed its connection."""


async def unless_gone(request: Request, work: Awaitable[Answer]) -> Answer:
    """Await the work, but cancel it when the caller goes away.

    :raises CallerGone: when the caller went away first.
    """
    working = asyncio.ensure_future(work)
    watching = asyncio.ensure_future(_wait_for_disconnect(request))
    try:
        await asyncio.wait(
            {working, watching},
            return_when=asyncio.FIRST_COMPLETED,
        )
        if working.done():
            return working.result()
        raise CallerGone
    finally:
        await _end(working, watching)


async def _end(*tasks: asyncio.Future) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _wait_for_disconnect(request: Request) -> None:
    while True:
        message = await request.receive()
        if message['type'] == 'http.disconnect':
            return
