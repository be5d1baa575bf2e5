"""Separates the speeds of servers from the work of their requests.

Each router sees few requests to each server, of works that differ by a factor
of ten. The logarithm of the time of a request, divided by the predicted time,
is taken as a sum: the mean of the service, an offset of the work (a model or a
route), and an offset of the server. Both offsets are shrunk towards 0 while
there are few observations.
"""

import collections
import dataclasses
import math
from collections.abc import Mapping

# Without new observations their weight is halved in this time: a server's
# speed lasts as long as it runs, but the neighbours on its machine change.
HALF_LIFE_MS = 120_000
# An offset is halved when there are this many observations. Times of servers
# differ by 0.35 (standard deviation of the logarithm), those of plain requests
# by up to 1.2, so about 12 observations are worth as much as the prior. Works
# differ by more than their times, so one observation is.
SERVER_PRIOR_WEIGHT = 12
WORK_PRIOR_WEIGHT = 1
# More observations of one work at one server tell no more: what they have in
# common isn't the server's speed alone.
MAX_PAIR_WEIGHT = 100
# Bound of what another router may weigh.
MAX_HEARD_WEIGHT = 1000
# Largest believed offset of a server: a factor of 4.
MAX_OFFSET = math.log(4)
# Pairs of work and server, and of router and server, that are remembered at
# most; the ones that were updated longest ago are forgotten first.
MAX_PAIRS = 2048
MAX_HEARD = 4096
# The offsets of the last fit are the start of the next one, so few rounds are
# needed.
ROUNDS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedMean:
    """A mean and its weight in observations, which decays with time."""

    weight: float
    mean: float
    at_ms: float

    def weight_at(self, now_ms: float) -> float:
        """Return the decayed weight."""
        age_ms = max(now_ms - self.at_ms, 0)
        return self.weight * 0.5 ** (age_ms / HALF_LIFE_MS)

    def add(self, observed: float, now_ms: float) -> 'WeightedMean':
        """Return the mean with one more observation."""
        weight = self.weight_at(now_ms) + 1
        mean = self.mean + (observed - self.mean) / weight
        return WeightedMean(weight, mean, now_ms)


@dataclasses.dataclass(slots=True)
class _Sums:
    """Sum of weights, and of weights times values."""

    weight: float = 0
    product: float = 0

    def add(self, weight: float, observed: float) -> None:
        """Add a weighted value."""
        self.weight += weight
        self.product += weight * observed

    def mean(self) -> float:
        """Return the weighted mean; 0 without weights."""
        return self.product / self.weight if self.weight else 0


