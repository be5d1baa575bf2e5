"""How backend servers have answered this router lately."""

import dataclasses

# First time for which a server that failed is avoided, in ms; doubled with
# each further failure.
FIRST_PENALTY_MS = 400
LONGEST_PENALTY_MS = 4000
# Weight of the newest answer in the failure rate.
FAILURE_SMOOTHING = 0.15
# Weight of the newest answer in the lag.
LAG_SMOOTHING = 0.3
# Time in which a lag is halved without answers, in ms.
LAG_HALF_LIFE_MS = 1500
# Answers of a server without load begin within this time, in ms.
NORMAL_WAIT_MS = 500
# A server that fails more often than this is used only when others are not
# there.
MAX_FAILURE_RATE = 0.4
# Time after which the failure rate is halved without answers, in ms.
FAILURE_HALF_LIFE_MS = 3000


@dataclasses.dataclass(slots=True)
class ServerHealth:
    """What this router has seen of one server.

    :ivar inflight: requests that this router has there.
    :ivar failure_rate: smoothed share of failed requests.
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
        """Note a request whose answer has not begun.

        :param token: identity of the request.
        """
        self._wait_starts_ms[request_key] = now_ms

    def end_wait(self, request_key: int) -> float | None:
        """Note that an answer has begun; returns when its wait began."""
        return self._wait_starts_ms.pop(request_key, None)

    def note_lag(self, lag_ms: float, now_ms: float) -> None:
        """Note how much later than expected an answer has begun."""
        known_ms = self._decayed_lag_ms(now_ms)
        self._lag_ms = known_ms + LAG_SMOOTHING * (lag_ms - known_ms)
        self._lag_at_ms = now_ms

    def lag_ms(self, now_ms: float) -> float:
        """How much later than expected answers begin, in ms."""
        oldest_ms = min(self._wait_starts_ms.values(), default=now_ms)
        overdue_ms = now_ms - oldest_ms - NORMAL_WAIT_MS
        return max(self._decayed_lag_ms(now_ms), overdue_ms, 0)

    def note_success(self, now_ms: float) -> None:
        """Note a good answer."""
        self._decay(now_ms)
        self.failures_in_row = 0
        self.avoided_until_ms = 0
        self.failure_rate *= 1 - FAILURE_SMOOTHING

    def note_error_answer(self, now_ms: float) -> None:
        """Note an answer that states a failure."""
        self._decay(now_ms)
        self.failure_rate += FAILURE_SMOOTHING * (1 - self.failure_rate)

    def note_no_answer(self, now_ms: float) -> None:
        """Note a request without an answer; avoids the server for a while."""
        self.note_error_answer(now_ms)
        self.failures_in_row += 1
        doublings = min(self.failures_in_row - 1, 10)
        penalty_ms = min(FIRST_PENALTY_MS * 2**doublings, LONGEST_PENALTY_MS)
        self.avoided_until_ms = now_ms + penalty_ms

    def is_avoided(self, now_ms: float) -> bool:
        """Whether others should be preferred."""
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
