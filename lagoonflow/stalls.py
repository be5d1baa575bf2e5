"""Time in which the event loop of this process did not run."""

import asyncio
import weakref

import structlog

from lagoonflow.clock import MS_PER_S
from lagoonflow.event_loop import rounds_of

# Interval at which the event loop notes that it runs, in ms.
TICK_MS = 100
# A tick may be late by this much without a stall, in ms: timers fire late by a
# few ms, and a round of the event loop takes some ms on a busy host.
TOLERANCE_MS = 20
# Shorter stalls are measured but not logged, in ms.
LOGGED_STALL_MS = 200


class StallMeter:
    """Measures for how long an event loop did not run.

    A loop stands still while a callback runs long, and while the process is
    stopped or gets no processor time. A tick that is late shows a stall; its
    time is that of the loop's longest round since the tick before. Stalls
    shorter than a tick may go unnoticed. Where rounds aren't measured, or while
    the loop waits for sockets, a stall is measured from the due time of the
    tick, so up to a tick too short.

    :ivar longest_ms: longest stall so far, in ms.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create a meter that doesn't tick before :meth:`begin_use`."""
        self.longest_ms: float = 0
        # The meter must not keep its loop alive, as it is the key of the meter.
        self._loop_ref = weakref.ref(loop)
        self._rounds = rounds_of(loop)
        self._log = structlog.get_logger(part='process')
        self._uses = 0
        self._due_s: float = 0
        self._stalled_s: float = 0
        self._tick_handle: asyncio.TimerHandle | None = None

    def begin_use(self) -> None:
        """Measure until each use has ended."""
        self._uses += 1
        if self._uses == 1:
            self._schedule()

    def end_use(self) -> None:
        """Stop measuring if this was the last use."""
        self._uses -= 1
        if not self._uses and self._tick_handle is not None:
            self._stalled_s += self._overdue_s()
            self._tick_handle.cancel()
            self._tick_handle = None

    def stalled_s(self) -> float:
        """Return the time of all stalls so far, in s.

        It only grows, and includes a stall that has not been noted yet.
        """
        return self._stalled_s + self._overdue_s()

    def _overdue_s(self) -> float:
        loop = self._loop_ref()
        if self._tick_handle is None or loop is None:
            return 0
        late_s = loop.time() - self._due_s
        if late_s <= TOLERANCE_MS / MS_PER_S:
            return 0
        longest_s = 0 if self._rounds is None else self._rounds.longest_s()
        return max(late_s, longest_s)

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        if self._rounds is not None:
            self._rounds.restart()
        self._due_s = loop.time() + TICK_MS / MS_PER_S
        self._tick_handle = loop.call_at(self._due_s, self._tick)

    def _tick(self) -> None:
        stall_s = self._overdue_s()
        if stall_s:
            self._note_stall(stall_s)
        self._schedule()

    def _note_stall(self, stall_s: float) -> None:
        self._stalled_s += stall_s
        stall_ms = stall_s * MS_PER_S
        self.longest_ms = max(self.longest_ms, stall_ms)
        if stall_ms >= LOGGED_STALL_MS:
            self._log.warning('event loop stalled', stall_ms=int(stall_ms))


def stalled_ms() -> float:
    """Return for how long the running event loop stood still so far, in ms."""
    return stall_meter().stalled_s() * MS_PER_S


_meters: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, StallMeter] = (
    weakref.WeakKeyDictionary()
)


def stall_meter() -> StallMeter:
    """Return the meter of the running event loop."""
    loop = asyncio.get_running_loop()
    meter = _meters.get(loop)
    if meter is None:
        meter = StallMeter(loop)
        _meters[loop] = meter
    return meter
