"""A router's cache of replicas, and its choice among them."""

import dataclasses
from collections.abc import Collection, Sequence
from random import Random

from lagoonflow.placement.messages import LocateReply, Place

# Time in ms for which a cached place is used without asking the home again.
LIFETIME_MS = 5_000
# The same for a place with a long predicted wait.
BUSY_LIFETIME_MS = 500
# Time in ms for which an agent that could not be reached is avoided.
UNREACHABLE_MS = 2_000
# Predicted wait in ms above which a place counts as busy.
_BUSY_WAIT_MS = 500
# Wait in ms that each request in flight adds to the prediction.
_WAIT_PER_REQUEST_MS = 50


@dataclasses.dataclass(slots=True)
class _CachedPlace:
    """One cached place of a model.

    :param ready_at_ms: when the replica is predicted to be ready.
    :param received_at_ms: when the home's reply arrived.
    :param in_flight: number of this router's requests in flight at the agent.
    """

    place: Place
    ready_at_ms: int
    received_at_ms: int
    in_flight: int = 0

    def wait_ms(self, now_ms: int) -> int:
        """Return the predicted wait of one more request, in ms."""
        ready_in_ms = max(0, self.ready_at_ms - now_ms)
        queued_ms = self.place.queued_ms + self.in_flight * _WAIT_PER_REQUEST_MS
        return ready_in_ms + queued_ms

    def is_fresh(self, now_ms: int) -> bool:
        """Tell whether the place may be used without asking the home."""
        is_busy = self.wait_ms(now_ms) > _BUSY_WAIT_MS
        lifetime_ms = BUSY_LIFETIME_MS if is_busy else LIFETIME_MS
        return now_ms - self.received_at_ms < lifetime_ms


class LocationCache:
    """Caches the places of models from the replies of their homes."""

    def __init__(self) -> None:
        self._places: dict[str, dict[str, _CachedPlace]] = {}
        self._unreachable: dict[str, int] = {}

    def store_reply(self, now_ms: int, model: str, reply: LocateReply) -> None:
        """Replace the places of a model by those of a home's reply.

        The counts of requests in flight are kept.
        """
        known = self._places.get(model, {})
        self._places[model] = {
            place.agent: _CachedPlace(
                place,
                now_ms + place.ready_in_ms,
                now_ms,
                known[place.agent].in_flight if place.agent in known else 0,
            )
            for place in reply.places
        }

    def pick(
        self,
        now_ms: int,
        model: str,
        random: Random,
        excluded: Collection[str] = (),
    ) -> Place | None:
        """Return the better of two random places.

        :param excluded: agents that must not be chosen.
        :returns: the place with the shorter predicted wait; ``None`` if no
            cached place may be used and the home has to be asked.
        """
        fresh = [
            cached
            for agent, cached in self._places.get(model, {}).items()
            if agent not in excluded
            and self.is_reachable(now_ms, agent)
            and cached.is_fresh(now_ms)
        ]
        if not fresh:
            return None
        pair = random.sample(fresh, min(2, len(fresh)))
        return min(pair, key=lambda cached: cached.wait_ms(now_ms)).place

    def agents(self, model: str) -> tuple[str, ...]:
        """Return the agents that have a cached place of a model."""
        return tuple(self._places.get(model, ()))

    def remove(self, model: str, agent: str) -> None:
        """Remove the place of a model on one agent, which is out of date."""
        self._places.get(model, {}).pop(agent, None)

    def on_sent(self, model: str, agent: str) -> None:
        """Count a request that was sent to an agent."""
        self._adjust_in_flight(model, agent, 1)

    def on_done(self, model: str, agent: str) -> None:
        """Stop counting a request, since it has ended."""
        self._adjust_in_flight(model, agent, -1)

    def on_unreachable(self, now_ms: int, agent: str) -> None:
        """Avoid an agent for a short time, both as a place and as a home."""
        self._unreachable[agent] = now_ms + UNREACHABLE_MS

    def is_reachable(self, now_ms: int, agent: str) -> bool:
        """Tell whether the agent has not been marked unreachable recently."""
        return self._unreachable.get(agent, 0) <= now_ms

    def homes_to_ask(
        self, now_ms: int, ranking: Sequence[str]
    ) -> tuple[str, ...]:
        """Return the agents to ask for places, in order.

        :param ranking: agents by rank for a model: its home, then the agents
            that act as home if those before them are unreachable.
        :returns: the reachable agents, or all if none counts as reachable.
        """
        reachable = tuple(
            agent for agent in ranking if self.is_reachable(now_ms, agent)
        )
        return reachable or tuple(ranking)

    def _adjust_in_flight(self, model: str, agent: str, change: int) -> None:
        cached = self._places.get(model, {}).get(agent)
        if cached is not None:
            cached.in_flight = max(0, cached.in_flight + change)
