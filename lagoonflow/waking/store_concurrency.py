"""How many loads the weight store carries at full speed."""

# A load that took this much longer than stated was slowed by others.
SLOWED = 1.15
# Routers have told of a load, and of those beside it, after this time, in ms.
TOLD_AFTER_MS = 400


class StoreConcurrencyEstimator:
    """Learns from the loads of one runner.

    A load that begins as the n-th at once and takes s times as long as stated
    shows that n / s of them run at full speed.

    :ivar at_once: loads that run at full speed; 0 while it is not known.
    """

    def __init__(self) -> None:
        """Start without a load."""
        self.estimate: float = 0
        self._began_ms: float | None = None
        self._expected_ms: float = 0
        self._loads: int = 0

    def begin(self, expected_ms: float, now_ms: float) -> None:
        """Note that a load has begun."""
        self._began_ms = now_ms
        self._expected_ms = expected_ms
        self._loads = 0

    def record_concurrent_loads(self, loads: int, now_ms: float) -> None:
        """Note how many loads are in progress over all runners."""
        began_ms = self._began_ms
        if began_ms is None or self._loads:
            return
        if now_ms - began_ms >= TOLD_AFTER_MS:
            self._loads = loads

    def forget(self) -> None:
        """Drop a load that will not end."""
        self._began_ms = None

    def end(self, now_ms: float) -> None:
        """Learn from the end of the load."""
        if self._began_ms is None or not self._loads:
            return
        slowed = (now_ms - self._began_ms) / max(self._expected_ms, 1)
        self._began_ms = None
        if self._loads > 1 and slowed > SLOWED:
            self.estimate = self._loads / slowed
        elif self.estimate and slowed <= SLOWED:
            self.estimate = max(self.estimate, self._loads)
