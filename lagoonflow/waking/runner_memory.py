"""Memory of a runner: what is held, and what must be kept free."""

import dataclasses

from lagoonflow.backends.messages import HeldModel, RunnerReport
from lagoonflow.backends.names import model_of
from lagoonflow.declared.messages import EngineSpec

# An order that was not answered may be carried out this much later, in ms.
UNANSWERED_ORDER_TTL_MS = 12_500


@dataclasses.dataclass(frozen=True, slots=True)
class UnansweredLoad:
    """A load without an answer that may still be carried out."""

    model: str
    after_sequence: int
    until_ms: float


class RunnerMemory:
    """Counts a runner's memory and adapter places.

    Every order names the sequence number it follows, so a late one can only
    take effect while the runner's sequence is still the one it names. A
    runner that starts again counts from zero, which is why room for late
    loads is kept until they have run out.
    """

    def __init__(self) -> None:
        """Start without late loads."""
        self._unanswered: list[UnansweredLoad] = []

    def record_unanswered(
        self, model: str, after_sequence: int, now_ms: float
    ) -> None:
        """Keep room for a load that may come late."""
        until_ms = now_ms + UNANSWERED_ORDER_TTL_MS
        self._unanswered.append(UnansweredLoad(model, after_sequence, until_ms))

    def free_mb(
        self,
        spec: EngineSpec,
        report: RunnerReport,
        now_ms: float,
        model_to_load: str = '',
    ) -> float:
        """Memory that a load may take, in MB.

        :param wanted: model to load; a late load of the same model takes the
            room that this one would.
        """
        held_names = {model.name for model in report.models}
        unanswered = (
            self._reserved_models(report, now_ms) - held_names - {model_to_load}
        )
        used_mb = (
            sum(held_mb(spec, held) for held in report.models)
            + sum(_weights_mb(spec, model) for model in unanswered)
            + sum(
                _adapter_mb(spec, model_of(pending))
                for pending in report.pending_adapters
            )
        )
        return spec.weights_mb - used_mb

    def free_adapter_capacity(
        self, spec: EngineSpec, report: RunnerReport
    ) -> int:
        """Return how many more adapters the runner may hold."""
        taken = sum(len(held.adapters) for held in report.models)
        return spec.max_adapters - taken - len(report.pending_adapters)

    def _reserved_models(self, report: RunnerReport, now_ms: float) -> set[str]:
        self._unanswered = [
            unanswered
            for unanswered in self._unanswered
            if unanswered.until_ms > now_ms
        ]
        return {
            unanswered.model
            for unanswered in self._unanswered
            if unanswered.after_sequence >= report.order_sequence
        }


def held_mb(spec: EngineSpec, held: HeldModel) -> float:
    """Memory of a held model with its adapters, in MB.

    A model that is not declared any more counts as the largest one.
    """
    adapters_mb = _adapter_mb(spec, held.name) * len(held.adapters)
    return _weights_mb(spec, held.name) + adapters_mb


def _weights_mb(spec: EngineSpec, model: str) -> float:
    declared = spec.models.get(model)
    if declared is None:
        return max((one.weights_mb for one in spec.models.values()), default=0)
    return declared.weights_mb


def _adapter_mb(spec: EngineSpec, model: str) -> float:
    declared = spec.models.get(model)
    return 0 if declared is None else declared.adapter_mb
