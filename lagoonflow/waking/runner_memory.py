"""Accounts for a runner's memory and adapters."""

import dataclasses

from lagoonflow.backends.messages import HeldModel, RunnerReport
from lagoonflow.backends.names import model_of
from lagoonflow.declared.messages import EngineSpec

# The runner may still carry out an unanswered order during this time, in ms.
UNANSWERED_ORDER_TTL_MS = 12_500


@dataclasses.dataclass(frozen=True, slots=True)
class UnansweredLoad:
    """A load order without an answer, which may still be carried out.

    :param after_sequence: sequence number that the order named.
    :param expires_at_ms: from this time on it can't be carried out any more.
    """

    model: str
    after_sequence: int
    expires_at_ms: float


class RunnerMemory:
    """Computes the free memory and adapter capacity of a runner.

    Memory is reserved for load orders that the runner didn't answer. Each
    order names the sequence number that it follows, and the runner carries it
    out only while that is its current one. A reservation thus doesn't count
    while the runner has a higher number, but is kept until the order has
    expired: a restarted runner counts from zero, so the order may match again.
    """

    def __init__(self) -> None:
        """Start without reservations."""
        self._unanswered: list[UnansweredLoad] = []

    def record_unanswered(
        self, model: str, after_sequence: int, now_ms: float
    ) -> None:
        """Reserve memory for a load that may be carried out late.

        :param after_sequence: sequence number that the order named.
        """
        expires_at_ms = now_ms + UNANSWERED_ORDER_TTL_MS
        self._unanswered.append(
            UnansweredLoad(model, after_sequence, expires_at_ms)
        )

    def free_mb(
        self,
        spec: EngineSpec,
        report: RunnerReport,
        now_ms: float,
        model_to_load: str = '',
    ) -> float:
        """Return the memory that a load may use, in MB.

        :param model_to_load: an unanswered load of this model is not counted,
            as it would use the same memory as the new one.
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
        """Return how many more adapters the runner can hold."""
        taken = sum(len(held.adapters) for held in report.models)
        return spec.max_adapters - taken - len(report.pending_adapters)

    def _reserved_models(self, report: RunnerReport, now_ms: float) -> set[str]:
        self._unanswered = [
            unanswered
            for unanswered in self._unanswered
            if unanswered.expires_at_ms > now_ms
        ]
        return {
            unanswered.model
            for unanswered in self._unanswered
            if unanswered.after_sequence >= report.order_sequence
        }


def held_mb(spec: EngineSpec, held: HeldModel) -> float:
    """Return the memory of a held model and its adapters, in MB.

    A model that is no longer declared counts as large as the largest one.
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
