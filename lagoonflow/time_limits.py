"""Time limits that leave room for what has already arrived."""

import asyncio
import types
from collections.abc import Callable
from typing import Self

from lagoonflow.clock import MS_PER_S
from lagoonflow.stalls import stall_meter

# Rounds of the event loop between the end of a limit and the cancellation: what
# has arrived passes through a few tasks and futures before the block gets it.
GRACE_ROUNDS = 10
# Where rounds are long, the cancellation follows once this much time has passed
# since the end of the limit, in ms.
MAX_GRACE_MS = 20

BeforeEnd = Callable[[], float]


class TimeLimit:
    """Cancels the block of an ``async with`` statement when its time is up.

    In contrast to ``asyncio.timeout``, what has reached this process by then is
    handled first, and the limit is extended by the time in which the event loop
    did not run: silence during a stall is not the peer's. All extensions
    together are no longer than the limit itself.

    :param limit_s: time limit in s.
    :param counts_stalls: don't extend the limit, as it ends at a moment that
        others rely on.
    :param before_end: called when the time is up; returns by how many ms the
        limit is extended, 0 to end it.
    """

    def __init__(
        self,
        limit_s: float,
        *,
        counts_stalls: bool = False,
        before_end: BeforeEnd | None = None,
    ) -> None:
        """Create a limit; its time begins with the block."""
        self._limit_s = limit_s
        self._before_end = before_end
        self._counts_stalls = counts_stalls
        self._is_expired = False
        self._handle: asyncio.Handle | None = None

    async def __aenter__(self) -> Self:
        """Begin the time.

        :raises RuntimeError: outside a task.
        """
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError('a time limit applies to a task')
        self._task = task
        self._cancellations = task.cancelling()
        self._loop = asyncio.get_running_loop()
        self._meter = stall_meter()
        self._meter.begin_use()
        self._start(self._loop.time() + self._limit_s)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """End the time.

        :raises TimeoutError: when the limit cancelled the block.
        """
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
        self._meter.end_use()
        # It may refer to this limit: the cycle would keep what it uses, such as
        # the body of a request, until the next full garbage collection.
        self._before_end = None
        if not self._is_expired:
            return
        is_only_cancellation = self._task.uncancel() <= self._cancellations
        if is_only_cancellation and error_type is asyncio.CancelledError:
            raise TimeoutError from error

    def expired(self) -> bool:
        """Return whether the block has been cancelled."""
        return self._is_expired

    def reschedule(self, at_s: float) -> None:
        """Move the end of the limit, unless the block has ended.

        A limit that is ending already goes on ending if the new time is past.

        :param at_s: time of the event loop, in s.
        """
        if self._is_expired or self._handle is None:
            return
        is_ending = self._rounds_left < GRACE_ROUNDS
        if is_ending and at_s <= self._loop.time():
            return
        self._handle.cancel()
        self._start(at_s)

    def _start(self, at_s: float) -> None:
        self._rounds_left = GRACE_ROUNDS
        self._began_s = self._loop.time()
        self._length_s = max(at_s - self._began_s, 0)
        self._extension_left_s = 0 if self._counts_stalls else self._length_s
        self._stalled_before_s = self._meter.stalled_s()
        self._handle = self._loop.call_at(at_s, self._extend_or_end)

    def _extend_or_end(self) -> None:
        """Extend the limit by the time in which the loop did not run."""
        stalled_s = self._meter.stalled_s() - self._stalled_before_s
        passed_s = self._loop.time() - self._began_s
        left_s = self._length_s - (passed_s - stalled_s)
        extension_s = min(left_s, self._extension_left_s)
        if stalled_s and extension_s > 0:
            self._extension_left_s -= extension_s
            self._handle = self._loop.call_later(
                extension_s, self._extend_or_end
            )
            return
        self._grace_until_s = self._loop.time() + MAX_GRACE_MS / MS_PER_S
        self._end()

    def _end(self) -> None:
        """Let pending callbacks run, then cancel the block.

        Timers run after the callbacks for received bytes in a round of the
        event loop, and what these wake runs before what is scheduled here.
        """
        is_first = self._rounds_left == GRACE_ROUNDS
        is_late = self._loop.time() > self._grace_until_s
        if self._rounds_left and (is_first or not is_late):
            self._rounds_left -= 1
            self._handle = self._loop.call_later(0, self._end)
            return
        self._handle = self._loop.call_soon(self._expire)

    def _expire(self) -> None:
        extension_ms = 0 if self._before_end is None else self._before_end()
        if extension_ms:
            self._start(self._loop.time() + extension_ms / MS_PER_S)
            return
        self._is_expired = True
        self._task.cancel()


def time_limit(
    limit_ms: float,
    *,
    counts_stalls: bool = False,
    before_end: BeforeEnd | None = None,
) -> TimeLimit:
    """Return a limit for the block of an ``async with`` statement.

    :param limit_ms: time limit in ms.
    :param counts_stalls: don't extend the limit by the time in which the event
        loop did not run, as it ends at a moment that others rely on.
    :param before_end: called when the time is up; returns by how many ms the
        limit is extended, 0 to end it.
    """
    return TimeLimit(
        limit_ms / MS_PER_S,
        counts_stalls=counts_stalls,
        before_end=before_end,
    )
