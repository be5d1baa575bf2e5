"""Sizes of the deployments, and the arrivals that a seed gives."""

import dataclasses
from random import Random

from lagoonflow.placement.messages import Tier
from lagoonflow.releases.messages import AdapterSpec, ModelSpec

# Lengths of the quiet phase, of the storm, and of the time after the storm in
# which the last requests can still start.
QUIET_MS = 600_000
STORM_MS = 180_000
TAIL_MS = 120_000


@dataclasses.dataclass(frozen=True)
class DeploymentSizes:
    """Sizes and speeds of one deployment.

    :param store_rate_per_s: fetches that the weight store starts per second.
    :param store_parallel: fetches that the store runs at full speed.
    :param storm_per_s: mean rate of requests in the storm.
    :param memory_mb: memory of each engine.
    :param batch: sequences that an engine runs at full speed.
    :param token_ms: time per token at full speed.
    :param fetch_ms: time to fetch a checkpoint of 20,000 MB at full speed.
    :param deadline_ms: time from arrival to the first token that is allowed.
    :param ms_per_mb: load time by the tier of a local checkpoint.
    """

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


TAQUARI = DeploymentSizes('taquari', 8, 3, 30, 40, 1.5, 4, 22)
HUNGARY = DeploymentSizes('hungary', 12, 3, 30, 110, 4, 4, 35)
# Relative shares of the traffic.
ORGANISATION_WEIGHTS = {
    'large-1': 4,
    'large-2': 3,
    'mid': 2,
    'small-1': 1,
    'small-2': 1,
}


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request.

    :param router: index of the router that receives it.
    :param is_within_rate: whether it counts as within the rate limit of its
        organisation.
    """

    at_ms: int
    router: int
    organisation: str
    model: str
    adapter: str
    tokens: int
    is_within_rate: bool = True


class Workload:
    """Models, adapters, local checkpoints and arrivals drawn from a seed."""

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
            self._local_checkpoints(random, names) for _ in range(sizes.runners)
        ]
        self.arrivals = sorted(
            (
                *self._quiet_arrivals(random, names),
                *self._storm_arrivals(random, names),
            ),
            key=lambda arrival: arrival.at_ms,
        )

    def model(self, name):
        """Return the specification of a model; None if there is none."""
        return self.models.get(name)

    def adapter(self, name):
        """Return the specification of an adapter; None if there is none."""
        return self.adapters.get(name)

    def _local_checkpoints(self, random, names):
        local_models = random.sample(names, 8)
        return {
            name: Tier.MEMORY if index < 2 else Tier.DISK
            for index, name in enumerate(local_models)
        }

    def _quiet_arrivals(self, random, names):
        weights = [1 / (rank + 1) for rank in range(len(names))]
        at_ms = 0
        while at_ms < QUIET_MS:
            at_ms += random.expovariate(1 / 2_000)
            name = random.choices(names, weights)[0]
            yield self._draw_arrival(
                random, at_ms, name, _draw_organisation(random)
            )

    def _storm_arrivals(self, random, names):
        """Return the requests of the storm.

        Some models are requested at every router at once, then at the rate of
        the storm; meanwhile one organisation exceeds its rate for a minute.
        """
        storm_models = random.sample(names, 20)
        for name in storm_models:
            for router in range(self.sizes.routers):
                at_ms = QUIET_MS + random.uniform(0, 500)
                arrival = self._draw_arrival(
                    random, at_ms, name, _draw_organisation(random)
                )
                yield dataclasses.replace(arrival, router=router)
        at_ms = QUIET_MS
        mean_gap_ms = 1_000 / self.sizes.storm_per_s
        while at_ms < QUIET_MS + STORM_MS:
            at_ms += random.expovariate(1 / mean_gap_ms)
            name = random.choice(storm_models)
            yield self._draw_arrival(
                random, at_ms, name, _draw_organisation(random)
            )
        at_ms = QUIET_MS + 30_000
        while at_ms < QUIET_MS + 90_000:
            at_ms += random.expovariate(1 / mean_gap_ms)
            name = random.choice(storm_models[:5])
            arrival = self._draw_arrival(random, at_ms, name, 'large-1')
            yield dataclasses.replace(arrival, is_within_rate=False)

    def _draw_arrival(self, random, at_ms, model, organisation):
        adapters_of_model = [
            name for name, spec in self.adapters.items() if spec.model == model
        ]
        adapter = ''
        if adapters_of_model and random.random() < 0.5:
            adapter = random.choice(adapters_of_model)
        return Arrival(
            round(at_ms),
            random.randrange(self.sizes.routers),
            organisation,
            model,
            adapter,
            random.randint(20, 120),
        )


def _draw_organisation(random):
    return random.choices(
        list(ORGANISATION_WEIGHTS), list(ORGANISATION_WEIGHTS.values())
    )[0]
