"""Permits that limit loads from the weight store across the fleet."""

import dataclasses

from lagoonflow.placement.messages import (
    LoadFinished,
    PermitReply,
    PermitRequest,
)
from lagoonflow.streams.messages import Versions

# A permit expires after this time, in case its agent dies during the load.
PERMIT_LIFETIME_MS = 120_000
# A permit request that isn't repeated is dropped after this time.
REQUEST_LIFETIME_MS = 4_000
_MS_PER_S = 1000
# Each waiting request makes the effective deadline of its load earlier by this.
_ADVANCE_PER_REQUEST_MS = 500
# Waiting requests beyond this number don't count.
_MAX_COUNTED_REQUESTS = 20
# The effective deadline is earlier by this time if the organisation was served
# none of its requests, and by a part of it if it was served some.
_UNFAIRNESS_ADVANCE_MS = 10_000
# A load is slow if it takes this many times the typical time per MB.
_SLOW_RATIO = 1.5
# Weight of a new load in the moving average of the time per MB.
_AVERAGE_WEIGHT = 0.2
# After each load that isn't slow, the limit of parallel loads rises by this.
_PARALLEL_RECOVERED_PER_LOAD = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """Limits of the weight store.

    :param rate_per_s: loads that may start each second.
    :param parallel: most loads that the store serves at full speed at once.
    """

    rate_per_s: float
    parallel: int


@dataclasses.dataclass(frozen=True, slots=True)
class _WaitingLoad:
    """One load that waits for a permit.

    :param effective_deadline_ms: deadline that determines its priority.
    """

    request: PermitRequest
    effective_deadline_ms: float
    requested_at_ms: int


class StorePermits:
    """Limits the rate and number of loads, the most urgent load first.

    The number of parallel loads is reduced while loads are slow, which shows
    that the store is overloaded.

    :ivar versions: stream versions that this process has applied.
    """

    def __init__(self, settings: StoreSettings) -> None:
        self.versions = Versions()
        self._settings = settings
        self._parallel = float(settings.parallel)
        self._waiting: dict[str, _WaitingLoad] = {}
        self._running: dict[str, int] = {}
        self._next_start_ms = float(0)
        self._typical_ms_per_mb = float(0)

    @property
    def parallel(self) -> int:
        """Number of loads that may run at once now."""
        return max(1, int(self._parallel))

    def enqueue(self, now_ms: int, request: PermitRequest) -> None:
        """Queue a load for a permit; a repeat replaces the earlier request."""
        self._waiting[request.permit_id] = _WaitingLoad(
            request, _effective_deadline_ms(now_ms, request), now_ms
        )

    def cancel(self, permit_id: str) -> None:
        """Remove a load from the queue."""
        self._waiting.pop(permit_id, None)

    def grant_due(self, now_ms: int) -> tuple[PermitReply, ...]:
        """Grant permits to the loads that may start now, most urgent first.

        A load that has a permit is granted it again, since the earlier reply
        was lost.
        """
        self._expire(now_ms)
        granted: list[PermitReply] = []
        for waiting in sorted(self._waiting.values(), key=_by_urgency):
            permit_id = waiting.request.permit_id
            if permit_id in self._running:
                granted.append(self._grant(now_ms, permit_id))
            elif self._may_start(now_ms):
                self._schedule_next_start(now_ms)
                granted.append(self._grant(now_ms, permit_id))
        return tuple(granted)

    def retry_reply(self, now_ms: int, permit_id: str) -> PermitReply:
        """Build the reply that tells a waiting load when to ask again."""
        wait_ms = max(1, round(self._next_start_ms - now_ms))
        return PermitReply(permit_id, False, wait_ms, self.versions)

    def on_finished(self, now_ms: int, message: LoadFinished) -> None:
        """Free the permit of a load, and adapt the number of parallel loads."""
        self._running.pop(message.permit_id, None)
        self._waiting.pop(message.permit_id, None)
        if not message.is_loaded or message.took_ms <= 0:
            return
        ms_per_mb = message.took_ms / max(1, message.memory_mb)
        if (
            self._typical_ms_per_mb
            and ms_per_mb > self._typical_ms_per_mb * _SLOW_RATIO
        ):
            least = max(1, self._settings.parallel / 2)
            self._parallel = max(least, self._parallel - 1)
        else:
            most = self._settings.parallel
            self._parallel = min(
                most, self._parallel + _PARALLEL_RECOVERED_PER_LOAD
            )
        self._update_typical_speed(ms_per_mb)

    def reset(self) -> None:
        """Drop all loads and permits, which are out of date after a pause."""
        self._waiting.clear()
        self._running.clear()

    def _may_start(self, now_ms: int) -> bool:
        has_free_slot = len(self._running) < self.parallel
        return has_free_slot and now_ms >= self._next_start_ms

    def _schedule_next_start(self, now_ms: int) -> None:
        """Compute the earliest start of the next load.

        If no load has started for a while, one missed start is made up for,
        so that two loads may start at once.
        """
        interval_ms = _MS_PER_S / self._settings.rate_per_s
        base_ms = max(self._next_start_ms, now_ms - interval_ms)
        self._next_start_ms = base_ms + interval_ms

    def _grant(self, now_ms: int, permit_id: str) -> PermitReply:
        self._waiting.pop(permit_id, None)
        self._running[permit_id] = now_ms + PERMIT_LIFETIME_MS
        return PermitReply(permit_id, True, 0, self.versions)

    def _expire(self, now_ms: int) -> None:
        for permit_id, expires_at_ms in tuple(self._running.items()):
            if expires_at_ms <= now_ms:
                self._running.pop(permit_id)
        for permit_id, waiting in tuple(self._waiting.items()):
            if waiting.requested_at_ms + REQUEST_LIFETIME_MS <= now_ms:
                self._waiting.pop(permit_id)

    def _update_typical_speed(self, ms_per_mb: float) -> None:
        if self._typical_ms_per_mb:
            self._typical_ms_per_mb += _AVERAGE_WEIGHT * (
                ms_per_mb - self._typical_ms_per_mb
            )
        else:
            self._typical_ms_per_mb = ms_per_mb


def _effective_deadline_ms(now_ms: int, request: PermitRequest) -> float:
    """Return the deadline that determines the priority of a load.

    It is earlier than the real one for many waiting requests, and for an
    organisation of which few requests are served.
    """
    requests = min(request.waiting, _MAX_COUNTED_REQUESTS)
    unfairness = 1 - request.served_ratio
    return (
        now_ms
        + request.deadline_in_ms
        - requests * _ADVANCE_PER_REQUEST_MS
        - unfairness * _UNFAIRNESS_ADVANCE_MS
    )


def _by_urgency(waiting: _WaitingLoad) -> tuple[float, int]:
    return waiting.effective_deadline_ms, waiting.requested_at_ms
