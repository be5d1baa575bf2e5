"""Task that drives a runner's state and executes its actions."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable

from lagoonflow.calls.messages import AttemptId, AttemptRequest
from lagoonflow.clock import Clock
from lagoonflow.placement.background_tasks import BackgroundTasks
from lagoonflow.placement.messages import (
    Bid,
    BidRequest,
    Decision,
    DecisionReply,
    PermitReply,
    PermitRequest,
)
from lagoonflow.placement.peers import RankedPeers
from lagoonflow.results import Refusal, Result
from lagoonflow.runners import messages as actions
from lagoonflow.runners.announcement_task import AnnouncementTask
from lagoonflow.runners.engine_messages import Listing
from lagoonflow.runners.events import AttemptEvent, EnginePort
from lagoonflow.runners.polling import ListingPoller
from lagoonflow.runners.settings import Releases
from lagoonflow.runners.state import RunnerState
from lagoonflow.runners.store_client import StoreClient
from lagoonflow.runners.streams import AttemptStreams
from lagoonflow.streams.messages import Versions

TICK_S = 0.1


class RunnerTask:
    """Feeds events to a runner's state and executes the actions it returns.

    :param nonce: tells a restarted agent from its predecessor.
    :param on_action: called with each action before it is executed.
    """

    def __init__(
        self,
        state: RunnerState,
        engine: EnginePort,
        peers: RankedPeers,
        clock: Clock,
        nonce: str,
        on_action: Callable[[actions.Action], None] | None = None,
    ) -> None:
        self._on_action = on_action
        self._state = state
        self._engine = engine
        self._clock = clock
        self._background = BackgroundTasks('runner')
        self._store_client = StoreClient(state.agent, peers)
        self._announcements = AnnouncementTask(state, peers, clock, nonce)
        self._streams = AttemptStreams(
            engine, clock, self._background, self._on_end
        )
        self._poller = ListingPoller(
            engine,
            clock,
            self._on_listing,
            state.components.has_pending_changes,
        )

    async def run(self) -> None:
        """Poll the engine, tick and announce until cancelled."""
        async with self._background, asyncio.TaskGroup() as group:
            group.create_task(self._poller.run())
            group.create_task(self._announcements.run())
            while True:
                await asyncio.sleep(TICK_S)
                self._execute(self._state.on_tick(self._clock()))

    def submit(
        self,
        request: AttemptRequest,
    ) -> AsyncIterator[AttemptEvent]:
        """Queue an attempt and return its events.

        The last event is ``Finished`` or ``Refused``.
        """
        events = self._streams.open(request.attempt)
        self._execute(self._state.on_request(self._clock(), request))
        return events

    def revoke(self, attempt: AttemptId) -> bool:
        """Remove an attempt from the queue; false when it isn't queued."""
        is_revoked, due_actions = self._state.on_revoke(self._clock(), attempt)
        if is_revoked:
            refusal = Refusal(Result.REVOKED, 'Revoked.')
            self._streams.refuse(attempt, refusal)
        self._execute(due_actions)
        return is_revoked

    def cancel(self, attempt: AttemptId) -> None:
        """Stop an attempt, whether it is queued or running."""
        self._execute(self._state.on_cancel(self._clock(), attempt))
        refusal = Refusal(Result.CALLER_GONE, 'Cancelled.')
        self._streams.refuse(attempt, refusal)

    def bid(self, request: BidRequest) -> Bid:
        """Bid for a model."""
        return self._state.on_bid_request(self._clock(), request)

    def decide(self, decision: Decision) -> DecisionReply:
        """Execute a decision, at most once."""
        reply, due_actions = self._state.on_decision(self._clock(), decision)
        self._execute(due_actions)
        return reply

    def on_versions(self, releases: Releases, versions: Versions) -> None:
        """Apply the release notes and the roster of these versions."""
        due_actions = self._state.on_release(self._clock(), releases, versions)
        self._execute(due_actions)
        self._announcements.announce_all()

    def pause(self) -> None:
        """Withdraw all bids, since the process has not run for a while."""
        self._execute(self._state.on_pause(self._clock()))

    async def drain(self) -> None:
        """Refuse queued attempts and wait until the running ones have ended."""
        self._execute(self._state.stop(self._clock()))
        self._announcements.announce_all()
        await self._streams.wait_until_idle()

    def _execute(self, due_actions: Iterable[actions.Action]) -> None:
        for action in due_actions:
            self._execute_one(action)

    def _execute_one(self, action: actions.Action) -> None:
        if self._on_action is not None:
            self._on_action(action)
        match action:
            case actions.StartGeneration():
                self._streams.start(action)
            case actions.RefuseQueued(attempt=attempt, refusal=refusal):
                self._streams.refuse(attempt, refusal)
            case actions.StopGeneration(attempt=attempt):
                self._streams.stop(attempt)
            case actions.SendPermitRequest(request=request):
                self._background.spawn(self._request_permit(request))
            case actions.SendLoadReport():
                versions = self._state.components.versions
                self._background.spawn(
                    self._store_client.report_load(action, versions)
                )
            case actions.SendAnnouncement(models=models):
                self._announcements.announce(models)
            case actions.PollListing():
                self._poller.poll_soon()
            case _:
                self._background.spawn(self._send_order(action))

    def _on_end(self, end: actions.StreamEnd) -> None:
        due_actions = self._state.on_stream_finished(self._clock(), end)
        self._execute(due_actions)
        if not end.is_complete:
            self._poller.poll_soon()

    def _on_listing(
        self,
        listing: Listing | None,
        requested_at_ms: int,
    ) -> None:
        now_ms = self._clock()
        self._execute(self._state.on_listing(now_ms, listing, requested_at_ms))

    async def _send_order(self, order: actions.EngineOrder) -> None:
        answer = await self._engine.order(order)
        self._execute(self._state.on_order_answer(self._clock(), answer))
        self._poller.poll_soon()

    async def _request_permit(self, request: PermitRequest) -> None:
        reply = await self._store_client.request_permit(request)
        now_ms = self._clock()
        if isinstance(reply, PermitReply):
            self._execute(self._state.on_permit(now_ms, reply))
        else:
            permit_id = request.permit_id
            self._execute(self._state.on_permit_unavailable(now_ms, permit_id))
