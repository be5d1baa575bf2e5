"""Replicas and adapters in the memory of an engine."""

import dataclasses
from collections import Counter

from standins.engine.messages import Order, OrderRefused, State

ReplicaKey = tuple[str, str]

INSUFFICIENT_STORAGE = 507


@dataclasses.dataclass(slots=True)
class Adapter:
    """An adapter of a replica, loading or loaded."""

    name: str
    version: str
    memory_mb: float
    state: State = State.LOADING

    def show(self) -> dict[str, object]:
        """Return the adapter as the listing shows it."""
        return {
            'name': self.name,
            'version': self.version,
            'state': self.state,
            'memory_mb': self.memory_mb,
        }


@dataclasses.dataclass(slots=True)
class Replica:
    """A model version in memory, loading or loaded."""

    model: str
    version: str
    memory_mb: float
    state: State = State.LOADING
    adapters: dict[ReplicaKey, Adapter] = dataclasses.field(
        default_factory=dict,
    )

    @property
    def used_mb(self) -> float:
        """Return the memory of the weights and the adapters, in MB."""
        adapters_mb = sum(one.memory_mb for one in self.adapters.values())
        return self.memory_mb + adapters_mb

    def show(self) -> dict[str, object]:
        """Return the replica as the listing shows it."""
        return {
            'model': self.model,
            'version': self.version,
            'state': self.state,
            'memory_mb': self.memory_mb,
            'adapters': [one.show() for one in self.adapters.values()],
        }


class Memory:
    """Admits replicas and adapters as long as they fit.

    :param memory_mb: size of the memory, in MB.
    :ivar overcommit_attempts: loads that did not fit into the memory.
    :ivar repeated_loads: loads of what was already loading or loaded.
    :ivar most_replicas: largest number of replicas at a time, by model.
    """

    def __init__(self, memory_mb: float) -> None:
        self.memory_mb = memory_mb
        self.replicas: dict[ReplicaKey, Replica] = {}
        self.overcommit_attempts = 0
        self.repeated_loads = 0
        self.most_replicas: Counter[str] = Counter()

    def add_replica(self, order: Order) -> Replica | None:
        """Reserve memory for a replica; return None if it exists already.

        :raises OrderRefused: when the memory is too small.
        """
        key = (order.model, order.version)
        existing = self.replicas.get(key)
        if existing is not None and existing.state is not State.FAILED:
            self.repeated_loads += 1
            return None
        self._reserve(order.memory_mb)
        replica = Replica(order.model, order.version, order.memory_mb)
        self.replicas[key] = replica
        self._update_most_replicas(order.model)
        return replica

    def add_adapter(self, order: Order) -> Adapter | None:
        """Reserve memory for an adapter; return None if it exists already.

        :raises OrderRefused: when the replica isn't ready or the memory is too
            small.
        """
        replica = self.ready_replica(order.model, order.version)
        if replica is None:
            raise OrderRefused(404, 'replica not ready')
        key = (order.adapter, order.adapter_version)
        existing = replica.adapters.get(key)
        if existing is not None and existing.state is not State.FAILED:
            self.repeated_loads += 1
            return None
        self._reserve(order.memory_mb)
        adapter = Adapter(*key, order.memory_mb)
        replica.adapters[key] = adapter
        return adapter

    def remove_replica(self, order: Order) -> Replica | None:
        """Free the memory of a replica and return it, if there is one."""
        return self.replicas.pop((order.model, order.version), None)

    def remove_adapter(self, order: Order) -> Adapter | None:
        """Free the memory of an adapter and return it, if there is one."""
        replica = self.replicas.get((order.model, order.version))
        if replica is None:
            return None
        key = (order.adapter, order.adapter_version)
        return replica.adapters.pop(key, None)

    def ready_replica(self, model: str, version: str) -> Replica | None:
        """Return a replica if it is ready, or None."""
        replica = self.replicas.get((model, version))
        if replica is None or replica.state is not State.READY:
            return None
        return replica

    def is_ready(
        self,
        model: str,
        version: str,
        adapter: str,
        adapter_version: str,
    ) -> bool:
        """Tell whether the model and adapter of a request are ready."""
        replica = self.ready_replica(model, version)
        if replica is None:
            return False
        if not adapter:
            return True
        loaded = replica.adapters.get((adapter, adapter_version))
        return loaded is not None and loaded.state is State.READY

    def _reserve(self, memory_mb: float) -> None:
        used_mb = sum(one.used_mb for one in self.replicas.values())
        if used_mb + memory_mb > self.memory_mb:
            self.overcommit_attempts += 1
            raise OrderRefused(INSUFFICIENT_STORAGE, 'out of memory')

    def _update_most_replicas(self, model: str) -> None:
        replica_count = sum(
            one.model == model for one in self.replicas.values()
        )
        most = max(self.most_replicas[model], replica_count)
        self.most_replicas[model] = most
