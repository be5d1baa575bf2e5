"""Which crashes are sent to the other routers, and how often."""

from collections.abc import Mapping

from lagoonflow.crashes.calls import CrashId
from lagoonflow.gossip.messages import CrashEntry

# Changed entries are sent to the other routers again at this interval, in ms,
# as datagrams may be lost.
REPEAT_INTERVAL_MS = 700
REPEATS = 4
# Entries, and requests suspected in them, in one message at most, so that it
# fits into a datagram.
MAX_SENT = 32
MAX_SENT_CALLS = 1024


class Announcements:
    """Remembers which entries have changed since they were sent."""

    def __init__(self) -> None:
        """Start with nothing to send."""
        self._repeats_left: dict[CrashId, int] = {}
        self._has_unsent = False
        self._sent_at_ms = float('-inf')

    def add(self, crash_id: CrashId) -> None:
        """Send an entry that has changed."""
        # Moved to the end, since the newest entries are sent first.
        self._repeats_left.pop(crash_id, None)
        self._repeats_left[crash_id] = REPEATS
        self._has_unsent = True

    def take_due(
        self, crashes: Mapping[CrashId, CrashEntry], now_ms: float
    ) -> tuple[CrashEntry, ...]:
        """Return the entries to send now.

        :param crashes: all entries that are known.
        """
        is_repeat_due = now_ms - self._sent_at_ms >= REPEAT_INTERVAL_MS
        if not self._repeats_left or not (self._has_unsent or is_repeat_due):
            return ()
        self._sent_at_ms = now_ms
        due = _newest_that_fit(
            [
                crashes[crash_id]
                for crash_id in reversed(self._repeats_left)
                if crash_id in crashes
            ]
        )
        sent = {crash.crash_id for crash in due}
        waiting = {
            crash_id: left
            for crash_id, left in self._repeats_left.items()
            if crash_id in crashes and crash_id not in sent
        }
        repeated = {
            crash_id: left - 1
            for crash_id, left in self._repeats_left.items()
            if crash_id in sent and left > 1
        }
        # Entries that didn't fit come next.
        self._repeats_left = repeated | waiting
        self._has_unsent = bool(waiting)
        return tuple(due)


def _newest_that_fit(crashes: list[CrashEntry]) -> list[CrashEntry]:
    calls = 0
    fitting: list[CrashEntry] = []
    for crash in crashes[:MAX_SENT]:
        calls += len(crash.call_ages_ms)
        if fitting and calls > MAX_SENT_CALLS:
            break
        fitting.append(crash)
    return fitting
