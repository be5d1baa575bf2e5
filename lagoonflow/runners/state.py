"""State machine of one runner, free of I/O and clocks."""

import dataclasses
from collections.abc import Iterable

from lagoonflow.calls.messages import AttemptId, AttemptRequest
from lagoonflow.placement.messages import (
    Announcement,
    Bid,
    BidRequest,
    Decision,
    DecisionReply,
    PermitReply,
)
from lagoonflow.results import Refusal, Result
from lagoonflow.runners.admission import Admission
from lagoonflow.runners.bids import build_refused_bid
from lagoonflow.runners.components import RunnerComponents
from lagoonflow.runners.engine_messages import Listing, OrderAnswer
from lagoonflow.runners.messages import (
    Action,
    RefuseQueued,
    StopGeneration,
    StreamEnd,
)
from lagoonflow.runners.settings import Releases, RunnerSettings
from lagoonflow.runners.store_access import StoreAccess
from lagoonflow.runners.upgrades import (
    IsKeyValid,
    refuse_withdrawn,
)
from lagoonflow.streams.messages import Versions


class RunnerState:
    """Applies events to the state of a runner and returns the actions to do.

    The caller executes the returned actions, in order.

    :param is_key_valid: tells whether an API key, given by its id, is in
        force and belongs to an organisation.
    :ivar agent: name of the agent.
    :ivar components: queue, replicas, memory and the other components.
    """

    def __init__(
        self,
        settings: RunnerSettings,
        releases: Releases,
        is_key_valid: IsKeyValid,
    ) -> None:
        self.components = RunnerComponents(settings, releases)
        self.agent = settings.agent
        self._is_key_valid = is_key_valid
        self._admission = Admission(self.components, is_key_valid)
        self._store_access = StoreAccess(
            self.components.replicas,
            self.components.bidder,
            settings.store_share_per_s,
        )

    def on_request(
        self,
        now_ms: int,
        request: AttemptRequest,
    ) -> tuple[Action, ...]:
        """Queue an attempt, or refuse it without queueing it."""
        refusal = self._admission.admit(now_ms, request)
        if refusal is not None:
            return (RefuseQueued(request.attempt, refusal),)
        return self.components.advance(now_ms)

    def on_revoke(
        self,
        now_ms: int,
        attempt: AttemptId,
    ) -> tuple[bool, tuple[Action, ...]]:
        """Remove an attempt from the queue; false when it isn't queued."""
        entry = self.components.scheduler.queue.remove(attempt)
        return entry is not None, self.components.advance(now_ms)

    def on_cancel(
        self,
        now_ms: int,
        attempt: AttemptId,
    ) -> tuple[Action, ...]:
        """Stop an attempt, whether it is queued or running."""
        is_removed, actions = self.on_revoke(now_ms, attempt)
        if not is_removed and attempt in self.components.scheduler.running:
            return (StopGeneration(attempt), *actions)
        return actions

    def on_stream_finished(
        self,
        now_ms: int,
        end: StreamEnd,
    ) -> tuple[Action, ...]:
        """Record the end of a generation, so that another one can start."""
        self.components.scheduler.finish(now_ms, end)
        return self.components.advance(now_ms)

    def on_listing(
        self,
        now_ms: int,
        listing: Listing | None,
        requested_at_ms: int,
    ) -> tuple[Action, ...]:
        """Apply a listing of the engine.

        :param listing: ``None`` when the engine did not answer.
        :param requested_at_ms: when the listing was requested.
        """
        if listing is None:
            return self.components.on_listing_failed(now_ms)
        self.components.replicas.memory.capacity_mb = listing.capacity_mb
        return (
            *self.components.on_listing_received(now_ms),
            *self.components.reconciler.on_listing(
                now_ms, listing, requested_at_ms
            ),
            *self.components.advance(now_ms),
        )

    def on_order_answer(
        self,
        now_ms: int,
        answer: OrderAnswer,
    ) -> tuple[Action, ...]:
        """Apply the engine's answer to an order."""
        actions = tuple(self.components.reconciler.on_answer(now_ms, answer))
        return actions + self.components.advance(now_ms)

    def on_bid_request(self, now_ms: int, request: BidRequest) -> Bid:
        """Bid for a model; reserve memory when it has no replica here."""
        spec = self._admission.spec_for(now_ms, request.model, request.versions)
        versions = self.components.versions
        self.components.replicas.predictor.set_default_rates(request.load_rates)
        if request.is_withdrawal:
            self.components.bidder.withdraw(request.bid_id)
            spec = Refusal(Result.RESERVATION_LOST, 'Withdrawn.')
        if isinstance(spec, Refusal):
            agent = self.agent
            return build_refused_bid(request.bid_id, agent, versions, spec)
        return self.components.bidder.bid(now_ms, request, spec, versions)

    def on_decision(
        self,
        now_ms: int,
        decision: Decision,
    ) -> tuple[DecisionReply, tuple[Action, ...]]:
        """Execute a decision, at most once."""
        spec = self._admission.spec_for(
            now_ms, decision.model, decision.versions
        )
        refusal = (
            spec
            if isinstance(spec, Refusal)
            else self.components.bidder.execute_decision(now_ms, decision, spec)
        )
        reply = DecisionReply(
            decision.decision_id, self.components.versions, refusal
        )
        return reply, self.components.advance(now_ms)

    def on_permit(
        self,
        now_ms: int,
        reply: PermitReply,
    ) -> tuple[Action, ...]:
        """Start the load that a permit was granted for, or retry later."""
        unused = self._store_access.on_permit(now_ms, reply)
        return unused + self.components.advance(now_ms)

    def on_permit_unavailable(
        self,
        now_ms: int,
        permit_id: str,
    ) -> tuple[Action, ...]:
        """Load without a permit, or retry later, as none can be requested."""
        self._store_access.on_permit_unavailable(now_ms, permit_id)
        return self.components.advance(now_ms)

    def on_release(
        self,
        now_ms: int,
        releases: Releases,
        versions: Versions,
    ) -> tuple[Action, ...]:
        """Apply the release notes and the roster of these versions."""
        self.components.releases = releases
        self.components.versions = versions
        refused = refuse_withdrawn(
            self.components.scheduler, releases, self._is_key_valid
        )
        return tuple(refused) + self.components.advance(now_ms)

    def on_pause(self, now_ms: int) -> tuple[Action, ...]:
        """Withdraw all bids, since the process has not run for a while."""
        self.components.bidder.withdraw_all()
        return self.components.advance(now_ms)

    def on_tick(self, now_ms: int) -> tuple[Action, ...]:
        """Expire bids, drain idle replicas, and send orders that are due."""
        self.components.bidder.expire(now_ms)
        self.components.unload_idle(now_ms)
        return self.components.advance(now_ms)

    def stop(self, now_ms: int) -> tuple[Action, ...]:
        """Withdraw all bids; refuse new attempts and all queued ones."""
        self._admission.is_stopping = True
        self.components.bidder.withdraw_all()
        scheduler = self.components.scheduler
        refused = tuple(
            scheduler.refuse(
                entry, Result.SHUTTING_DOWN, 'The agent is shutting down.'
            )
            for entry in scheduler.queue
        )
        return refused + self.components.advance(now_ms)

    def announcement(
        self,
        now_ms: int,
        nonce: str,
        models: Iterable[str],
    ) -> Announcement:
        """Describe replicas and checkpoints of some models.

        No replicas are announced while the runner takes no requests.

        :param nonce: tells a restarted agent from its predecessor.
        """
        announcement = self.components.announcements.build(
            now_ms, tuple(models), self.components.versions
        )
        takes_requests = not (
            self._admission.is_stopping or self.components.is_engine_unreachable
        )
        return dataclasses.replace(
            announcement,
            agent=self.agent,
            nonce=nonce,
            replicas=announcement.replicas if takes_requests else (),
        )
