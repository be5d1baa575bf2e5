"""Estimates how many loads the weight store serves at full speed."""

import math

# A load counts as slowed by others if it took more than this many times its
# declared time.
SLOWED_FACTOR = 1.15
# After this time, the routers' states include a new load in their count of
# loads in progress, in ms.
PUBLISHED_AFTER_MS = 400
# The end of a load is noticed this share of its declared time late.
END_DELAY = 0.03


class StoreConcurrencyEstimator:
    """Estimates the store's concurrency from the loads of one runner.

    If n loads run together and one of them takes s times its declared time,
    then n / s loads can run at full speed.

    :ivar estimate: number of loads that run at full speed together; 0 while
        unknown.
    """

    def __init__(self) -> None:
        """Start without a load or an estimate."""
        self.estimate: float = 0
        self._began_at_ms: float | None = None
        self._expected_ms: float = 0
        self._concurrent_loads: int = 0
        self._loads_at_begin: int = 0

    def begin(self, expected_ms: float, now_ms: float, others: int = 0) -> None:
        """Record the start of a load.

        :param expected_ms: declared time of the load, in ms.
        :param others: loads that are in progress at other runners.
        """
        self._loads_at_begin = others + 1
        self._began_at_ms = now_ms
        self._expected_ms = expected_ms
        self._concurrent_loads = 0

    def slowdown(self, concurrency: float, now_ms: float) -> float:
        """Predict how many times its declared time the current load takes.

        A load is slowed by those that it begins beside. One that takes longer
        than predicted probably began beside one more.

        :param concurrency: loads that run at full speed together; 0 if unknown.
        """
        if not concurrency or self._began_at_ms is None:
            return 1
        elapsed_ms = now_ms - self._began_at_ms
        passed = elapsed_ms / max(self._expected_ms, 1) - END_DELAY
        steps = math.ceil(passed * concurrency)
        return max(max(steps, self._loads_at_begin) / concurrency, 1)

    def record_concurrent_loads(self, loads: int, now_ms: float) -> None:
        """Record how many loads are in progress over all runners.

        Of each load, only the first number that is late enough to include the
        load itself is used.
        """
        began_at_ms = self._began_at_ms
        if began_at_ms is None or self._concurrent_loads:
            return
        if now_ms - began_at_ms >= PUBLISHED_AFTER_MS:
            self._concurrent_loads = loads

    def forget(self) -> None:
        """Discard the current load, as its runner restarted."""
        self._began_at_ms = None

    def end(self, now_ms: float) -> None:
        """Update the estimate from the finished load."""
        if self._began_at_ms is None or not self._concurrent_loads:
            return
        slowdown = (now_ms - self._began_at_ms) / max(self._expected_ms, 1)
        self._began_at_ms = None
        if self._concurrent_loads > 1 and slowdown > SLOWED_FACTOR:
            self.estimate = self._concurrent_loads / slowdown
        elif self.estimate and slowdown <= SLOWED_FACTOR:
            self.estimate = max(self.estimate, self._concurrent_loads)
