"""Finds replicas for a router: in its cache, or by asking the home."""

import random
from collections.abc import Awaitable, Callable, Collection, Sequence
from typing import Any

from lagoonflow.clock import Clock
from lagoonflow.placement.cache import LocationCache
from lagoonflow.placement.messages import (
    LocateReply,
    LocateRequest,
    Place,
    Target,
)
from lagoonflow.results import Refusal, Result
from lagoonflow.streams.messages import Versions
from lagoonflow.wire.methods import LOCATE, Method

# Most agents that are asked in turn as home of a model.
MAX_HOMES_ASKED = 3
# Longest wait for the reply of one home, in ms.
MAX_LOCATE_MS = 4000
RETRY_AFTER_MS = 1000
NO_AGENTS = Refusal(
    Result.NO_RUNNER,
    'No agent with a model engine is known.',
    retry_after_ms=RETRY_AFTER_MS,
)
NO_HOME = Refusal(
    Result.BACKEND_UNREACHABLE,
    'No home of the model can be reached.',
    retry_after_ms=RETRY_AFTER_MS,
)

# Sends a message to a member by name, with a timeout in ms.
Send = Callable[[str, Method, Any, int], Awaitable[Any]]
# Agents by rank for a model; the first is its home.
Ranking = Callable[[str], Sequence[str]]


class Locator:
    """Finds places of models for the calls of one router.

    :ivar versions: returns the stream versions that the router has applied.
    :param router: name of the router.
    :param send: sends a message to a member, with a timeout in ms.
    :param ranking: agents by rank for a model; the first is its home.
    :param is_schedulable: returns whether an agent may get new work.
    """

    def __init__(
        self,
        router: str,
        send: Send,
        ranking: Ranking,
        is_schedulable: Callable[[str], bool],
        clock: Clock,
        rng: random.Random | None = None,
    ) -> None:
        """Start with an empty cache."""
        self.versions: Callable[[], Versions] = Versions
        self._router = router
        self._send = send
        self._ranking = ranking
        self._is_schedulable = is_schedulable
        self._clock = clock
        self._rng = rng or random.Random()
        self._cache = LocationCache()

    async def locate(
        self,
        target: Target,
        organisation: str,
        deadline_in_ms: int,
        stale_agents: Collection[str],
    ) -> tuple[Place, ...] | Refusal:
        """Return places for a request, best first.

        :param deadline_in_ms: time left until the deadline, in ms.
        :param stale_agents: agents that must not get this request; their
            cached places of the model are dropped.
        """
        for agent in stale_agents:
            self._cache.remove(target.model, agent)
        place = self._pick_cached(target.model, stale_agents)
        if place is not None:
            return (place,)
        request = LocateRequest(
            target,
            organisation,
            deadline_in_ms,
            self.versions(),
            router=self._router,
            stale_agents=(
                *stale_agents,
                *self._unschedulable(self._ranking(target.model)),
            ),
        )
        return await self._ask_homes(request)

    def on_sent(self, model: str, agent: str) -> None:
        """Count a request that was sent to an agent."""
        self._cache.on_sent(model, agent)

    def on_done(self, model: str, agent: str) -> None:
        """Stop counting a request, since it has ended."""
        self._cache.on_done(model, agent)

    def _pick_cached(
        self, model: str, excluded: Collection[str]
    ) -> Place | None:
        unschedulable = self._unschedulable(self._cache.agents(model))
        return self._cache.pick(
            self._clock(),
            model,
            self._rng,
            (*excluded, *unschedulable),
        )

    def _unschedulable(self, agents: Sequence[str]) -> tuple[str, ...]:
        return tuple(
            agent for agent in agents if not self._is_schedulable(agent)
        )

    async def _ask_homes(
        self,
        request: LocateRequest,
    ) -> tuple[Place, ...] | Refusal:
        model = request.target.model
        ranking = self._cache.homes_to_ask(self._clock(), self._ranking(model))
        refusal = NO_HOME if ranking else NO_AGENTS
        timeout_ms = min(request.deadline_in_ms, MAX_LOCATE_MS)
        for home in ranking[:MAX_HOMES_ASKED]:
            reply = await self._send(home, LOCATE, request, timeout_ms)
            if isinstance(reply, Refusal):
                self._cache.on_unreachable(self._clock(), home)
                continue
            if reply.refusal is None:
                return self._store_places(model, reply)
            refusal = reply.refusal
            if refusal.code is not Result.NOT_HOME:
                return refusal
        return refusal

    def _store_places(
        self, model: str, reply: LocateReply
    ) -> tuple[Place, ...]:
        self._cache.store_reply(self._clock(), model, reply)
        return reply.places
