"""Large requests on the way to their server."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from lagoonflow.clock import MS_PER_S
from lagoonflow.http1.channel import Channel, undelivered_bytes
from lagoonflow.relay.timers import move_timeout
from lagoonflow.time_limits import TimeLimit

# Smaller requests arrive within a few round trips or not at all.
LARGE_REQUEST_BYTES = 65_536
# Interval at which the progress of a large request is looked at, in ms.
PROGRESS_CHECK_MS = 50


@contextlib.asynccontextmanager
async def extend_during_transfer(
    channel: Channel,
    request_bytes: int,
    timer: TimeLimit,
    left_ms: Callable[[], float],
) -> AsyncIterator[None]:
    """Let a timeout begin anew whenever more of a request has arrived.

    Repeating a request that is still being transferred would take as long again
    and compete with it for the same link.

    The context has to begin with writing the request.

    :param request_bytes: length of the request's body, in bytes.
    :param timer: timeout of the wait for the answer.
    :param left_ms: returns the time until it expires without more progress.
    """
    if request_bytes < LARGE_REQUEST_BYTES:
        yield
        return
    end_bytes = channel.written_bytes + request_bytes
    extension = asyncio.create_task(_extend(channel, end_bytes, timer, left_ms))
    try:
        yield
    finally:
        extension.cancel()


async def _extend(
    channel: Channel,
    end_bytes: int,
    timer: TimeLimit,
    left_ms: Callable[[], float],
) -> None:
    """Restart a timeout at each progress, until so many bytes have arrived."""
    loop = asyncio.get_running_loop()
    arrived_bytes = _arrived_bytes(channel)
    while channel.is_open and arrived_bytes < end_bytes:
        await asyncio.sleep(PROGRESS_CHECK_MS / MS_PER_S)
        before_bytes, arrived_bytes = arrived_bytes, _arrived_bytes(channel)
        if arrived_bytes > before_bytes:
            move_timeout(timer, loop.time() + left_ms() / MS_PER_S)


def _arrived_bytes(channel: Channel) -> int:
    """Return how many written bytes the peer's kernel has confirmed."""
    return channel.written_bytes - undelivered_bytes(channel)
