"""What routers want of a runner, summed over all routers."""

import collections
import dataclasses

from lagoonflow.gossip.messages import RouterState

# Routers repeat their state at least once a second; one that is silent for
# this long has no more wishes.
ROUTER_SILENT_MS = 2500
# Wishes are repeated several times a second while requests wait.
WISH_LAPSES_MS = 700


@dataclasses.dataclass(slots=True)
class _Heard:
    state: RouterState
    at_ms: float


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
        self._routers: dict[str, _Heard] = {}
        self._since: dict[tuple[str, str], float] = {}

    def record_state(self, state: RouterState, now_ms: float) -> None:
        """Take the state of a router."""
        if state.is_leaving:
            self._routers.pop(state.router, None)
            return
        self._routers[state.router] = _Heard(state, now_ms)

    def router_addresses(self, now_ms: float) -> list[str]:
        """Addresses of the routers that were heard from lately."""
        return [heard.state.address for heard in self._recent(now_ms)]

    def requested_loads(self, now_ms: float) -> list[RequestedLoad]:
        """Return what is wanted, the longest waiting first."""
        waiting: collections.Counter[tuple[str, str]] = collections.Counter()
        for heard in self._recent(now_ms):
            if now_ms - heard.at_ms > WISH_LAPSES_MS:
                continue
            for wish in heard.state.load_requests:
                waiting[wish.model, wish.adapter] += wish.waiting
        self._since = {key: self._since.get(key, now_ms) for key in waiting}
        found = [
            RequestedLoad(model, adapter, count, self._since[model, adapter])
            for (model, adapter), count in waiting.items()
        ]
        return sorted(found, key=lambda one: (one.since_ms, one.model))

    def newest(self, now_ms: float) -> RouterState | None:
        """Return what was heard last."""
        heard = max(
            self._recent(now_ms), key=lambda one: one.at_ms, default=None
        )
        return None if heard is None else heard.state

    def running(self, now_ms: float) -> collections.Counter[str]:
        """Requests at the runner by model, as the routers know them."""
        counts: collections.Counter[str] = collections.Counter()
        for heard in self._recent(now_ms):
            counts.update(heard.state.running)
        return counts

    def rates(self, now_ms: float) -> dict[str, float]:
        """Requests a second by model, over all routers."""
        rates: dict[str, float] = {}
        for heard in self._recent(now_ms):
            for model, rate in heard.state.demand_per_s.items():
                rates[model] = rates.get(model, 0) + rate
        return rates

    def registered(self, now_ms: float) -> tuple[str, int]:
        """Identity and start of the runner, as registered last."""
        found = [
            (heard.state.runner_started_ms, heard.state.instance)
            for heard in self._recent(now_ms)
        ]
        started_ms, instance = max(found, default=(0, ''))
        return instance, started_ms

    def _recent(self, now_ms: float) -> list[_Heard]:
        horizon_ms = now_ms - ROUTER_SILENT_MS
        for name, heard in list(self._routers.items()):
            if heard.at_ms < horizon_ms:
                self._routers.pop(name)
        return list(self._routers.values())
