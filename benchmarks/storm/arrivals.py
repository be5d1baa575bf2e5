"""Draws the arrivals of a quiet phase and a storm from a seed."""

import bisect
import dataclasses
import itertools
import random

from benchmarks.storm.deployments import Deployment

PROMPT_BYTES_PER_CHARGED_TOKEN = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Phases:
    """Lengths and rates of the phases.

    :param quiet_per_s: mean rate of requests in the quiet phase.
    :param storm_per_s: mean rate of requests in the storm, besides the burst
        at its start and the flood.
    :param burst_s: length of the burst at the start of the storm.
    :param burst_models: number of models that are requested in the burst.
    :param burst_repeats: requests for each of them at each router.
    :param flood_factor: rate of the flooding organisation as a multiple of
        its rate limit.
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

    :param at_s: time of arrival after the start of the run.
    :param router: index of the router that receives it.
    :param model: model that runs it.
    :param adapter: adapter that it needs; empty if none.
    :param deadline_ms: time until the first token that the caller allows.
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
        """The name in the request: that of the adapter, else of the model."""
        return self.adapter or self.model

    @property
    def cost_tokens(self) -> int:
        """Tokens that the organisation is charged up front."""
        size_bytes = len(self.prompt.encode())
        prompt_tokens = size_bytes // PROMPT_BYTES_PER_CHARGED_TOKEN + 1
        return prompt_tokens + self.max_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """One organisation with its limits.

    :param share: its fraction of the traffic.
    """

    name: str
    rate_tokens_per_s: float
    burst_tokens: float
    share: float


MEAN_COST_TOKENS = 110
ZIPF_EXPONENT = 1.3
ORGANISATION_SHARES = (0.35, 0.3, 0.15, 0.12, 0.08)
# The rate limits admit this multiple of the mean rate of the storm.
RATE_HEADROOM = 2
BURST_S = 20
# Index of the organisation that exceeds its rate.
FLOODING_ORGANISATION = 2


def organisations(phases: Phases) -> list[Organisation]:
    """Return the organisations, with rate limits above the storm's traffic."""
    total_tokens_per_s = phases.storm_per_s * MEAN_COST_TOKENS * RATE_HEADROOM
    burst_tokens = phases.burst_models * phases.burst_repeats * MEAN_COST_TOKENS
    return [
        Organisation(
            f'org-{index}',
            total_tokens_per_s * share,
            total_tokens_per_s * share * BURST_S / 4
            + burst_tokens * share * 2
            + 400,
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
        self._request_numbers = itertools.count()
        self._models = [f'model-{n}' for n in range(deployment.models)]
        weights = [
            1 / (n + 1) ** ZIPF_EXPONENT for n in range(deployment.models)
        ]
        self._cumulative_weights = list(itertools.accumulate(weights))
        self._organisations = organisations(phases)

    def arrivals(self) -> list[Arrival]:
        """Return all arrivals in time order."""
        phases = self._phases
        drawn = [
            *self._poisson_arrivals(0, phases.quiet_s, phases.quiet_per_s),
            *self._burst_arrivals(),
            *self._poisson_arrivals(
                phases.quiet_s,
                phases.quiet_s + phases.storm_s,
                phases.storm_per_s,
            ),
            *self._flood_arrivals(),
        ]
        return sorted(drawn, key=lambda arrival: arrival.at_s)

    def _poisson_arrivals(
        self, start_s: float, end_s: float, per_s: float
    ) -> list[Arrival]:
        drawn = []
        at_s = start_s + self._rng.expovariate(per_s)
        while at_s < end_s:
            drawn.append(self._draw_arrival(at_s, self._draw_organisation()))
            at_s += self._rng.expovariate(per_s)
        return drawn

    def _burst_arrivals(self) -> list[Arrival]:
        """Draw requests for rarely used models, at all routers at once."""
        phases = self._phases
        models = self._rng.sample(self._models[4:], phases.burst_models)
        drawn = []
        for model in models:
            for _ in range(phases.burst_repeats):
                for router in range(self._deployment.routers):
                    at_s = phases.quiet_s + self._rng.uniform(0, phases.burst_s)
                    organisation = self._draw_organisation()
                    drawn.append(
                        self._draw_arrival(at_s, organisation, model, router),
                    )
        return drawn

    def _flood_arrivals(self) -> list[Arrival]:
        """Draw requests of one organisation at several times its rate limit."""
        phases = self._phases
        organisation = self._organisations[FLOODING_ORGANISATION]
        per_s = (
            organisation.rate_tokens_per_s
            / MEAN_COST_TOKENS
            * phases.flood_factor
        )
        start_s = phases.quiet_s + phases.storm_s / 4
        end_s = phases.quiet_s + phases.storm_s * 3 / 4
        drawn = []
        at_s = start_s + self._rng.expovariate(per_s)
        while at_s < end_s:
            drawn.append(self._draw_arrival(at_s, organisation.name))
            at_s += self._rng.expovariate(per_s)
        return drawn

    def _draw_organisation(self) -> str:
        shares = [organisation.share for organisation in self._organisations]
        return self._rng.choices(self._organisations, shares)[0].name

    def _draw_model(self) -> str:
        point = self._rng.random() * self._cumulative_weights[-1]
        return self._models[bisect.bisect(self._cumulative_weights, point)]

    def _draw_arrival(
        self,
        at_s: float,
        organisation: str,
        model: str = '',
        router: int | None = None,
    ) -> Arrival:
        model = model or self._draw_model()
        adapter = ''
        adapters = adapters_of(self._deployment, model)
        if adapters and self._rng.random() < 0.5:
            adapter = self._rng.choice(adapters)
        if router is None:
            router = self._rng.randrange(self._deployment.routers)
        request_number = next(self._request_numbers)
        filler = 'bulletin ' * self._rng.randint(5, 25)
        return Arrival(
            at_s=at_s,
            router=router,
            organisation=organisation,
            model=model,
            adapter=adapter,
            prompt=f'{organisation} {request_number} {filler}',
            max_tokens=self._rng.randint(10, 50),
            deadline_ms=20_000,
        )


def adapters_of(deployment: Deployment, model: str) -> list[str]:
    """Return the adapters of a model; each model has about as many."""
    number = int(model.rpartition('-')[2])
    return [
        f'adapter-{n}'
        for n in range(deployment.adapters)
        if n % deployment.models == number
    ]
