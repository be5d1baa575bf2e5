"""Who may buffer how many bytes, and whose reads stop first.

The load: hundreds of callers that read their answers slowly or send large
request bodies, beside callers that read normally, at a router whose process is
killed above 200 MB. A router goes on reading an answer while its caller takes
it slowly, as servers abort answers that stay unread. The bytes that it holds
meanwhile are bounded for each call, for each caller and for the process.
"""

import enum
from collections.abc import Mapping

# Each call may hold this much always, so that a budget that others have used up
# doesn't stop a caller that reads normally: about three TCP segments.
FREE_BYTES = 4096
# Up to this share of a budget, calls hold what they need. Above it only those
# that hold less than an even share of the rest may hold more.
EVEN_SHARES_ABOVE = 2 / 3
# A stream is read no further while this much of it waits for its caller.
# Answers are some kB; the events that a caller takes late are of little use.
STREAM_BYTES = 262_144
# All calls of one caller may hold this share of a budget.
CALLER_SHARE = 0.5


class Direction(enum.Enum):
    """Which way the bytes go: answers to callers, or requests to servers."""

    ANSWERS = 'answers'
    REQUESTS = 'requests'


# Bytes that a process may hold in each direction. A router takes 24 MB without
# calls (docs/CAPACITY.md), so that half of the smallest host's 200 MB is left for
# objects of the calls and for the kernel's buffers of their connections.
TOTAL_BYTES: Mapping[Direction, int] = {
    Direction.ANSWERS: 41_943_040,
    Direction.REQUESTS: 33_554_432,
}


class _Pool:
    """Bytes that a group of calls holds of what the group may hold."""

    def __init__(self, total_bytes: float) -> None:
        self.held_bytes = 0
        self.calls = 0
        self._total_bytes = total_bytes
        self._even_above_bytes = total_bytes * EVEN_SHARES_ABOVE

    @property
    def is_used_up(self) -> bool:
        """Whether only calls that hold nothing yet may hold more."""
        return self.held_bytes >= self._total_bytes

    def change(self, before_bytes: int, after_bytes: int) -> None:
        """Count a change of what one call holds."""
        self.held_bytes += after_bytes - before_bytes
        self.calls += bool(after_bytes) - bool(before_bytes)

    def allows_more(self, call_bytes: int) -> bool:
        """Return whether a call that holds this much may hold more."""
        if self.held_bytes < self._even_above_bytes:
            return True
        if self.is_used_up:
            return False
        rest_bytes = self._total_bytes - self._even_above_bytes
        return call_bytes < rest_bytes / max(self.calls, 1)


class Holding:
    """What one call holds in one direction.

    :ivar held_bytes: bytes that it holds now.
    """

    def __init__(
        self, budget: 'MemoryBudget', direction: Direction, caller: str
    ) -> None:
        """Start with nothing; ``MemoryBudget.open`` creates holdings."""
        self.held_bytes = 0
        self._budget = budget
        self._direction = direction
        self._caller = caller

    def update(self, held_bytes: int) -> None:
        """Record how many bytes the call holds now; 0 ends the holding."""
        if held_bytes != self.held_bytes:
            self._budget.change(
                self._direction, self._caller, self.held_bytes, held_bytes
            )
            self.held_bytes = held_bytes

    def may_grow(self, *, is_whole: bool) -> bool:
        """Return whether more bytes may be read for the call.

        :param is_whole: the message is forwarded only once it is whole.
        """
        if not is_whole and self.held_bytes >= STREAM_BYTES:
            return False
        return self._budget.allows_more(
            self._direction, self._caller, self.held_bytes
        )


class MemoryBudget:
    """Bytes that all calls of a process hold, by direction and caller.

    A call may exceed a bound by the part that is read when it is below it.
    """

    def __init__(
        self, total_bytes: Mapping[Direction, int] = TOTAL_BYTES
    ) -> None:
        """Start with nothing held.

        :param total_bytes: bytes that all calls together may hold.
        """
        self._total_bytes = total_bytes
        self._pools = {
            direction: _Pool(bound_bytes)
            for direction, bound_bytes in total_bytes.items()
        }
        self._caller_pools: dict[tuple[Direction, str], _Pool] = {}

    def open(self, direction: Direction, caller: str) -> Holding:
        """Return a holding of a call.

        :param caller: name of the organisation; empty when there is none.
        """
        return Holding(self, direction, caller)

    def held_bytes(self, direction: Direction) -> int:
        """Return the bytes that all calls hold in a direction."""
        return self._pools[direction].held_bytes

    def is_used_up(self, direction: Direction) -> bool:
        """Return whether all bytes of a direction are held."""
        return self._pools[direction].is_used_up

    def change(
        self,
        direction: Direction,
        caller: str,
        before_bytes: int,
        after_bytes: int,
    ) -> None:
        """Count a change of what one call of a caller holds."""
        self._pools[direction].change(before_bytes, after_bytes)
        key = (direction, caller)
        pool = self._caller_pools.get(key)
        if pool is None:
            pool = _Pool(self._total_bytes[direction] * CALLER_SHARE)
            self._caller_pools[key] = pool
        pool.change(before_bytes, after_bytes)
        if not pool.calls:
            self._caller_pools.pop(key)

    def allows_more(
        self, direction: Direction, caller: str, call_bytes: int
    ) -> bool:
        """Return whether a call that holds this much may hold more."""
        if call_bytes < FREE_BYTES:
            return True
        caller_pool = self._caller_pools.get((direction, caller))
        is_caller_below = caller_pool is None or caller_pool.allows_more(
            call_bytes
        )
        return is_caller_below and self._pools[direction].allows_more(
            call_bytes
        )


class ReaderProgress:
    """How long a caller has taken none of the bytes that are held for it."""

    def __init__(self) -> None:
        """Start with a caller that has been sent nothing."""
        self._taken_bytes = 0
        self._stalled_ms: float = 0

    def observe(
        self, held_bytes: int, taken_bytes: int, elapsed_ms: float
    ) -> float:
        """Return for how long the caller has taken nothing, in ms.

        :param held_bytes: bytes that are held for it now.
        :param taken_bytes: bytes that it has taken so far.
        :param elapsed_ms: time since the last call during which the caller
            could have taken some. It leaves out the time for which this
            process was suspended.
        """
        if held_bytes and taken_bytes == self._taken_bytes:
            self._stalled_ms += elapsed_ms
        else:
            self._stalled_ms = 0
        self._taken_bytes = taken_bytes
        return self._stalled_ms
