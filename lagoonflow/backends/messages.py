"""State of backend servers, as registered or as runners report it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HeldModel:
    """A model that a runner holds, with its adapters."""

    name: str
    weights_version: int
    adapters: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One registered backend server.

    :param instance: id under which it is registered.
    :param service: service that it belongs to.
    :param address: host and port.
    :param zone: availability zone.
    :param software_version: version of its software; streams of two versions
        can't be joined.
    :param slots: number of requests that it runs at once.
    :param started_ms: wall clock of its start; tells apart the starts under
        one id.
    :param is_draining: it takes no new requests.
    :param remaining_ms: time until it is removed at short notice; ``None``
        when no removal is announced.
    :param order_sequence: number of orders that it has accepted.
    :param models: models that a runner holds.
    :param in_memory: models with a copy in the host's memory.
    :param on_disk: models with a copy on the host's disk.
    :param cold_for_ms: time for which it is cold, from the entry on; ``None``
        when unstated or malformed.
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
    software_version: str = ''
    cold_for_ms: float | None = None

    @property
    def host(self) -> str:
        """IP address of the backend server's host."""
        return self.address.rpartition(':')[0]


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerReport:
    """State that a runner reports of itself.

    :param started_ms: wall clock of its start.
    :param is_busy: an order is in progress.
    :param order_sequence: number of orders that it has accepted.
    :param queued: number of requests that wait for a place in the batch.
    :param active: number of requests that are running.
    :param cache_used_tokens: cache that running requests occupy, in tokens.
    :param cache_total_tokens: size of the cache, in tokens.
    :param is_leaving: it said that it is leaving.
    :param limit_per_s: requests per second that it says it takes from all
        routers together; ``None`` for no limit.
    :param work_time_percent: how long work takes on its machine, in percent of
        the usual time; ``None`` when unstated.
    :param pending_adapters: adapters being loaded, as ``model/adapter``.
    :param in_memory: models with a copy in the host's memory.
    :param on_disk: models with a copy on the host's disk.
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
    is_leaving: bool = False
    limit_per_s: float | None = None
    work_time_percent: float | None = None
