"""Settings of one runner, and the release notes as it needs them."""

import dataclasses
from typing import Protocol

from lagoonflow.releases.messages import AdapterSpec, ModelSpec


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerSettings:
    """Settings of one runner.

    :param agent: name of the agent, unique in the roster.
    :param max_running: most attempts that run at once on the engine.
    :param kv_room_mb: memory that is kept for KV caches.
    :param adapter_room_mb: memory that replicas leave to adapters.
    :param adapters_in_flight: most adapter loads at once.
    :param bid_lifetime_ms: how long a bid reserves memory.
    :param reload_weight: idle ms that cost as much as one ms of a reload.
    :param pressure_wait_ms: predicted wait above which a model needs one
        more replica.
    :param store_share_per_s: loads each second without a permit while the
        home of the weight store is unreachable.
    :param may_follow_another: whether orders of an earlier agent may still
        reach the engine. The agent then waits until they can't take effect
        any more, since even an engine with fencing accepts a late order until
        it has received a newer one.
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
    """The part of the release notes in force that a runner needs."""

    def model(self, name: str) -> ModelSpec | None:
        """Find the specification of a model."""

    def adapter(self, name: str) -> AdapterSpec | None:
        """Find the specification of an adapter."""
