"""Predicts when the tokens for a waiting request will be available."""

import dataclasses
import math

from lagoonflow.quotas.waiting import WaitingRequest
from lagoonflow.results import Refusal, Result

_MS_PER_S = 1000
_MIN_RETRY_MS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """Expected supply of one organisation's tokens at one router.

    :param available_tokens: tokens that this router can spend now.
    :param borrowable_tokens: tokens that peers have been asked for or are
        expected to be able to lend.
    :param own_tokens_per_s: this router's share of the rate.
    :param peer_tokens_per_s: accrual rate of the peers that are not short
        of tokens themselves.
    :param fleet_tokens_per_s: rate of the organisation over all routers.
    :param burst_tokens: burst of the organisation over all routers.
    :param round_trip_ms: least time that borrowing takes.
    :param next_accrual_ms: when the next short or unreachable peer is
        expected to accrue again.
    """

    now_ms: float
    available_tokens: float
    borrowable_tokens: float
    own_tokens_per_s: float
    peer_tokens_per_s: float
    fleet_tokens_per_s: float
    burst_tokens: float
    round_trip_ms: float
    next_accrual_ms: float | None = None

    def find_refusal(
        self, request: WaitingRequest, ahead_tokens: float
    ) -> Refusal | None:
        """Return a refusal if a request can't be admitted in time.

        :param ahead_tokens: cost of the requests that are served before it.
        :returns: ``None`` if it can be admitted before its deadline.
        """
        if request.cost_tokens > self.burst_tokens:
            return larger_than_burst()
        needed_tokens = ahead_tokens + request.cost_tokens
        left_ms = request.deadline_ms - self.now_ms
        if left_ms > 0 and needed_tokens <= self._supply_tokens(left_ms):
            return None
        return Refusal(
            Result.RATE_EXCEEDED,
            'The organisation has used up its tokens.',
            retry_after_ms=self._retry_after_ms(needed_tokens),
        )

    def own_share_covers_ms(self, needed_tokens: float) -> float | None:
        """Return when own accrual alone covers an amount, if it ever does."""
        if self.own_tokens_per_s <= 0:
            return None
        missing_tokens = needed_tokens - self.available_tokens
        return self.now_ms + missing_tokens * _MS_PER_S / self.own_tokens_per_s

    def next_borrow_ms(self, needed_tokens: float) -> float | None:
        """Return when borrowing may next help to cover an amount, if ever.

        That is when own and peers' accrual may cover it, or when a short or
        unreachable peer is expected to accrue again.
        """
        times_ms = []
        if self.next_accrual_ms is not None:
            times_ms.append(self.next_accrual_ms)
        rate_tokens_per_s = self.own_tokens_per_s + self.peer_tokens_per_s
        if rate_tokens_per_s > 0:
            missing_tokens = needed_tokens - self.available_tokens
            missing_tokens -= self.borrowable_tokens
            wait_ms = missing_tokens * _MS_PER_S / rate_tokens_per_s
            times_ms.append(self.now_ms + max(wait_ms, 0))
        return min(times_ms, default=None)

    def _supply_tokens(self, left_ms: float) -> float:
        left_s = left_ms / _MS_PER_S
        supply_tokens = self.available_tokens + self.own_tokens_per_s * left_s
        if left_ms >= self.round_trip_ms:
            supply_tokens += self.borrowable_tokens
            supply_tokens += self.peer_tokens_per_s * left_s
        return supply_tokens

    def _retry_after_ms(self, needed_tokens: float) -> int:
        missing_tokens = (
            needed_tokens - self.available_tokens - self.borrowable_tokens
        )
        rate_tokens_per_s = (
            self.own_tokens_per_s + self.peer_tokens_per_s
        ) or self.fleet_tokens_per_s
        if missing_tokens <= 0 or rate_tokens_per_s <= 0:
            return _MIN_RETRY_MS
        wait_ms = missing_tokens * _MS_PER_S / rate_tokens_per_s
        return max(math.ceil(wait_ms), _MIN_RETRY_MS)


def larger_than_burst() -> Refusal:
    """Return the refusal of a request that could never be admitted."""
    return Refusal(
        Result.LARGER_THAN_BURST,
        'The request needs more tokens than the burst of its organisation.',
    )
