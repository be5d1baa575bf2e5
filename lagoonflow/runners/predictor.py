"""Learnt load times and service times, with the error of both."""

from collections.abc import Iterable

from lagoonflow.placement.messages import LoadRate, Tier

_LEARNING_RATE = 0.3
_ERROR_RATE = 0.1
_PRIOR_MS_PER_MB = {
    Tier.MEMORY: 0.05,
    Tier.DISK: 0.3,
    Tier.REMOTE: 1.0,
}
_PRIOR_FIRST_TOKEN_MS = 50.0
_PRIOR_TOKEN_MS = 10.0
_PRIOR_OUTPUT_RATIO = 0.7
_PRIOR_UNLOAD_MS = 50.0


class _Average:
    """Exponentially weighted average which starts at its first value."""

    def __init__(self, prior: float, rate: float = _LEARNING_RATE) -> None:
        self.value = prior
        self.is_learnt = False
        self._rate = rate

    def learn(self, value: float) -> None:
        if self.is_learnt:
            self.value += self._rate * (value - self.value)
        else:
            self.value = value
            self.is_learnt = True


class ErrorTrack:
    """Average relative error of one kind of prediction."""

    def __init__(self) -> None:
        self._average = _Average(0, _ERROR_RATE)

    @property
    def relative(self) -> float:
        """Mean of ``|predicted - actual| / actual``."""
        return self._average.value

    def learn(self, predicted_ms: float, actual_ms: float) -> None:
        """Compare one prediction with what came."""
        if actual_ms > 0:
            error = abs(predicted_ms - actual_ms) / actual_ms
            self._average.learn(error)


class Predictor:
    """Predicts times from those observed on this runner, all in ms."""

    def __init__(self) -> None:
        self.load_error = ErrorTrack()
        self.service_error = ErrorTrack()
        self.unload_ms = _PRIOR_UNLOAD_MS
        self._per_mb = {
            tier: _Average(prior) for tier, prior in _PRIOR_MS_PER_MB.items()
        }
        self._told: set[Tier] = set()
        self._loads: dict[tuple[str, Tier], _Average] = {}
        self._first_tokens: dict[str, _Average] = {}
        self._tokens: dict[str, _Average] = {}
        self._output_ratio = _Average(_PRIOR_OUTPUT_RATIO)

    def load_ms(self, model: str, tier: Tier, memory_mb: int) -> float:
        """Predict the time to load a model from a tier."""
        learnt = self._loads.get((model, tier))
        if learnt is not None:
            return learnt.value
        per_mb = self._per_mb.get(tier)
        return per_mb.value * memory_mb if per_mb else 0

    def is_load_learnt(self, model: str, tier: Tier) -> bool:
        """Tell whether a prediction rests on observed loads."""
        per_mb = self._per_mb.get(tier)
        return (model, tier) in self._loads or (
            per_mb is not None and (per_mb.is_learnt or tier in self._told)
        )

    def load_rates(self) -> tuple[LoadRate, ...]:
        """Speeds that were observed on this runner."""
        return tuple(
            LoadRate(tier, average.value)
            for tier, average in self._per_mb.items()
            if average.is_learnt
        )

    def adopt(self, rates: Iterable[LoadRate]) -> None:
        """Take over what others have observed, until there is better."""
        for rate in rates:
            average = self._per_mb.get(rate.tier)
            if average is not None and not average.is_learnt:
                average.value = rate.ms_per_mb
                self._told.add(rate.tier)

    def first_token_ms(self, model: str) -> float:
        """Predict the time from start to first token."""
        learnt = self._first_tokens.get(model)
        return learnt.value if learnt else _PRIOR_FIRST_TOKEN_MS

    def service_ms(self, model: str, max_tokens: int) -> float:
        """Predict the time that a generation takes on the engine."""
        learnt = self._tokens.get(model)
        token_ms = learnt.value if learnt else _PRIOR_TOKEN_MS
        tokens = max_tokens * self._output_ratio.value
        return self.first_token_ms(model) + tokens * token_ms

    def learn_load(
        self,
        model: str,
        tier: Tier,
        memory_mb: int,
        took_ms: float,
    ) -> None:
        """Learn from a finished load."""
        if self.is_load_learnt(model, tier):
            predicted_ms = self.load_ms(model, tier, memory_mb)
            self.load_error.learn(predicted_ms, took_ms)
        learnt = self._loads.setdefault((model, tier), _Average(took_ms))
        learnt.learn(took_ms)
        if memory_mb > 0 and tier in self._per_mb:
            self._per_mb[tier].learn(took_ms / memory_mb)

    def learn_service(
        self,
        model: str,
        max_tokens: int,
        first_token_ms: float,
        tokens: int,
        took_ms: float,
    ) -> None:
        """Learn from a finished generation."""
        predicted_ms = self.service_ms(model, max_tokens)
        self.service_error.learn(predicted_ms, took_ms)
        first = self._first_tokens.setdefault(model, _Average(first_token_ms))
        first.learn(first_token_ms)
        if tokens > 1:
            token_ms = (took_ms - first_token_ms) / (tokens - 1)
            each = self._tokens.setdefault(model, _Average(token_ms))
            each.learn(max(0, token_ms))
        if max_tokens > 0:
            self._output_ratio.learn(min(1, tokens / max_tokens))
