"""Predicts load times and service times and tracks the error of both."""

from collections.abc import Iterable

from lagoonflow.placement.messages import LoadRate, Tier

_AVERAGE_WEIGHT = 0.3
_ERROR_AVERAGE_WEIGHT = 0.1
# Used until this runner or, for loads, another one has observed a value.
_PRIOR_MS_PER_MB = {
    Tier.MEMORY: 0.05,
    Tier.DISK: 0.3,
    Tier.REMOTE: 1.0,
}
_PRIOR_FIRST_TOKEN_MS = 50.0
_PRIOR_TOKEN_MS = 10.0
_PRIOR_OUTPUT_RATIO = 0.7
_PRIOR_UNLOAD_MS = 50.0


class _MovingAverage:
    """Exponentially weighted average; its first value replaces the prior."""

    def __init__(self, prior: float, weight: float = _AVERAGE_WEIGHT) -> None:
        self.value = prior
        self.has_observations = False
        self._weight = weight

    def update(self, value: float) -> None:
        if self.has_observations:
            self.value += self._weight * (value - self.value)
        else:
            self.value = value
            self.has_observations = True


class RelativeErrorAverage:
    """Average relative error of one kind of prediction."""

    def __init__(self) -> None:
        self._average = _MovingAverage(0, _ERROR_AVERAGE_WEIGHT)

    @property
    def mean(self) -> float:
        """Mean of ``|predicted - actual| / actual``."""
        return self._average.value

    def update(self, predicted_ms: float, actual_ms: float) -> None:
        """Record the error of one prediction."""
        if actual_ms > 0:
            error = abs(predicted_ms - actual_ms) / actual_ms
            self._average.update(error)


class Predictor:
    """Predicts times in ms from those that were observed on this runner.

    :ivar load_error: relative error of the predicted load times.
    :ivar service_error: relative error of the predicted service times.
    :ivar unload_ms: time to unload a replica; it is not observed.
    """

    def __init__(self) -> None:
        self.load_error = RelativeErrorAverage()
        self.service_error = RelativeErrorAverage()
        self.unload_ms = _PRIOR_UNLOAD_MS
        self._ms_per_mb = {
            tier: _MovingAverage(prior)
            for tier, prior in _PRIOR_MS_PER_MB.items()
        }
        self._tiers_with_default_rate: set[Tier] = set()
        self._load_averages: dict[tuple[str, Tier], _MovingAverage] = {}
        self._first_token_averages: dict[str, _MovingAverage] = {}
        self._token_averages: dict[str, _MovingAverage] = {}
        self._output_ratio = _MovingAverage(_PRIOR_OUTPUT_RATIO)

    def load_ms(self, model: str, tier: Tier, memory_mb: int) -> float:
        """Predict the time to load a model from a tier."""
        average = self._load_averages.get((model, tier))
        if average is not None:
            return average.value
        rate_average = self._ms_per_mb.get(tier)
        return rate_average.value * memory_mb if rate_average else 0

    def is_load_time_known(self, model: str, tier: Tier) -> bool:
        """Tell whether a predicted load time rests on observed loads.

        They may have been observed here or on other runners.
        """
        rate_average = self._ms_per_mb.get(tier)
        return (model, tier) in self._load_averages or (
            rate_average is not None
            and (
                rate_average.has_observations
                or tier in self._tiers_with_default_rate
            )
        )

    def load_rates(self) -> tuple[LoadRate, ...]:
        """Load times per MB by tier that were observed on this runner."""
        return tuple(
            LoadRate(tier, average.value)
            for tier, average in self._ms_per_mb.items()
            if average.has_observations
        )

    def set_default_rates(self, rates: Iterable[LoadRate]) -> None:
        """Use what other runners observed for tiers without loads here."""
        for rate in rates:
            average = self._ms_per_mb.get(rate.tier)
            if average is not None and not average.has_observations:
                average.value = rate.ms_per_mb
                self._tiers_with_default_rate.add(rate.tier)

    def first_token_ms(self, model: str) -> float:
        """Predict the time from start to first token."""
        average = self._first_token_averages.get(model)
        return average.value if average else _PRIOR_FIRST_TOKEN_MS

    def service_ms(self, model: str, max_tokens: int) -> float:
        """Predict the time that a generation takes on the engine.

        :param max_tokens: most tokens that it may still generate.
        """
        average = self._token_averages.get(model)
        token_ms = average.value if average else _PRIOR_TOKEN_MS
        tokens = max_tokens * self._output_ratio.value
        return self.first_token_ms(model) + tokens * token_ms

    def record_load(
        self,
        model: str,
        tier: Tier,
        memory_mb: int,
        took_ms: float,
    ) -> None:
        """Record the duration of a finished load."""
        if self.is_load_time_known(model, tier):
            predicted_ms = self.load_ms(model, tier, memory_mb)
            self.load_error.update(predicted_ms, took_ms)
        average = self._load_averages.setdefault(
            (model, tier), _MovingAverage(took_ms)
        )
        average.update(took_ms)
        if memory_mb > 0 and tier in self._ms_per_mb:
            self._ms_per_mb[tier].update(took_ms / memory_mb)

    def record_generation(
        self,
        model: str,
        max_tokens: int,
        first_token_ms: float,
        tokens: int,
        took_ms: float,
    ) -> None:
        """Record the duration of a finished generation.

        :param max_tokens: most tokens that it could generate.
        :param first_token_ms: time from its start to its first token.
        :param tokens: tokens that it did generate.
        :param took_ms: time from its start to its end.
        """
        predicted_ms = self.service_ms(model, max_tokens)
        self.service_error.update(predicted_ms, took_ms)
        first_token = self._first_token_averages.setdefault(
            model, _MovingAverage(first_token_ms)
        )
        first_token.update(first_token_ms)
        if tokens > 1:
            token_ms = (took_ms - first_token_ms) / (tokens - 1)
            token = self._token_averages.setdefault(
                model, _MovingAverage(token_ms)
            )
            token.update(max(0, token_ms))
        if max_tokens > 0:
            self._output_ratio.update(min(1, tokens / max_tokens))
