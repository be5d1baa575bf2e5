"""The asyncio task of the homes of models and of the weight store."""

import asyncio
import contextlib
import itertools
from collections.abc import Callable, Iterable

from lagoonflow.clock import Clock
from lagoonflow.placement import messages
from lagoonflow.placement.actions import (
    HomeAction,
    Probe,
    ReplyToLocate,
    SendBidRequest,
    SendDecision,
)
from lagoonflow.placement.background_tasks import BackgroundTasks
from lagoonflow.placement.home import HomeState
from lagoonflow.placement.peers import RankedPeers
from lagoonflow.placement.pending_replies import PendingReplies
from lagoonflow.placement.permits import StorePermits
from lagoonflow.placement.settings import Models
from lagoonflow.results import Refusal, Result
from lagoonflow.streams.messages import Versions
from lagoonflow.time_limits import TimeLimit
from lagoonflow.wire.methods import ANNOUNCE, BID, DECIDE

# Time between ticks while a request waits for its reply.
TICK_S = 0.01
# Time between ticks while no request waits.
IDLE_TICK_S = 0.5
# How long a permit request waits for a grant before it has to be repeated.
PERMIT_LONG_POLL_S = 1


class HomeTask:
    """Answers requests to the homes and executes the resulting actions."""

    def __init__(
        self,
        state: HomeState,
        permits: StorePermits,
        peers: RankedPeers,
        clock: Clock,
        observe: Callable[[HomeAction], None] | None = None,
    ) -> None:
        """Create the task; :meth:`run` has to be started separately.

        :param state: state of this agent as home of models.
        :param permits: permits for loads from the weight store.
        :param observe: called with each action before it is executed.
        """
        self._observe = observe
        self._state = state
        self._permits = permits
        self._peers = peers
        self._clock = clock
        self._background = BackgroundTasks('home')
        self._request_numbers = itertools.count()
        self._request_arrived = asyncio.Event()
        self._pending_locates: PendingReplies[int, messages.LocateReply] = (
            PendingReplies()
        )
        self._pending_permits: PendingReplies[str, messages.PermitReply] = (
            PendingReplies()
        )

    async def run(self) -> None:
        """Close due rounds and grant due permits until cancelled."""
        async with self._background:
            while True:
                await self._sleep()
                self._execute(self._state.on_tick(self._clock()))
                self._send_grants()

    async def locate(
        self, request: messages.LocateRequest
    ) -> messages.LocateReply:
        """Answer a router that asks which agents can serve a request."""
        number = next(self._request_numbers)
        self._request_arrived.set()
        with self._pending_locates.expect(number) as reply:
            now_ms = self._clock()
            self._execute(self._state.on_locate(now_ms, number, request))
            return await reply

    async def announce(
        self, announcement: messages.Announcement
    ) -> messages.Ack:
        """Apply an announcement; one without models is only a probe.

        The agent refuses while it hasn't caught up with the roster, so that
        the sender doesn't take it for a home.
        """
        versions = self._state.context.versions
        if not self._state.is_caught_up:
            refusal = Refusal(
                Result.NOT_HOME,
                'The agent has not caught up with the roster yet.',
            )
            return messages.Ack(versions, refusal)
        if announcement.models:
            now_ms = self._clock()
            self._execute(self._state.on_announcement(now_ms, announcement))
        return messages.Ack(versions)

    async def permit(
        self, request: messages.PermitRequest
    ) -> messages.PermitReply:
        """Grant a load, or tell after a short wait when to ask again."""
        permit_id = request.permit_id
        self._request_arrived.set()
        with self._pending_permits.expect(permit_id) as reply:
            self._permits.enqueue(self._clock(), request)
            self._send_grants()
            with contextlib.suppress(TimeoutError):
                async with TimeLimit(PERMIT_LONG_POLL_S):
                    return await reply
        return self._permits.retry_reply(self._clock(), permit_id)

    async def load_finished(
        self, message: messages.LoadFinished
    ) -> messages.Ack:
        """Record that a permitted load has ended."""
        self._permits.on_finished(self._clock(), message)
        self._send_grants()
        return messages.Ack(self._state.context.versions)

    def on_versions(self, models: Models, versions: Versions) -> None:
        """Apply the release notes and the roster of these stream versions."""
        self._state.on_versions(models, versions)
        self._permits.versions = versions

    def pause(self) -> None:
        """Stop acting as home, because the process was paused for a while."""
        self._execute(self._state.on_pause(self._clock()))
        self._permits.reset()

    def caught_up(self) -> None:
        """Act as home again, as the roster is current after a pause."""
        self._state.is_caught_up = True

    async def _sleep(self) -> None:
        """Sleep until the next tick or, while idle, until a new request."""
        if self._pending_locates.is_waiting or self._pending_permits.is_waiting:
            await asyncio.sleep(TICK_S)
            return
        self._request_arrived.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IDLE_TICK_S):
                await self._request_arrived.wait()

    def _send_grants(self) -> None:
        for reply in self._permits.grant_due(self._clock()):
            self._pending_permits.reply(reply.permit_id, reply)

    def _execute(self, actions: Iterable[HomeAction]) -> None:
        for action in actions:
            if self._observe is not None:
                self._observe(action)
            match action:
                case ReplyToLocate(request_number=number, reply=reply):
                    self._pending_locates.reply(number, reply)
                case SendBidRequest():
                    self._background.spawn(self._send_bid_request(action))
                case SendDecision(decision=decision):
                    self._background.spawn(self._send_decision(decision))
                case Probe(peer=peer):
                    self._background.spawn(self._probe(peer))

    async def _send_bid_request(self, action: SendBidRequest) -> None:
        request = action.request
        reply = await self._peers.send(action.agent, BID, request)
        if request.is_withdrawal:
            return
        now_ms = self._clock()
        if isinstance(reply, messages.Bid):
            actions = self._state.on_bid(now_ms, reply)
        else:
            actions = self._state.on_bid_failed(
                now_ms, request.bid_id, action.agent
            )
        self._execute(actions)

    async def _send_decision(self, decision: messages.Decision) -> None:
        reply = await self._peers.send(decision.agent, DECIDE, decision)
        now_ms = self._clock()
        if isinstance(reply, messages.DecisionReply):
            actions = self._state.on_decision_reply(now_ms, reply)
        else:
            actions = self._state.on_decision_failed(
                now_ms, decision.decision_id
            )
        self._execute(actions)

    async def _probe(self, peer: str) -> None:
        probe = messages.Announcement(
            '', '', (), (), (), self._state.context.versions
        )
        reply = await self._peers.send(peer, ANNOUNCE, probe)
        is_reachable = isinstance(reply, messages.Ack) and reply.refusal is None
        actions = self._state.on_probe(
            self._clock(), peer, is_reachable=is_reachable
        )
        self._execute(actions)
