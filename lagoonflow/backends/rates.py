"""Exponentially smoothed rates of requests and tokens by model."""

import dataclasses
import math

from lagoonflow.clock import MS_PER_S
from lagoonflow.relay.messages import Call

# Half-life of the counted requests: demand moves to other models within about
# this time.
HALF_LIFE_MS = 6000
# A model with a lower rate is no longer tracked.
MIN_RATE_PER_S = 0.001


@dataclasses.dataclass(slots=True)
class _Rate:
    per_s: float
    updated_ms: float


class ModelRates:
    """Counts requests or tokens by model and returns smoothed rates."""

    def __init__(self) -> None:
        """Start with nothing counted."""
        self._rates: dict[str, _Rate] = {}

    def count(self, model: str, now_ms: float, amount: float = 1) -> None:
        """Count an amount for a model."""
        rate = self._rates.setdefault(model, _Rate(0, now_ms))
        _decay(rate, now_ms)
        rate.per_s += amount * math.log(2) * MS_PER_S / HALF_LIFE_MS

    def per_s(self, now_ms: float) -> dict[str, float]:
        """Return the smoothed amount per second of each model."""
        for counted in self._rates.values():
            _decay(counted, now_ms)
        self._rates = {
            model: rate
            for model, rate in self._rates.items()
            if rate.per_s >= MIN_RATE_PER_S
        }
        return {model: rate.per_s for model, rate in self._rates.items()}


class DemandRates:
    """Rates of the calls for each model.

    :ivar requests: calls per second.
    :ivar prompt_tokens: tokens of their prompts per second.
    """

    def __init__(self) -> None:
        """Start with no calls counted."""
        self.requests = ModelRates()
        self.prompt_tokens = ModelRates()

    def count(self, call: Call, now_ms: float) -> None:
        """Count a call for a model."""
        self.requests.count(call.model, now_ms)
        self.prompt_tokens.count(call.model, now_ms, call.prompt_tokens)


def _decay(rate: _Rate, now_ms: float) -> None:
    elapsed_ms = now_ms - rate.updated_ms
    rate.per_s *= 0.5 ** (elapsed_ms / HALF_LIFE_MS)
    rate.updated_ms = now_ms
