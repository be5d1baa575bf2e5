"""Sizes of the deployments and seeded arrivals."""

import dataclasses
from random import Random

from lagoonflow.placement.messages import Tier
from lagoonflow.releases.messages import AdapterSpec, ModelSpec

QUIET_MS = 600_000
STORM_MS = 180_000
TAIL_MS = 120_000


@dataclasses.dataclass(frozen=True)
class Sizes:
    """Sizes of one deployment."""

    name: str
    runners: int
    routers: int
    models: int
    adapters: int
    store_rate_per_s: float
    store_parallel: int
    storm_per_s: float
    memory_mb: int = 80_000
    batch: int = 16
    token_ms: float = 20
    first_token_ms: float = 50
    fetch_ms: float = 3_000
    deadline_ms: int = 30_000
    ms_per_mb: dict = dataclasses.field(
        default_factory=lambda: {Tier.MEMORY: 0.015, Tier.DISK: 0.1}
    )


TAQUARI = Sizes('taquari', 8, 3, 30, 40, 1.5, 4, 22)
HUNGARY = Sizes('hungary', 12, 3, 30, 110, 4, 4, 35)
ORGANISATIONS = {
    'large-1': 4,
    'large-2': 3,
    'mid': 2,
    'small-1': 1,
    'small-2': 1,
}


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request."""

    at_ms: int
    router: int
    organisation: str
    model: str
    adapter: str
    tokens: int
    in_rate: bool = True


class Workload:
    """Models, checkpoints and arrivals of one seed."""

    def __init__(self, sizes, seed):
        self.sizes = sizes
        random = Random(seed)
        self.models = {
            f'model-{number}': ModelSpec(
                '1',
                f'checkpoint-{number}',
                random.choice((10_000, 15_000, 20_000, 30_000, 40_000)),
            )
            for number in range(sizes.models)
        }
        names = list(self.models)
        self.adapters = {
            f'adapter-{number}': AdapterSpec(
                random.choice(names), '1', f'adapter-{number}', 100
            )
            for number in range(sizes.adapters)
        }
        self.checkpoints = [
            self._local(random, names) for _ in range(sizes.runners)
        ]
        self.arrivals = sorted(
            (*self._quiet(random, names), *self._storm(random, names)),
            key=lambda one: one.at_ms,
        )

    def model(self, name):
        """Find a model."""
        return self.models.get(name)

    def adapter(self, name):
        """Find an adapter."""
        return self.adapters.get(name)

    def _local(self, random, names):
        near = random.sample(names, 8)
        return {
            name: Tier.MEMORY if index < 2 else Tier.DISK
            for index, name in enumerate(near)
        }

    def _quiet(self, random, names):
        weights = [1 / (rank + 1) for rank in range(len(names))]
        at_ms = 0
        while at_ms < QUIET_MS:
            at_ms += random.expovariate(1 / 2_000)
            name = random.choices(names, weights)[0]
            yield self._arrival(random, at_ms, name, _organisation(random))

    def _storm(self, random, names):
        """All models at all routers at once, then a flood by one."""
        wake = random.sample(names, 20)
        for name in wake:
            for router in range(self.sizes.routers):
                at_ms = QUIET_MS + random.uniform(0, 500)
                one = self._arrival(random, at_ms, name, _organisation(random))
                yield dataclasses.replace(one, router=router)
        at_ms = QUIET_MS
        gap_ms = 1_000 / self.sizes.storm_per_s
        while at_ms < QUIET_MS + STORM_MS:
            at_ms += random.expovariate(1 / gap_ms)
            name = random.choice(wake)
            yield self._arrival(random, at_ms, name, _organisation(random))
        at_ms = QUIET_MS + 30_000
        while at_ms < QUIET_MS + 90_000:
            at_ms += random.expovariate(1 / gap_ms)
            name = random.choice(wake[:5])
            one = self._arrival(random, at_ms, name, 'large-1')
            yield dataclasses.replace(one, in_rate=False)

    def _arrival(self, random, at_ms, model, organisation):
        fitting = [
            name for name, spec in self.adapters.items() if spec.model == model
        ]
        adapter = ''
        if fitting and random.random() < 0.5:
            adapter = random.choice(fitting)
        return Arrival(
            round(at_ms),
            random.randrange(self.sizes.routers),
            organisation,
            model,
            adapter,
            random.randint(20, 120),
        )


def _organisation(random):
    return random.choices(list(ORGANISATIONS), list(ORGANISATIONS.values()))[0]
