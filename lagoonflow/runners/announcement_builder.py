"""Builds what a runner announces to the homes of its models."""

from collections.abc import Iterable

from lagoonflow.placement.messages import (
    Announcement,
    Checkpoint,
    Replica,
    Tier,
)
from lagoonflow.runners.replica import ReplicaState, State
from lagoonflow.runners.replicas import Replicas
from lagoonflow.runners.scheduler import Scheduler
from lagoonflow.streams.messages import Versions

# Version, state and pressure of each replica, and version and tier of each
# local checkpoint of a model. A change is announced at once.
_Signature = tuple[tuple[str, str, str], ...]


class AnnouncementBuilder:
    """Finds models with changes to announce and describes their replicas.

    :param pressure_wait_ms: predicted wait above which a model needs one
        more replica.
    """

    def __init__(
        self,
        replicas: Replicas,
        scheduler: Scheduler,
        pressure_wait_ms: int,
    ) -> None:
        self._replicas = replicas
        self._scheduler = scheduler
        self._pressure_wait_ms = pressure_wait_ms
        self._last_signatures: dict[str, _Signature] = {}

    def changed_models(self, now_ms: int) -> tuple[str, ...]:
        """Models whose state has changed since the last call."""
        signatures = self._signatures(now_ms)
        models = signatures.keys() | self._last_signatures.keys()
        changed = tuple(
            sorted(
                model
                for model in models
                if signatures.get(model) != self._last_signatures.get(model)
            )
        )
        self._last_signatures = signatures
        return changed

    def build(
        self,
        now_ms: int,
        models: tuple[str, ...],
        versions: Versions,
    ) -> Announcement:
        """Build the announcement of some models.

        The caller fills in the agent and its nonce.
        """
        return Announcement(
            agent='',
            nonce='',
            models=models,
            replicas=self.replicas(now_ms, models),
            checkpoints=self.checkpoints(models),
            versions=versions,
            under_pressure=self.under_pressure(now_ms, models),
            load_rates=self._replicas.predictor.load_rates(),
        )

    def replicas(
        self,
        now_ms: int,
        models: Iterable[str],
    ) -> tuple[Replica, ...]:
        """Describe the replicas that take requests."""
        requested_models = set(models)
        return tuple(
            self._describe(now_ms, replica)
            for replica in self._replicas.table.values()
            if replica.key.model in requested_models
            and _takes_requests(replica)
        )

    def checkpoints(self, models: Iterable[str]) -> tuple[Checkpoint, ...]:
        """Describe the local copies of checkpoints."""
        requested_models = set(models)
        return tuple(
            Checkpoint(key.model, key.version, tier)
            for key, tier in self._replicas.checkpoints.items()
            if key.model in requested_models
        )

    def under_pressure(
        self,
        now_ms: int,
        models: Iterable[str],
    ) -> tuple[str, ...]:
        """Models with queued requests and too long a predicted wait."""
        return tuple(
            model for model in models if self._is_under_pressure(now_ms, model)
        )

    def models(self) -> tuple[str, ...]:
        """All models with a replica or a local checkpoint."""
        models = {
            replica.key.model for replica in self._replicas.table.values()
        }
        models.update(key.model for key in self._replicas.checkpoints)
        return tuple(sorted(models))

    def _describe(self, now_ms: int, replica: ReplicaState) -> Replica:
        model = replica.key.model
        return Replica(
            model=model,
            model_version=replica.key.version,
            decision_id=replica.decision_id,
            tier=Tier.READY if replica.is_ready else Tier.LOADING,
            ready_in_ms=self._replicas.ready_in_ms(now_ms, replica),
            wait_ms=round(
                self._scheduler.wait_predictor.probe_wait_ms(now_ms, model)
            ),
            running=replica.running,
        )

    def _is_under_pressure(self, now_ms: int, model: str) -> bool:
        replica = self._replicas.find_accepting(model)
        if replica is None or not replica.is_ready:
            return False
        if not self._scheduler.summarise_waiting(model).count:
            return False
        wait_ms = self._scheduler.wait_predictor.probe_wait_ms(now_ms, model)
        return wait_ms > self._pressure_wait_ms

    def _signatures(self, now_ms: int) -> dict[str, _Signature]:
        signatures: dict[str, _Signature] = {}
        for replica in self._replicas.table.values():
            model = replica.key.model
            pressure = str(self._is_under_pressure(now_ms, model))
            part = (replica.key.version, replica.state, pressure)
            signatures[model] = (*signatures.get(model, ()), part)
        for key, tier in self._replicas.checkpoints.items():
            part = (key.version, 'checkpoint', tier.value)
            signatures[key.model] = (*signatures.get(key.model, ()), part)
        return signatures


def _takes_requests(replica: ReplicaState) -> bool:
    return replica.is_ready or (
        replica.is_pending and replica.state != State.FAILED
    )
