"""Settings of the agent side of one runner, and its view of releases."""

import dataclasses
from typing import Protocol

from lagoonflow.releases.messages import AdapterSpec, ModelSpec


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerSettings:
    """Settings of one runner.

    :param agent: name of the agent, unique in the roster.
    :param max_running: most sequences that run at once on the engine.
    :param kv_room_mb: memory that is kept for KV caches.
    :param adapter_room_mb: memory that replicas leave to adapters.
    :param adapters_in_flight: most adapter loads at once.
    :param bid_lifetime_ms: how long a bid reserves memory.
    :param reload_weight: idle ms that one ms of a reload is worth.
    :param pressure_wait_ms: predicted wait that asks for one more replica.
    :param store_share_per_s: loads without permits from the store's home.
    :param may_follow_another: whether orders of an earlier agent may still
        reach the engine; they are waited out, since a late one is accepted
        even by an engine with fencing until a newer order came.
    :param first_fence: smallest fencing number of this agent.
    """

    agent: str
    max_running: int = 16
    kv_room_mb: int = 0
    adapter_room_mb: int = 0
    adapters_in_flight: int = 30
    bid_lifetime_ms: int = 2_000
    reload_weight: float = 30
    pressure_wait_ms: int = 1_000
    store_share_per_s: float = 0.2
    may_follow_another: bool = True
    first_fence: int = 1


class Releases(Protocol):
    """What a runner needs to know of the release notes in force."""

    def model(self, name: str) -> ModelSpec | None:
        """Find a model."""

    def adapter(self, name: str) -> AdapterSpec | None:
        """Find an adapter."""
