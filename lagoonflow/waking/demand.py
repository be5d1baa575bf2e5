"""Demand for a runner's models, summed over all routers."""

import collections
import dataclasses
from collections.abc import Callable

from lagoonflow.clock import MS_PER_S
from lagoonflow.gossip.messages import LoadRequest, RouterState
from lagoonflow.waking.engine_speed import PREFILL_TOKEN_MS

# Routers repeat their state at least once a second; the state of one that
# has been silent for this long is dropped, in ms.
ROUTER_STATE_TTL_MS = 2500
# Routers repeat load requests several times a second while calls wait; older
# ones are ignored, in ms.
LOAD_REQUEST_TTL_MS = 700


@dataclasses.dataclass(slots=True)
class _ReceivedState:
    """A router's state.

    :ivar received_at_ms: when it was received, less the time in which this
        process had stood still until then.
    """

    state: RouterState
    received_at_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class RequestedLoad:
    """A model or adapter that routers request to be loaded.

    :param adapter: empty for the model itself.
    :param waiting: number of calls that wait for it at all routers.
    :param waiting_since_ms: when this agent first received a request for it,
        or when routers began to refuse calls for it.
    :param refused: number of requests that were refused, as it isn't loaded.
    :param refused_periods: periods in which they were, as bits.
    """

    model: str
    adapter: str
    waiting: int
    waiting_since_ms: float
    refused: int = 0
    refused_periods: int = 0

    def joined(self, other: 'RequestedLoad') -> 'RequestedLoad':
        """Return this load with the refused requests of another one."""
        return dataclasses.replace(
            self,
            refused=self.refused + other.refused,
            refused_periods=self.refused_periods | other.refused_periods,
        )


class Demand:
    """Stores the newest state of each router and sums their demand.

    Routers aren't silent while this process stands still: their messages are
    read afterwards.

    :param stalled_ms: returns for how long this process stood still so far.
    """

    def __init__(self, stalled_ms: Callable[[], float] = float) -> None:
        """Start without any router's state."""
        self._stalled_ms = stalled_ms
        self._routers: dict[str, _ReceivedState] = {}
        self._waiting_since_ms: dict[tuple[str, str], float] = {}

    def record_state(self, state: RouterState, now_ms: float) -> None:
        """Store the state of a router, or drop it if the router leaves."""
        if state.is_leaving:
            self._routers.pop(state.router, None)
            return
        self._routers[state.router] = _ReceivedState(
            state, now_ms - self._stalled_ms()
        )

    def router_addresses(self, now_ms: float) -> list[str]:
        """Return the addresses of the routers with a recent state."""
        return [
            received.state.address for received in self._recent_states(now_ms)
        ]

    def requested_loads(self, now_ms: float) -> list[RequestedLoad]:
        """Return the requested models and adapters, longest waiting first."""
        since_ms = self._waiting_since_ms
        self._waiting_since_ms = {}
        found: dict[tuple[str, str], RequestedLoad] = {}
        horizon_ms = now_ms - self._stalled_ms() - LOAD_REQUEST_TTL_MS
        for received in self._recent_states(now_ms):
            if received.received_at_ms < horizon_ms:
                continue
            for request in received.state.load_requests:
                key = (request.model, request.adapter)
                first_ms = since_ms.get(key, now_ms)
                found[key] = _join_request(
                    found.get(key), request, first_ms, now_ms
                )
        for key, load in found.items():
            self._waiting_since_ms[key] = load.waiting_since_ms
        return sorted(
            found.values(), key=lambda one: (one.waiting_since_ms, one.model)
        )

    def newest_state(self, now_ms: float) -> RouterState | None:
        """Return the state to follow; ``None`` without any.

        All routers send nearly the same plan, so the newest one is followed.
        One that says that models are scarce goes before those that don't:
        routers that have just started can't tell yet.
        """
        received = max(
            self._recent_states(now_ms),
            key=lambda one: (one.state.is_scarce, one.received_at_ms),
            default=None,
        )
        return None if received is None else received.state

    def is_scarce(self, now_ms: float) -> bool:
        """Whether routers say that most models don't fit the runners."""
        state = self.newest_state(now_ms)
        return state is not None and state.is_scarce

    def store_turn(self, now_ms: float) -> str:
        """Return the model that most routers want loaded from the store.

        Only those are asked that know of turns.
        """
        turns = collections.Counter(
            received.state.store_turn
            for received in self._recent_states(now_ms)
            if received.state.is_scarce
        )
        return min(turns, key=lambda name: (-turns[name], name), default='')

    def running_requests(self, now_ms: float) -> collections.Counter[str]:
        """Count the running requests by ``model`` or ``model/adapter``."""
        counts: collections.Counter[str] = collections.Counter()
        for received in self._recent_states(now_ms):
            counts.update(received.state.running)
        return counts

    def rates_per_s(self, now_ms: float) -> dict[str, float]:
        """Return the demand for each model, in requests per second."""
        rates_per_s: collections.Counter[str] = collections.Counter()
        for received in self._recent_states(now_ms):
            rates_per_s.update(received.state.demand_per_s)
        return rates_per_s

    def prefill_shares(self, now_ms: float) -> dict[str, float]:
        """Return the share of a runner's time that prompts take, by model."""
        tokens_per_s: collections.Counter[str] = collections.Counter()
        for received in self._recent_states(now_ms):
            tokens_per_s.update(received.state.prompt_tokens_per_s)
        return {
            model: per_s * PREFILL_TOKEN_MS / MS_PER_S
            for model, per_s in tokens_per_s.items()
        }

    def registered_instance(self, started_ms: int, now_ms: float) -> str:
        """Return the identity that a start of the runner has registered.

        :param started_ms: wall clock of that start.
        :returns: the identity; empty when no router knows it.
        """
        return next(
            (
                received.state.instance
                for received in self._recent_states(now_ms)
                if received.state.runner_started_ms == started_ms
            ),
            '',
        )

    def _recent_states(self, now_ms: float) -> list[_ReceivedState]:
        horizon_ms = now_ms - self._stalled_ms() - ROUTER_STATE_TTL_MS
        for name, received in list(self._routers.items()):
            if received.received_at_ms < horizon_ms:
                self._routers.pop(name)
        return list(self._routers.values())


def _join_request(
    load: RequestedLoad | None,
    request: LoadRequest,
    first_ms: float,
    now_ms: float,
) -> RequestedLoad:
    """Add a router's request to those of the other routers for one load.

    :param first_ms: when a request for it was first received.
    """
    since_ms = min(first_ms, now_ms - request.unserved_ms)
    added = RequestedLoad(
        request.model,
        request.adapter,
        request.waiting,
        since_ms,
        request.refused,
        request.refused_periods,
    )
    if load is None:
        return added
    return dataclasses.replace(
        added.joined(load),
        waiting=load.waiting + request.waiting,
        waiting_since_ms=min(load.waiting_since_ms, since_ms),
    )
