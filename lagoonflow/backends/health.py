"""Recent failures and delays of backend servers, as this router saw them."""

import dataclasses

# A server that gave no answer is avoided for this long at first; the time
# doubles with each further failure.
FIRST_PENALTY_MS = 400
LONGEST_PENALTY_MS = 4000
# Weight of the newest answer in the smoothed failure rate.
FAILURE_SMOOTHING = 0.15
# Weight of the newest answer in the smoothed lag.
LAG_SMOOTHING = 0.3
# Without new answers the lag is halved in this time.
LAG_HALF_LIFE_MS = 1500
# Answers of a server without load begin within this time.
NORMAL_WAIT_MS = 500
# A server with a higher failure rate is used only when there is no other one.
MAX_FAILURE_RATE = 0.4
# Without new answers the failure rate is halved in this time.
FAILURE_HALF_LIFE_MS = 3000


@dataclasses.dataclass(slots=True)
class ServerHealth:
    """Failure rate and lag of one server, as this router has seen them.

    :ivar inflight: requests of this router that are in flight there.
    :ivar failure_rate: smoothed share of failed requests, 0 to 1.
    :ivar failures_in_row: requests without an answer since the last good one.
    :ivar avoided_until_ms: time until which other servers are preferred.
    """

    inflight: int = 0
    failure_rate: float = 0
    failures_in_row: int = 0
    avoided_until_ms: float = 0
    updated_at_ms: float = 0
    _lag_ms: float = 0
    _lag_at_ms: float = 0
    _wait_starts_ms: dict[int, float] = dataclasses.field(default_factory=dict)

    def begin_wait(self, request_key: int, now_ms: float) -> None:
        """Record a request whose answer has not begun.

        :param request_key: identifies the request in ``end_wait``.
        """
        self._wait_starts_ms[request_key] = now_ms

    def end_wait(self, request_key: int) -> float | None:
        """Record that an answer has begun or is no longer waited for.

        :return: when the wait began; ``None`` if it has ended already.
        """
        return self._wait_starts_ms.pop(request_key, None)

    def note_lag(self, lag_ms: float, now_ms: float) -> None:
        """Record how much later than expected an answer began."""
        known_ms = self._decayed_lag_ms(now_ms)
        self._lag_ms = known_ms + LAG_SMOOTHING * (lag_ms - known_ms)
        self._lag_at_ms = now_ms

    def lag_ms(self, now_ms: float, time_factor: float = 1) -> float:
        """Return how much later than expected answers begin, in ms.

        Answers that are still waited for count once they are overdue.

        :param time_factor: how much longer than usual work takes at the
            server; it is given more time by this if it is slow.
        """
        oldest_ms = min(self._wait_starts_ms.values(), default=now_ms)
        normal_ms = NORMAL_WAIT_MS * max(time_factor, 1)
        overdue_ms = now_ms - oldest_ms - normal_ms
        return max(self._decayed_lag_ms(now_ms), overdue_ms, 0)

    def note_success(self, now_ms: float) -> None:
        """Record a good answer; the server is not avoided any more."""
        self._decay(now_ms)
        self.failures_in_row = 0
        self.avoided_until_ms = 0
        self.failure_rate *= 1 - FAILURE_SMOOTHING

    def note_error_answer(self, now_ms: float) -> None:
        """Record an answer that states a server error."""
        self._decay(now_ms)
        self.failure_rate += FAILURE_SMOOTHING * (1 - self.failure_rate)

    def note_no_answer(self, now_ms: float) -> None:
        """Record a request without an answer; avoid the server for a while."""
        self.note_error_answer(now_ms)
        self.failures_in_row += 1
        doublings = min(self.failures_in_row - 1, 10)
        penalty_ms = min(FIRST_PENALTY_MS * 2**doublings, LONGEST_PENALTY_MS)
        self.avoided_until_ms = now_ms + penalty_ms

    def is_avoided(self, now_ms: float) -> bool:
        """Return whether other servers should be preferred."""
        self._decay(now_ms)
        is_penalised = now_ms < self.avoided_until_ms
        return is_penalised or self.failure_rate > MAX_FAILURE_RATE

    def _decayed_lag_ms(self, now_ms: float) -> float:
        elapsed_ms = now_ms - self._lag_at_ms
        return self._lag_ms * 0.5 ** (elapsed_ms / LAG_HALF_LIFE_MS)

    def _decay(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self.updated_at_ms
        self.updated_at_ms = now_ms
        self.failure_rate *= 0.5 ** (elapsed_ms / FAILURE_HALF_LIFE_MS)
