"""A router's cache of places, and its choice among them."""

import dataclasses
from collections.abc import Collection, Sequence
from random import Random

from lagoonflow.placement.messages import LocateReply, Place

LIFETIME_MS = 5_000
BUSY_LIFETIME_MS = 500
UNREACHABLE_MS = 2_000
_BUSY_WAIT_MS = 500
_WAIT_PER_REQUEST_MS = 50


@dataclasses.dataclass(slots=True)
class _CachedPlace:
    """One cached place.

    :param outstanding: requests of this router that are under way there.
    """

    place: Place
    ready_at_ms: int
    received_at_ms: int
    in_flight: int = 0

    def wait_ms(self, now_ms: int) -> int:
        """Predicted wait of one more request."""
        ready_in_ms = max(0, self.ready_at_ms - now_ms)
        queued_ms = self.place.queued_ms + self.in_flight * _WAIT_PER_REQUEST_MS
        return ready_in_ms + queued_ms

    def is_fresh(self, now_ms: int) -> bool:
        """Whether a request may go there without asking the home."""
        is_busy = self.wait_ms(now_ms) > _BUSY_WAIT_MS
        lifetime_ms = BUSY_LIFETIME_MS if is_busy else LIFETIME_MS
        return now_ms - self.received_at_ms < lifetime_ms


class LocationCache:
    """Places by model, as the homes told them."""

    def __init__(self) -> None:
        self._places: dict[str, dict[str, _CachedPlace]] = {}
        self._unreachable: dict[str, int] = {}

    def store_reply(self, now_ms: int, model: str, reply: LocateReply) -> None:
        """Replace the places of a model by those of a reply."""
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
        """Pick the better of two random places; ``None``: ask the home."""
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
        """Return the agents that are cached for a model."""
        return tuple(self._places.get(model, ()))

    def remove(self, model: str, agent: str) -> None:
        """Drop a place that an agent has called stale."""
        self._places.get(model, {}).pop(agent, None)

    def on_sent(self, model: str, agent: str) -> None:
        """Count a request on its way to a place."""
        self._adjust_in_flight(model, agent, 1)

    def on_done(self, model: str, agent: str) -> None:
        """Count a request as done."""
        self._adjust_in_flight(model, agent, -1)

    def on_unreachable(self, now_ms: int, agent: str) -> None:
        """Avoid an agent for a short time, as a place and as a home."""
        self._unreachable[agent] = now_ms + UNREACHABLE_MS

    def is_reachable(self, now_ms: int, agent: str) -> bool:
        """Tell whether an agent has not been found unreachable lately."""
        return self._unreachable.get(agent, 0) <= now_ms

    def homes_to_ask(
        self, now_ms: int, ranking: Sequence[str]
    ) -> tuple[str, ...]:
        """Agents to ask for a place in turn: the home, then who acts."""
        reachable = tuple(
            agent for agent in ranking if self.is_reachable(now_ms, agent)
        )
        return reachable or tuple(ranking)

    def _adjust_in_flight(self, model: str, agent: str, change: int) -> None:
        cached = self._places.get(model, {}).get(agent)
        if cached is not None:
            cached.in_flight = max(0, cached.in_flight + change)
