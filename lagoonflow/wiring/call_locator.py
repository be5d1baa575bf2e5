"""Finds the agents that a router may send a call to."""

import random

from lagoonflow.calls.actions import Locate
from lagoonflow.calls.events import Located, LocateFailed
from lagoonflow.calls.spec import CallSpec, Candidate
from lagoonflow.placement.locator import Locator
from lagoonflow.placement.messages import Target
from lagoonflow.results import Refusal, Result
from lagoonflow.telemetry.timeline import TimeLine
from lagoonflow.wiring.membership import Membership

PART = 'placement'
RETRY_AFTER_MS = 1000
NO_AGENT = Refusal(
    Result.NO_RUNNER,
    'No agent of this service is in the roster.',
    retry_after_ms=RETRY_AFTER_MS,
)


class CallLocator:
    """Finds agents of a plain service, or agents for a model's requests."""

    def __init__(
        self,
        locator: Locator,
        membership: Membership,
        timeline: TimeLine,
    ) -> None:
        """Start without calls.

        :param locator: finds the agents that hold or may load a model.
        :param membership: the router's view of the roster.
        """
        self._locator = locator
        self._membership = membership
        self._timeline = timeline
        self._rng = random.Random()
        self._assigned_agents: dict[str, tuple[str, str]] = {}

    async def locate(
        self,
        spec: CallSpec,
        query: Locate,
    ) -> Located | LocateFailed:
        """Find agents for a call, best first.

        A call that is located again no longer counts as running at the agent
        it was assigned to before.
        """
        self.on_call_ended(spec.request_id)
        if spec.service_call is not None:
            return self._locate_service(spec, query)
        return await self._locate_model(spec, query)

    def on_call_ended(self, request_id: str) -> None:
        """Stop counting a call as running at the agent it was assigned to."""
        assigned = self._assigned_agents.pop(request_id, None)
        if assigned is not None:
            self._locator.on_done(*assigned)

    def _locate_service(
        self,
        spec: CallSpec,
        query: Locate,
    ) -> Located | LocateFailed:
        agents = [
            agent
            for agent in self._membership.agents_offering(
                spec.service_call.service
            )
            if agent.name not in query.stale_agents
        ]
        if not agents:
            return LocateFailed(NO_AGENT)
        self._rng.shuffle(agents)
        return Located(
            tuple(Candidate(agent.name, agent.nonce) for agent in agents),
        )

    async def _locate_model(
        self,
        spec: CallSpec,
        query: Locate,
    ) -> Located | LocateFailed:
        generation = spec.generation
        places = await self._locator.locate(
            Target(generation.model, generation.adapter),
            spec.organisation,
            query.deadline_in_ms,
            query.stale_agents,
        )
        if isinstance(places, Refusal):
            self._timeline.record(
                PART,
                'no_place',
                request_id=spec.request_id,
                model=generation.model,
                cause=places.code.name,
                detail=places.reason,
            )
            return LocateFailed(places)
        if places:
            best = places[0]
            self._assigned_agents[spec.request_id] = (
                generation.model,
                best.agent,
            )
            self._locator.on_sent(generation.model, best.agent)
            self._timeline.record(
                PART,
                'located',
                request_id=spec.request_id,
                model=generation.model,
                host=best.agent,
                cause=best.decision_id,
                detail=f'ready in {best.ready_in_ms} ms',
            )
        return Located(
            tuple(
                Candidate(place.agent, wait_ms=place.ready_in_ms)
                for place in places
            ),
        )
