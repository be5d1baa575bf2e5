"""Decision logic of one runner, free of I/O and clocks."""

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
from lagoonflow.runners.bids import refused_bid
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
    IsKeyLive,
    refuse_withdrawn,
)
from lagoonflow.streams.messages import Versions


class RunnerState:
    """Takes messages; each call returns the actions that follow.

    :ivar agent: name of the agent.
    :ivar parts: the parts that share the state.
    """

    def __init__(
        self,
        settings: RunnerSettings,
        releases: Releases,
        is_key_live: IsKeyLive,
    ) -> None:
        self.parts = RunnerComponents(settings, releases)
        self.agent = settings.agent
        self._is_key_live = is_key_live
        self._admission = Admission(self.parts, is_key_live)
        self._store = StoreAccess(
            self.parts.replicas,
            self.parts.bidder,
            settings.store_share_per_s,
        )

    def on_request(
        self,
        now_ms: int,
        request: AttemptRequest,
    ) -> tuple[Action, ...]:
        """Queue an attempt, or refuse it at once."""
        refusal = self._admission.admit(now_ms, request)
        if refusal is not None:
            return (RefuseQueued(request.attempt, refusal),)
        return self.parts.settle(now_ms)

    def on_revoke(
        self,
        now_ms: int,
        attempt: AttemptId,
    ) -> tuple[bool, tuple[Action, ...]]:
        """Take an attempt out of the queue; false when it isn't there."""
        entry = self.parts.scheduler.queue.remove(attempt)
        return entry is not None, self.parts.settle(now_ms)

    def on_cancel(
        self,
        now_ms: int,
        attempt: AttemptId,
    ) -> tuple[Action, ...]:
        """Stop an attempt, whether it waits or runs."""
        is_removed, actions = self.on_revoke(now_ms, attempt)
        if not is_removed and attempt in self.parts.scheduler.running:
            return (StopGeneration(attempt), *actions)
        return actions

    def on_stream_finished(
        self,
        now_ms: int,
        end: StreamEnd,
    ) -> tuple[Action, ...]:
        """Free the place of a generation that has ended."""
        self.parts.scheduler.finish(now_ms, end)
        return self.parts.settle(now_ms)

    def on_listing(
        self,
        now_ms: int,
        listing: Listing | None,
        asked_at_ms: int,
    ) -> tuple[Action, ...]:
        """Apply the engine's listing that was asked for at a time.

        :param listing: ``None`` when the engine did not answer.
        """
        if listing is None:
            return self.parts.on_silence(now_ms)
        self.parts.replicas.ledger.capacity_mb = listing.capacity_mb
        return (
            *self.parts.on_listing(now_ms),
            *self.parts.reconciler.on_listing(now_ms, listing, asked_at_ms),
            *self.parts.settle(now_ms),
        )

    def on_order_answer(
        self,
        now_ms: int,
        answer: OrderAnswer,
    ) -> tuple[Action, ...]:
        """Apply the engine's answer to an order."""
        actions = tuple(self.parts.reconciler.on_answer(now_ms, answer))
        return actions + self.parts.settle(now_ms)

    def on_bid_request(self, now_ms: int, request: BidRequest) -> Bid:
        """Bid for a model; reserves memory when it isn't here."""
        spec = self._admission.spec_for(now_ms, request.model, request.versions)
        versions = self.parts.versions
        self.parts.replicas.predictor.adopt(request.load_rates)
        if request.is_withdrawal:
            self.parts.bidder.withdraw(request.bid_id)
            spec = Refusal(Result.RESERVATION_LOST, 'Withdrawn.')
        if isinstance(spec, Refusal):
            agent = self.agent
            return refused_bid(request.bid_id, agent, versions, spec)
        return self.parts.bidder.bid(now_ms, request, spec, versions)

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
            else self.parts.bidder.accept(now_ms, decision, spec)
        )
        reply = DecisionReply(
            decision.decision_id, self.parts.versions, refusal
        )
        return reply, self.parts.settle(now_ms)

    def on_permit(
        self,
        now_ms: int,
        reply: PermitReply,
    ) -> tuple[Action, ...]:
        """Start the load that has its permit."""
        unused = self._store.on_permit(now_ms, reply)
        return unused + self.parts.settle(now_ms)

    def on_permit_lost(
        self,
        now_ms: int,
        permit_id: str,
    ) -> tuple[Action, ...]:
        """Fall back: the home of the weight store can't be reached."""
        self._store.on_lost(now_ms, permit_id)
        return self.parts.settle(now_ms)

    def on_release(
        self,
        now_ms: int,
        releases: Releases,
        versions: Versions,
    ) -> tuple[Action, ...]:
        """Follow the release notes and the roster of these versions."""
        self.parts.releases = releases
        self.parts.versions = versions
        refused = refuse_withdrawn(
            self.parts.scheduler, releases, self._is_key_live
        )
        return tuple(refused) + self.parts.settle(now_ms)

    def on_pause(self, now_ms: int) -> tuple[Action, ...]:
        """Drop all bids: the process has not run for a while."""
        self.parts.bidder.drop_all()
        return self.parts.settle(now_ms)

    def on_tick(self, now_ms: int) -> tuple[Action, ...]:
        """Expire bids, unload idle replicas, and retry."""
        self.parts.bidder.expire(now_ms)
        self.parts.unload_idle(now_ms)
        return self.parts.settle(now_ms)

    def stop(self, now_ms: int) -> tuple[Action, ...]:
        """Take nothing new and hand back what waits."""
        self._admission.is_stopping = True
        self.parts.bidder.drop_all()
        scheduler = self.parts.scheduler
        refused = tuple(
            scheduler.refuse(
                entry, Result.SHUTTING_DOWN, 'The agent is leaving.'
            )
            for entry in scheduler.queue
        )
        return refused + self.parts.settle(now_ms)

    def announcement(
        self,
        now_ms: int,
        nonce: str,
        models: Iterable[str],
    ) -> Announcement:
        """Describe what the runner holds of some models."""
        announcement = self.parts.announcements.announcement(
            now_ms, tuple(models), self.parts.versions
        )
        takes_requests = not (
            self._admission.is_stopping or self.parts.is_engine_lost
        )
        return dataclasses.replace(
            announcement,
            agent=self.agent,
            nonce=nonce,
            replicas=announcement.replicas if takes_requests else (),
        )
