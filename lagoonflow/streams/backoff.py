"""Bounded exponential backoff with jitter."""

import random

BASE_MS = 50
MAX_MS = 2000
MAX_DOUBLINGS = 10


class Backoff:
    """Counts failures and draws the delay before the next attempt.

    :param rng: source of the jitter.
    :param base_ms: longest delay after the first failure, in ms.
    :param max_ms: longest delay after any failure, in ms.
    """

    def __init__(
        self,
        rng: random.Random,
        base_ms: int = BASE_MS,
        max_ms: int = MAX_MS,
    ) -> None:
        self._rng = rng
        self._base_ms = base_ms
        self._max_ms = max_ms
        self._failure_count = 0

    def next_wait_ms(self) -> int:
        """Count a failure and return the delay that follows it, in ms."""
        ceiling_ms = min(self._max_ms, self._base_ms * 2**self._failure_count)
        self._failure_count = min(MAX_DOUBLINGS, self._failure_count + 1)
        return round(ceiling_ms * (0.5 + self._rng.random() / 2))

    def reset(self) -> None:
        """Reset the count of failures after a success."""
        self._failure_count = 0
