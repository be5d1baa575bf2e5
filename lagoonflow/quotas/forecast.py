"""Predicts when tokens for a waiting request will be there."""

import dataclasses
import math

from lagoonflow.quotas.waiting import WaitingRequest
from lagoonflow.results import Refusal, Result

_MS_PER_S = 1000
_MIN_RETRY_MS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """Supply of one organisation's tokens as one router sees it.

    :param held_tokens: what can be spent now.
    :param reach_tokens: what is asked for or expected at peers.
    :param own_tokens_per_s: rate of the own share.
    :param peer_tokens_per_s: rate of peers that do not need it themselves.
    :param fleet_tokens_per_s: rate of the organisation.
    :param round_trip_ms: least time that borrowing takes.
    :param next_growth_ms: when a short peer is taken to accrue again.
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
        """Refuse a request that can't be admitted before its deadline.

        :param ahead_tokens: cost of the requests that are served before.
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
        """When the own share alone reaches an amount, if it grows."""
        if self.own_tokens_per_s <= 0:
            return None
        missing_tokens = needed_tokens - self.available_tokens
        return self.now_ms + missing_tokens * _MS_PER_S / self.own_tokens_per_s

    def next_borrow_ms(self, needed_tokens: float) -> float | None:
        """When own and peers' tokens may reach an amount, if they grow."""
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
    """Refusal of a request that no waiting can help."""
    return Refusal(
        Result.LARGER_THAN_BURST,
        'The request needs more tokens than the burst of its organisation.',
    )
