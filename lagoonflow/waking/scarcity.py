"""Detects deployments whose models need far more memory than the runners have.

Where fewer than half of the declared models fit into the runners, models are
loaded and evicted all the time, and those that exist only in the weight store
wait for its few loads. Loads are then allocated by the rules of
:mod:`lagoonflow.waking.store_turns` and :mod:`lagoonflow.waking.eviction`.
"""

import dataclasses

from lagoonflow.declared.messages import EngineSpec

# Declared models must need more than this many times the fleet's memory.
SCARCE_RATIO = 2
# A number of runners counts once it has been listed for this long, in ms. When
# a fleet starts, its runners are listed one after another; the lapsed entries of
# replaced runners stay listed for a shorter time.
SETTLED_MS = 5000
# All runners of a fleet are listed this long after they were started, in ms.
LISTED_AFTER_MS = 10_000


@dataclasses.dataclass(slots=True)
class _FleetSize:
    """Number of runners of a service.

    :ivar most: largest number that was listed for long enough.
    :ivar is_known: whether there was such a number.
    :ivar larger: smallest number listed since ``larger_since_ms``, from when on
        it was always larger than ``most``.
    """

    most: int = 0
    is_known: bool = False
    larger: int = 0
    larger_since_ms: float = 0

    def observe(self, runners: int, now_ms: float) -> None:
        """Record the number of listed runners."""
        if not self.is_known and runners > self.larger:
            self.larger_since_ms = now_ms
            self.larger = runners
        elif self.is_known and runners <= self.most:
            self.larger = 0
        elif not self.larger:
            self.larger_since_ms = now_ms
            self.larger = runners
        elif self.is_known:
            self.larger = min(self.larger, runners)
        self.settle(now_ms)

    def settle(self, now_ms: float) -> None:
        """Count the larger number if it has been listed for long enough."""
        if self.larger and now_ms - self.larger_since_ms >= SETTLED_MS:
            self.most = self.larger
            self.larger = 0
            self.is_known = True


class ScarcityDetector:
    """Compares the declared models with the memory of all runners.

    It keeps the largest number of runners that was listed, so that a failure
    of some runners doesn't change how the others' memory is allocated.
    """

    def __init__(self) -> None:
        """Start without knowing any runners."""
        self._sizes: dict[str, _FleetSize] = {}

    def observe_runners(
        self,
        service: str,
        runners: int,
        now_ms: float,
        *,
        median_age_ms: float = 0,
    ) -> None:
        """Record the number of listed runners of a service.

        :param median_age_ms: time since their starts. A router that starts long
            after most runners reads the entries of all at once.
        """
        size = self._sizes.setdefault(service, _FleetSize())
        if not size.is_known and median_age_ms >= LISTED_AFTER_MS:
            size.observe(runners, now_ms - SETTLED_MS)
        size.observe(runners, now_ms)

    def is_scarce(self, service: str, spec: EngineSpec, now_ms: float) -> bool:
        """Whether fewer than half of a service's models fit its runners.

        False as long as the number of runners isn't known.
        """
        size = self._sizes.get(service)
        if size is None:
            return False
        size.settle(now_ms)
        if not size.is_known:
            return False
        fleet_mb = size.most * spec.weights_mb
        declared_mb = sum(model.weights_mb for model in spec.models.values())
        return declared_mb > SCARCE_RATIO * fleet_mb
