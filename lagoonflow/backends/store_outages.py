"""Outages of the metadata store, and how long removed entries stay in doubt."""

from lagoonflow.absences import Absences

# After an outage of the metadata store, the platform takes up to this long to
# restore the entries that expired during it, counted from the store's return.
RESTORE_MS = 2000
# A server may expire if the store is away for this many heartbeats.
EXPIRY_HEARTBEATS = 1.5
# Answers to reads are normally less far apart than this, in ms.
MIN_OUTAGE_MS = 1800
# After an absence of this process, the store answers a read within this time or
# counts as away, in ms.
REREAD_MS = 700
# Time for a request that was sent in time to reach the server, in ms.
SEND_MARGIN_MS = 200


class StoreOutages:
    """Tells whether a removed entry may have expired during an outage.

    Times are boot times in ms. The time of an answer is the one as of which it
    proves that nothing that was written is missing.

    :param drain_ms: time after a removal that the store acknowledged while it
        was stable, after which the server must get no requests.
    :param heartbeat_ms: interval at which servers renew their entries.
    :ivar absences: when this process did not run, and so read nothing.
    """

    def __init__(
        self, drain_ms: float = 2000, heartbeat_ms: float = 1200
    ) -> None:
        """Start without outages."""
        self.absences = Absences()
        self._usable_for_ms = max(drain_ms - SEND_MARGIN_MS, 0)
        self._min_outage_ms = max(
            EXPIRY_HEARTBEATS * heartbeat_ms, MIN_OUTAGE_MS
        )
        self._failed_at_ms = float('-inf')
        self._answered_at_ms = float('-inf')
        self._listed_at_ms = float('-inf')
        self._returned_at_ms = float('-inf')
        self._recovered_at_ms = float('-inf')

    def note_failure(self, now_ms: float) -> None:
        """Record that the store did not answer a read."""
        self._failed_at_ms = now_ms

    def note_answer(self, answered_at_ms: float) -> None:
        """Record an answer to a read of any topic."""
        if answered_at_ms <= self._answered_at_ms:
            return
        silent_ms = answered_at_ms - self._answered_at_ms
        silent_ms -= self.absences.between_ms(
            self._answered_at_ms, answered_at_ms
        )
        is_first = self._answered_at_ms == float('-inf')
        if silent_ms >= self._min_outage_ms and not is_first:
            self._returned_at_ms = answered_at_ms
            self._recovered_at_ms = answered_at_ms
        if self._recovered_at_ms < self._failed_at_ms < answered_at_ms:
            self._recovered_at_ms = answered_at_ms
        self._answered_at_ms = answered_at_ms

    def note_restored(self, now_ms: float) -> None:
        """Record that the store has come back from a copy.

        It may have lost entries, which their servers write again.
        """
        self._returned_at_ms = now_ms
        self._recovered_at_ms = now_ms

    def note_listed(self, listed_at_ms: float) -> None:
        """Record as of when all entries of servers have been read."""
        self._listed_at_ms = max(self._listed_at_ms, listed_at_ms)

    def is_list_outdated(self, now_ms: float) -> bool:
        """Return whether a server may be used no more of which isn't known.

        That is so after this process did not run, until the list is read again
        or could have been. A list that is old for other reasons is that of a
        store that is away, which removes no server.
        """
        self.absences.note_running(now_ms)
        if now_ms - self.absences.ended_at_ms > REREAD_MS:
            return False
        age_ms = now_ms - self._listed_at_ms
        absent_ms = self.absences.between_ms(self._listed_at_ms, now_ms)
        return age_ms - absent_ms <= self._usable_for_ms < age_ms

    def doubtful_until_ms(self, now_ms: float) -> float:
        """Return until when a removal that was read now may be an expiry.

        Nothing tells an expiry from a removal by an operator, so while the
        store may have been stable, the server is used no longer than if the
        entry had been removed right after the last complete listing.
        """
        if self._listed_at_ms < self._returned_at_ms:
            # A removal from before the return was acknowledged by a store that
            # was not stable.
            return min(
                self._returned_at_ms + RESTORE_MS, now_ms + self._usable_for_ms
            )
        return min(
            self._recovered_at_ms + RESTORE_MS,
            self._listed_at_ms + self._usable_for_ms,
        )
