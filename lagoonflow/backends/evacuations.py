"""Availability zones that operators have evacuated.

Handles the load that moves when a zone is to be emptied at once: all requests
of its servers go to the other zones, on all routers within a set time.
"""

from collections.abc import Iterable

import structlog

# Margin before the end of the time within which an evacuation must take effect,
# in ms: a request that is being sent must have reached its server by then.
CONFIRMATION_MARGIN_MS = 500
# A process whose event loop hasn't run for this long was suspended, in ms.
# Shorter pauses can't make the knowledge of evacuations too old.
SUSPENDED_MS = 1000
# After a resumption, the store answers within this time or counts as
# unreachable, in ms; an overdue read is repeated every 300 ms.
REREAD_MS = 1500
# Evacuations remembered at most; the oldest are dropped first.
MAX_ZONES = 1024


class ZoneEvacuations:
    """Tracks the evacuated zones, and whether that knowledge is recent enough.

    While the metadata store can't be read, the last known state stays in force.
    A router that was suspended can't tell whether it may go on, so it waits for
    the next read.

    :param evacuate_ms: time after which servers in an evacuated zone must get
        no requests; 0 when zones can't be evacuated.
    """

    def __init__(self, evacuate_ms: float = 0) -> None:
        """Start without evacuated zones."""
        self._evacuate_ms = evacuate_ms
        self._log = structlog.get_logger(part='servers')
        self._zones: dict[str, None] = {}
        self._confirmed_at_ms = float('-inf')
        self._ran_at_ms: float | None = None
        self._resumed_at_ms: float | None = None

    @property
    def is_enabled(self) -> bool:
        """Whether zones can be evacuated."""
        return self._evacuate_ms > 0

    @property
    def zones(self) -> frozenset[str]:
        """The evacuated zones."""
        return frozenset(self._zones)

    def is_evacuated(self, zone: str) -> bool:
        """Return whether servers in a zone must get no requests."""
        return zone in self._zones

    def apply(
        self,
        changes: Iterable[tuple[str, bool]],
        known_zones: frozenset[str],
        *,
        is_snapshot: bool,
    ) -> frozenset[str]:
        """Apply records in order; each has a zone and whether it is evacuated.

        :param known_zones: zones with listed servers; others are logged, and
            take effect once servers are listed there.
        :param is_snapshot: the changes list all evacuations, so that others
            have been cancelled.
        :returns: zones whose evacuation was cancelled.
        """
        if not self.is_enabled:
            return frozenset()
        before = self.zones
        if is_snapshot:
            self._zones.clear()
        for zone, is_evacuated in changes:
            if is_evacuated and zone:
                self._zones[zone] = None
            elif zone:
                self._zones.pop(zone, None)
            else:
                self._log.warning('evacuation ignored', why='no zone is named')
        while len(self._zones) > MAX_ZONES:
            dropped = next(iter(self._zones))
            self._zones.pop(dropped)
            self._log.warning('evacuation dropped', zone=dropped)
        returned = before - self.zones
        for zone in sorted(self.zones - before):
            self._log.info(
                'zone evacuated', zone=zone, has_servers=zone in known_zones
            )
        for zone in sorted(returned):
            self._log.info('zone taken back', zone=zone)
        return returned

    def note_read(self, current_at_ms: float) -> None:
        """Record that no evacuation that was written until then is missing."""
        self._confirmed_at_ms = max(self._confirmed_at_ms, current_at_ms)
        resumed_at_ms = self._resumed_at_ms
        if resumed_at_ms is not None and current_at_ms >= resumed_at_ms:
            self._resumed_at_ms = None

    def note_running(self, now_ms: float) -> None:
        """Record that the process runs; detects that it was suspended.

        :param now_ms: time of a clock that counts suspended time.
        """
        if (
            self._ran_at_ms is not None
            and now_ms - self._ran_at_ms > SUSPENDED_MS
        ):
            self._resumed_at_ms = now_ms
        self._ran_at_ms = now_ms

    def is_outdated(self, now_ms: float) -> bool:
        """Return whether an evacuation may be in force that isn't known.

        True only after the process was suspended, until the store was read
        again or didn't answer in time. A failed read proves nothing, as it may
        have begun before.
        """
        if not self.is_enabled:
            return False
        self.note_running(now_ms)
        if self._resumed_at_ms is None:
            return False
        if now_ms - self._resumed_at_ms > REREAD_MS:
            self._resumed_at_ms = None
            return False
        max_age_ms = self._evacuate_ms - CONFIRMATION_MARGIN_MS
        return now_ms - self._confirmed_at_ms > max_age_ms
