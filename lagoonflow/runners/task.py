"""The task that owns a runner's state and the client of its engine."""

import asyncio
from collections.abc import AsyncIterator, Iterable

from lagoonflow.calls.messages import AttemptId, AttemptRequest
from lagoonflow.placement.background import Background
from lagoonflow.placement.clock import Clock
from lagoonflow.placement.messages import (
    Bid,
    BidRequest,
    Decision,
    DecisionReply,
    LoadFinished,
    PermitReply,
    PermitRequest,
)
from lagoonflow.placement.peers import Peers
from lagoonflow.results import Refusal, Result
from lagoonflow.runners import messages as actions
from lagoonflow.runners.announcing import AnnouncingTask
from lagoonflow.runners.events import (
    AttemptEvent,
    EnginePort,
    Finished,
    Refused,
)
from lagoonflow.runners.generation import Events, GenerationRun
from lagoonflow.runners.settings import Releases
from lagoonflow.runners.state import RunnerState
from lagoonflow.streams.messages import Versions
from lagoonflow.wire.services import LOAD_FINISHED, PERMIT

TICK_S = 0.1
BUSY_POLL_S = 0.03
IDLE_POLL_S = 5


class RunnerTask:
    """Executes the actions of a runner's state.

    :param nonce: tells a restarted agent from its predecessor.
    """

    def __init__(
        self,
        state: RunnerState,
        engine: EnginePort,
        peers: Peers,
        clock: Clock,
        nonce: str,
    ) -> None:
        self._state = state
        self._engine = engine
        self._peers = peers
        self._clock = clock
        self._background = Background('runner')
        self._announcing = AnnouncingTask(state, peers, clock, nonce)
        self._events: dict[AttemptId, Events] = {}
        self._streams: dict[AttemptId, asyncio.Task[None]] = {}
        self._poll = asyncio.Event()

    async def run(self) -> None:
        """Poll, tick and announce until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._poll_listing())
                group.create_task(self._tick())
                group.create_task(self._announcing.run())
        finally:
            await self._background.close()

    async def submit(
        self,
        request: AttemptRequest,
    ) -> AsyncIterator[AttemptEvent]:
        """Run an attempt; the last event is its end or a refusal."""
        events: Events = asyncio.Queue()
        self._events[request.attempt] = events
        self._execute(self._state.on_request(self._clock(), request))
        is_over = False
        while not is_over:
            event = await events.get()
            is_over = isinstance(event, Finished | Refused)
            yield event

    def revoke(self, attempt: AttemptId) -> bool:
        """Take an attempt out of the queue; false when it isn't there."""
        is_revoked, todo = self._state.on_revoke(self._clock(), attempt)
        if is_revoked:
            self._end(attempt, Refusal(Result.REVOKED, 'Revoked.'))
        self._execute(todo)
        return is_revoked

    def cancel(self, attempt: AttemptId) -> None:
        """Stop an attempt, whether it waits or runs."""
        self._execute(self._state.on_cancel(self._clock(), attempt))
        if attempt not in self._streams:
            self._end(attempt, Refusal(Result.CALLER_GONE, 'Cancelled.'))

    def bid(self, request: BidRequest) -> Bid:
        """Bid for a model."""
        return self._state.on_bid_request(self._clock(), request)

    def decide(self, decision: Decision) -> DecisionReply:
        """Execute a decision, at most once."""
        reply, todo = self._state.on_decision(self._clock(), decision)
        self._execute(todo)
        return reply

    def follow(self, releases: Releases, versions: Versions) -> None:
        """Follow the release notes and the roster of these versions."""
        todo = self._state.on_release(self._clock(), releases, versions)
        self._execute(todo)
        self._announcing.announce_all()

    def pause(self) -> None:
        """Drop all bids: the process has not run for a while."""
        self._execute(self._state.on_pause(self._clock()))

    async def drain(self) -> None:
        """Hand back the queue and wait for what runs to end."""
        self._execute(self._state.stop(self._clock()))
        self._announcing.announce_all()
        streams = tuple(self._streams.values())
        await asyncio.gather(*streams, return_exceptions=True)

    def _execute(self, todo: Iterable[actions.Action]) -> None:
        for action in todo:
            match action:
                case actions.StartGeneration():
                    self._start(action)
                case actions.RefuseQueued(attempt=attempt, refusal=refusal):
                    self._end(attempt, refusal)
                case actions.StopGeneration(attempt=attempt):
                    self._stop(attempt)
                case actions.AskPermit(request=request):
                    self._background.spawn(self._ask_permit(request))
                case actions.ReportLoad():
                    self._background.spawn(self._report_load(action))
                case actions.Announce(models=models):
                    self._announcing.announce(models)
                case actions.PollListing():
                    self._poll.set()
                case _:
                    self._background.spawn(self._order(action))

    def _start(self, start: actions.StartGeneration) -> None:
        work = self._generate(start)
        task = self._background.spawn(work)
        self._streams[start.request.attempt] = task

    async def _generate(self, start: actions.StartGeneration) -> None:
        attempt = start.request.attempt
        events = self._events.pop(attempt, None) or asyncio.Queue()
        run = GenerationRun(self._engine, start, events, self._clock)
        end = actions.StreamEnd(attempt, is_whole=False)
        try:
            end = await run.run()
        except asyncio.CancelledError:
            refusal = Refusal(Result.CALLER_GONE, 'Cancelled.', not_run=False)
            events.put_nowait(Refused(refusal))
        finally:
            self._streams.pop(attempt, None)
            self._execute(self._state.on_stream_finished(self._clock(), end))

    def _stop(self, attempt: AttemptId) -> None:
        task = self._streams.get(attempt)
        if task is not None:
            task.cancel()
        self._background.spawn(self._engine.cancel(attempt))

    def _end(self, attempt: AttemptId, refusal: Refusal) -> None:
        events = self._events.pop(attempt, None)
        if events is not None:
            events.put_nowait(Refused(refusal))

    async def _order(self, order: actions.EngineOrder) -> None:
        answer = await self._engine.order(order)
        self._execute(self._state.on_order_answer(self._clock(), answer))
        self._poll.set()

    async def _ask_permit(self, request: PermitRequest) -> None:
        reply = await self._send_to_store(PERMIT, request)
        if isinstance(reply, PermitReply):
            todo = self._state.on_permit(self._clock(), reply)
        else:
            permit_id = request.permit_id
            todo = self._state.on_permit_lost(self._clock(), permit_id)
        self._execute(todo)

    async def _report_load(self, report: actions.ReportLoad) -> None:
        message = LoadFinished(
            permit_id=report.permit_id,
            agent=self._state.agent,
            took_ms=report.took_ms,
            is_loaded=report.is_loaded,
            versions=self._state.parts.versions,
        )
        await self._send_to_store(LOAD_FINISHED, message)

    async def _send_to_store(
        self,
        method: object,
        message: object,
    ) -> object:
        ranking = self._peers.store_ranking()
        if not ranking:
            return Refusal(Result.NO_RUNNER, 'The roster is empty.')
        return await self._peers.send(ranking[0], method, message)

    async def _poll_listing(self) -> None:
        while True:
            asked_at_ms = self._clock()
            listing = await self._engine.listing()
            if listing is not None:
                todo = self._state.on_listing(
                    self._clock(), listing, asked_at_ms
                )
                self._execute(todo)
            await self._wait_for_poll()

    async def _wait_for_poll(self) -> None:
        if self._state.parts.is_pending:
            self._poll.clear()
            await asyncio.sleep(BUSY_POLL_S)
            return
        try:
            await asyncio.wait_for(self._poll.wait(), IDLE_POLL_S)
        except TimeoutError:
            return
        self._poll.clear()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._execute(self._state.on_tick(self._clock()))
