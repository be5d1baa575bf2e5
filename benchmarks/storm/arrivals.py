"""Seeded arrivals: a quiet phase, then a storm."""

import bisect
import dataclasses
import itertools
import random

from benchmarks.storm.deployments import Deployment

PROMPT_BYTES_PER_CHARGED_TOKEN = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Phases:
    """Lengths and rates of the phases.

    :param burst_s: the storm's first arrivals come within it.
    :param burst_models: models that the storm wakes at once.
    """

    quiet_s: float = 20
    storm_s: float = 25
    quiet_per_s: float = 2
    storm_per_s: float = 8
    burst_s: float = 1
    burst_models: int = 8
    burst_repeats: int = 3
    flood_factor: float = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request.

    :param at_s: time after the start.
    :param name: model or adapter that the caller names.
    """

    at_s: float
    router: int
    organisation: str
    model: str
    adapter: str
    prompt: str
    max_tokens: int
    deadline_ms: int

    @property
    def name(self) -> str:
        """The model or the adapter that the caller names."""
        return self.adapter or self.model

    @property
    def cost_tokens(self) -> int:
        """What the organisation is charged up front."""
        size_bytes = len(self.prompt.encode())
        prompt_tokens = size_bytes // PROMPT_BYTES_PER_CHARGED_TOKEN + 1
        return prompt_tokens + self.max_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """One organisation with its limits and its part of the traffic."""

    name: str
    rate_tokens_per_s: float
    burst_tokens: float
    share: float


MEAN_COST_TOKENS = 110
ZIPF_EXPONENT = 1.3
ORGANISATION_SHARES = (0.35, 0.3, 0.15, 0.12, 0.08)
RATE_HEADROOM = 2
BURST_S = 20
FLOODING = 2


def organisations(phases: Phases) -> list[Organisation]:
    """Return the organisations; their rates leave headroom in the storm."""
    rate = phases.storm_per_s * MEAN_COST_TOKENS * RATE_HEADROOM
    burst_tokens = phases.burst_models * phases.burst_repeats * MEAN_COST_TOKENS
    return [
        Organisation(
            f'org-{index}',
            rate * share,
            rate * share * BURST_S / 4 + burst_tokens * share * 2 + 400,
            share,
        )
        for index, share in enumerate(ORGANISATION_SHARES)
    ]


class ArrivalPlan:
    """Draws all arrivals of one run from a seed."""

    def __init__(
        self,
        deployment: Deployment,
        phases: Phases,
        seed: int,
    ) -> None:
        self._deployment = deployment
        self._phases = phases
        self._rng = random.Random(seed)
        self._serials = itertools.count()
        self._models = [f'model-{n}' for n in range(deployment.models)]
        weights = [
            1 / (n + 1) ** ZIPF_EXPONENT for n in range(deployment.models)
        ]
        self._model_sums = list(itertools.accumulate(weights))
        self._organisations = organisations(phases)

    def arrivals(self) -> list[Arrival]:
        """Return all arrivals in time order."""
        phases = self._phases
        found = [
            *self._poisson(0, phases.quiet_s, phases.quiet_per_s),
            *self._burst(),
            *self._poisson(
                phases.quiet_s,
                phases.quiet_s + phases.storm_s,
                phases.storm_per_s,
            ),
            *self._flood(),
        ]
        return sorted(found, key=lambda arrival: arrival.at_s)

    def _poisson(
        self, start_s: float, end_s: float, per_s: float
    ) -> list[Arrival]:
        found = []
        at_s = start_s + self._rng.expovariate(per_s)
        while at_s < end_s:
            found.append(self._draw(at_s, self._any_organisation()))
            at_s += self._rng.expovariate(per_s)
        return found

    def _burst(self) -> list[Arrival]:
        """First requests for cold models, at every router at once."""
        phases = self._phases
        models = self._rng.sample(self._models[4:], phases.burst_models)
        found = []
        for model in models:
            for _ in range(phases.burst_repeats):
                for router in range(self._deployment.routers):
                    at_s = phases.quiet_s + self._rng.uniform(0, phases.burst_s)
                    organisation = self._any_organisation()
                    found.append(
                        self._draw(at_s, organisation, model, router),
                    )
        return found

    def _flood(self) -> list[Arrival]:
        """One organisation sends several times its rate."""
        phases = self._phases
        organisation = self._organisations[FLOODING]
        per_s = (
            organisation.rate_tokens_per_s
            / MEAN_COST_TOKENS
            * phases.flood_factor
        )
        start_s = phases.quiet_s + phases.storm_s / 4
        end_s = phases.quiet_s + phases.storm_s * 3 / 4
        found = []
        at_s = start_s + self._rng.expovariate(per_s)
        while at_s < end_s:
            found.append(self._draw(at_s, organisation.name))
            at_s += self._rng.expovariate(per_s)
        return found

    def _any_organisation(self) -> str:
        shares = [one.share for one in self._organisations]
        return self._rng.choices(self._organisations, shares)[0].name

    def _any_model(self) -> str:
        drawn = self._rng.random() * self._model_sums[-1]
        return self._models[bisect.bisect(self._model_sums, drawn)]

    def _draw(
        self,
        at_s: float,
        organisation: str,
        model: str = '',
        router: int | None = None,
    ) -> Arrival:
        model = model or self._any_model()
        adapter = ''
        adapters = adapters_of(self._deployment, model)
        if adapters and self._rng.random() < 0.5:
            adapter = self._rng.choice(adapters)
        if router is None:
            router = self._rng.randrange(self._deployment.routers)
        serial = next(self._serials)
        filler = 'bulletin ' * self._rng.randint(5, 25)
        return Arrival(
            at_s=at_s,
            router=router,
            organisation=organisation,
            model=model,
            adapter=adapter,
            prompt=f'{organisation} {serial} {filler}',
            max_tokens=self._rng.randint(10, 50),
            deadline_ms=20_000,
        )


def adapters_of(deployment: Deployment, model: str) -> list[str]:
    """Return the adapters of a model; they are spread evenly."""
    number = int(model.rpartition('-')[2])
    return [
        f'adapter-{n}'
        for n in range(deployment.adapters)
        if n % deployment.models == number
    ]
