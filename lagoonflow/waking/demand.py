"""What routers want of a runner, summed over all routers."""

import collections
import dataclasses

from lagoonflow.gossip.messages import RouterState

# Routers repeat their state at least once a second; one that is silent for
# this long has no more wishes.
ROUTER_STATE_TTL_MS = 2500
# Wishes are repeated several times a second while requests wait.
LOAD_REQUEST_TTL_MS = 700


@dataclasses.dataclass(slots=True)
class _ReceivedState:
    state: RouterState
    received_at_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class RequestedLoad:
    """A model or an adapter that requests wait for.

    :param since_ms: when the first of them was heard of.
    """

    model: str
    adapter: str
    waiting: int
    since_ms: float


class Demand:
    """Keeps the newest state of each router."""

    def __init__(self) -> None:
        """Start without routers."""
        self._routers: dict[str, _ReceivedState] = {}
        self._waiting_since_ms: dict[tuple[str, str], float] = {}

    def record_state(self, state: RouterState, now_ms: float) -> None:
        """Take the state of a router."""
        if state.is_leaving:
            self._routers.pop(state.router, None)
            return
        self._routers[state.router] = _ReceivedState(state, now_ms)

    def router_addresses(self, now_ms: float) -> list[str]:
        """Addresses of the routers that were heard from lately."""
        return [
            received.state.address for received in self._recent_states(now_ms)
        ]

    def requested_loads(self, now_ms: float) -> list[RequestedLoad]:
        """Return what is wanted, the longest waiting first."""
        waiting: collections.Counter[tuple[str, str]] = collections.Counter()
        for received in self._recent_states(now_ms):
            if now_ms - received.received_at_ms > LOAD_REQUEST_TTL_MS:
                continue
            for request in received.state.load_requests:
                waiting[request.model, request.adapter] += request.waiting
        self._waiting_since_ms = {
            key: self._waiting_since_ms.get(key, now_ms) for key in waiting
        }
        found = [
            RequestedLoad(
                model, adapter, count, self._waiting_since_ms[model, adapter]
            )
            for (model, adapter), count in waiting.items()
        ]
        return sorted(found, key=lambda one: (one.since_ms, one.model))

    def newest_state(self, now_ms: float) -> RouterState | None:
        """Return what was heard last."""
        received = max(
            self._recent_states(now_ms),
            key=lambda one: one.received_at_ms,
            default=None,
        )
        return None if received is None else received.state

    def running_requests(self, now_ms: float) -> collections.Counter[str]:
        """Requests at the runner by model, as the routers know them."""
        counts: collections.Counter[str] = collections.Counter()
        for received in self._recent_states(now_ms):
            counts.update(received.state.running)
        return counts

    def rates_per_s(self, now_ms: float) -> dict[str, float]:
        """Requests a second by model, over all routers."""
        rates_per_s: dict[str, float] = {}
        for received in self._recent_states(now_ms):
            for model, rate in received.state.demand_per_s.items():
                rates_per_s[model] = rates_per_s.get(model, 0) + rate
        return rates_per_s

    def registered_instance(self, now_ms: float) -> tuple[str, int]:
        """Identity and start of the runner, as registered last."""
        found = [
            (received.state.runner_started_ms, received.state.instance)
            for received in self._recent_states(now_ms)
        ]
        started_ms, instance = max(found, default=(0, ''))
        return instance, started_ms

    def _recent_states(self, now_ms: float) -> list[_ReceivedState]:
        horizon_ms = now_ms - ROUTER_STATE_TTL_MS
        for name, received in list(self._routers.items()):
            if received.received_at_ms < horizon_ms:
                self._routers.pop(name)
        return list(self._routers.values())