NOTHING_OBSERVED = WeightedMean(0, 0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class _Pair:
    """The observations of one work at one server, with the decayed weight."""

    work: str
    instance: str
    weight: float
    mean: float


class SpeedFit:
    """Offsets of the servers of one service, as logarithms of time factors."""

    def __init__(self) -> None:
        """Start without observations."""
        self._pairs: dict[tuple[str, str], WeightedMean] = {}
        self._heard: dict[tuple[str, str], WeightedMean] = {}
        self._mean: float = 0
        self._works: dict[str, float] = {}
        self._servers: dict[str, float] = {}
        self._own: dict[str, WeightedMean] = {}

    def observe(
        self, work: str, instance: str, log_time: float, now_ms: float
    ) -> None:
        """Record the logarithm of one request's time over the predicted."""
        key = work, instance
        known = self._pairs.pop(key, NOTHING_OBSERVED)
        self._pairs[key] = known.add(log_time, now_ms)
        if len(self._pairs) > MAX_PAIRS:
            self._pairs.pop(next(iter(self._pairs)))

    def hear(self, router: str, instance: str, estimate: WeightedMean) -> None:
        """Replace what another router has observed of a server."""
        key = router, instance
        self._heard.pop(key, None)
        self._heard[key] = estimate
        if len(self._heard) > MAX_HEARD:
            self._heard.pop(next(iter(self._heard)))

    def forget(self, instance: str) -> None:
        """Drop what is known of a server."""
        for table in (self._pairs, self._heard):
            outdated = [key for key in table if key[1] == instance]
            for key in outdated:
                table.pop(key)
        self._servers.pop(instance, None)
        self._own.pop(instance, None)

    def offset(self, instance: str) -> float:
        """Return a server's offset; 0 while nothing is known."""
        return self._servers.get(instance, 0)

    def own_observations(self) -> dict[str, WeightedMean]:
        """Return what this router itself has observed, by instance."""
        return self._own

    def usual_log_time(self, work: str, instance: str) -> float | None:
        """Return the usual logarithm of time over predicted time.

        ``None`` while nothing is known of the work.
        """
        if work not in self._works:
            return None
        return self._mean + self._works[work] + self.offset(instance)

    def fit(self, now_ms: float) -> None:
        """Update the offsets from all observations."""
        pairs = [
            _Pair(
                work,
                instance,
                min(pair.weight_at(now_ms), MAX_PAIR_WEIGHT),
                pair.mean,
            )
            for (work, instance), pair in self._pairs.items()
        ]
        heard = self._sum_heard(now_ms)
        own: dict[str, _Sums] = {}
        for _ in range(ROUNDS):
            self._fit_works(pairs)
            own = self._sum_own(pairs)
            self._fit_servers(own, heard)
        self._own = {
            instance: WeightedMean(sums.weight, sums.mean(), now_ms)
            for instance, sums in own.items()
        }

    def _sum_heard(self, now_ms: float) -> dict[str, _Sums]:
        heard: dict[str, _Sums] = collections.defaultdict(_Sums)
        for (_, instance), estimate in self._heard.items():
            weight = min(estimate.weight_at(now_ms), MAX_HEARD_WEIGHT)
            heard[instance].add(weight, estimate.mean)
        return heard

    def _fit_works(self, pairs: list[_Pair]) -> None:
        total = _Sums()
        works: dict[str, _Sums] = collections.defaultdict(_Sums)
        for pair in pairs:
            rest = pair.mean - self.offset(pair.instance)
            works[pair.work].add(pair.weight, rest)
            total.add(pair.weight, rest)
        self._mean = total.mean()
        self._works = {
            work: (sums.product - sums.weight * self._mean)
            / (sums.weight + WORK_PRIOR_WEIGHT)
            for work, sums in works.items()
        }

    def _sum_own(self, pairs: list[_Pair]) -> dict[str, _Sums]:
        """Return what the pairs tell of each server."""
        work_weights: collections.Counter[str] = collections.Counter()
        for pair in pairs:
            work_weights[pair.work] += pair.weight
        own: dict[str, _Sums] = collections.defaultdict(_Sums)
        for pair in pairs:
            # A work that one server alone runs says nothing of the server's
            # speed, as the work's offset absorbs it.
            share = pair.weight / (work_weights[pair.work] + WORK_PRIOR_WEIGHT)
            rest = pair.mean - self._mean - self._works[pair.work]
            own[pair.instance].add(pair.weight * (1 - share), rest)
        return own

    def _fit_servers(
        self, own: Mapping[str, _Sums], heard: Mapping[str, _Sums]
    ) -> None:
        offsets: dict[str, float] = {}
        centre = _Sums()
        for instance in own.keys() | heard.keys():
            sums = _Sums()
            for part in (own.get(instance), heard.get(instance)):
                if part is not None:
                    sums.add(part.weight, part.mean())
            weight = sums.weight + SERVER_PRIOR_WEIGHT
            offsets[instance] = sums.product / weight
            centre.add(sums.weight / weight, offsets[instance])
        # Speeds are relative to the other servers of the service.
        self._servers = {
            server: _clamp(offset - centre.mean())
            for server, offset in offsets.items()
        }


def _clamp(offset: float) -> float:
    return min(max(offset, -MAX_OFFSET), MAX_OFFSET)
