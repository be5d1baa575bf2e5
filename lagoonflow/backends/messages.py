"""What backend servers say of themselves."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HeldModel:
    """A model that a runner holds, with its adapters."""

    name: str
    version: int
    adapters: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One registered backend server.

    :param instance: identity of this start.
    :param started_ms: wall clock of its start; separates starts under one id.
    :param is_leaving: it takes no new work.
    :param remaining_ms: time until it is gone at short notice; ``None`` when
        it is not.
    :param order_sequence: orders that it has accepted.
    """

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool = False
    remaining_ms: float | None = None
    started_ms: int = 0
    order_sequence: int = 0
    models: tuple[HeldModel, ...] = ()
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()

    @property
    def host(self) -> str:
        """IP of the backend server's host."""
        return self.address.rpartition(':')[0]


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerReport:
    """A runner's own account of its state.

    :param is_busy: an order is in progress.
    :param pending_adapters: adapters on their way, as ``model/adapter``.
    :param cache_used_tokens: memory that running requests hold.
    """

    started_ms: int
    models: tuple[HeldModel, ...]
    is_busy: bool
    order_sequence: int
    queued: int
    active: int
    cache_used_tokens: int
    cache_total_tokens: int
    pending_adapters: frozenset[str] = frozenset()
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
