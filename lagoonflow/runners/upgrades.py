"""Upgrades replicas and adapters to the versions in the release notes."""

from collections.abc import Callable, Iterator

from lagoonflow.placement.messages import Target
from lagoonflow.releases.messages import AdapterSpec, ModelSpec
from lagoonflow.results import Result
from lagoonflow.runners.adapters import Adapters
from lagoonflow.runners.messages import Action, ReplicaKey
from lagoonflow.runners.replica import AdapterSlot, ReplicaState, State
from lagoonflow.runners.replicas import Replicas
from lagoonflow.runners.scheduler import Scheduler
from lagoonflow.runners.settings import Releases

# Whether a key, by its id, is in force and belongs to an organisation.
IsKeyValid = Callable[[str, str], bool]
ObtainableMb = Callable[[], int]


def refuse_withdrawn(
    scheduler: Scheduler,
    releases: Releases,
    is_key_valid: IsKeyValid,
) -> Iterator[Action]:
    """Refuse queued attempts whose key, model or adapter was withdrawn."""
    for entry in scheduler.queue:
        request = entry.request
        if not is_key_valid(request.key_id, request.organisation):
            yield scheduler.refuse(
                entry, Result.KEY_WITHDRAWN, 'The key is withdrawn.'
            )
        elif not is_known(releases, entry.target):
            yield scheduler.refuse(
                entry,
                Result.UNKNOWN_MODEL,
                'The model or adapter is withdrawn.',
            )


def is_known(releases: Releases, target: Target) -> bool:
    """Tell whether the release notes in force have a model and adapter."""
    if releases.model(target.model) is None:
        return False
    if not target.adapter:
        return True
    adapter = releases.adapter(target.adapter)
    return adapter is not None and adapter.model == target.model


class Upgrades:
    """Replaces replicas and adapters of a version that isn't in force.

    :param obtainable_mb: tells the memory that a new replica could get.
    """

    def __init__(
        self,
        replicas: Replicas,
        adapters: Adapters,
        obtainable_mb: ObtainableMb,
    ) -> None:
        self._replicas = replicas
        self._adapters = adapters
        self._obtainable_mb = obtainable_mb

    def start_upgrades(self, now_ms: int, releases: Releases) -> None:
        """Start the upgrades that are possible now.

        The new version is loaded beside the old one, which is unloaded once
        the new one is ready. A replica is drained first when there is no
        memory for both. Replicas and adapters that were withdrawn from the
        release notes are drained.
        """
        for replica in tuple(self._replicas.table.values()):
            spec = releases.model(replica.key.model)
            if spec is None:
                self._replicas.drain(replica)
                continue
            if not replica.checkpoint:
                replica.checkpoint = spec.checkpoint
            if replica.key.version != spec.version:
                self._upgrade(now_ms, replica, spec)
            if replica.is_serving:
                self._upgrade_adapters(now_ms, replica, releases)

    def _upgrade(
        self,
        now_ms: int,
        old: ReplicaState,
        spec: ModelSpec,
    ) -> None:
        key = ReplicaKey(old.key.model, spec.version)
        new = self._replicas.table.get(key)
        if new is not None:
            if new.is_ready:
                self._replicas.drain(old)
            return
        if old.state not in {State.READY, State.RESERVED}:
            return
        fits_beside = spec.memory_mb <= self._obtainable_mb()
        if old.state == State.RESERVED or not fits_beside:
            self._replicas.drain(old)
        self._replicas.add(now_ms, key, spec, old.decision_id)

    def _upgrade_adapters(
        self,
        now_ms: int,
        replica: ReplicaState,
        releases: Releases,
    ) -> None:
        for slot in tuple(replica.adapters.values()):
            spec = releases.adapter(slot.key.adapter)
            if spec is None or spec.model != replica.key.model:
                self._adapters.drain(slot)
            elif slot.key.version == spec.version:
                _fill_in_spec(slot, spec)
            elif not slot.is_draining:
                self._upgrade_adapter(now_ms, replica, slot, spec)

    def _upgrade_adapter(
        self,
        now_ms: int,
        replica: ReplicaState,
        old: AdapterSlot,
        spec: AdapterSpec,
    ) -> None:
        self._adapters.request(now_ms, replica, old.key.adapter, spec)
        new = self._adapters.find(replica, old.key.adapter)
        if new is not None and new.key.version == spec.version:
            self._adapters.drain(old)


def _fill_in_spec(slot: AdapterSlot, spec: AdapterSpec) -> None:
    """Fill in what the engine's listing lacks."""
    if not slot.checkpoint:
        slot.checkpoint = spec.checkpoint
        slot.memory_mb = slot.memory_mb or spec.memory_mb
