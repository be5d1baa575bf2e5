"""The task that owns the state of homes and of the store's permits."""

import asyncio
import itertools
from collections.abc import Iterable

from lagoonflow.placement.actions import (
    AskBid,
    HomeAction,
    Probe,
    ReplyLocate,
    SendDecision,
)
from lagoonflow.placement.background import Background
from lagoonflow.placement.clock import Clock
from lagoonflow.placement.home import HomeState
from lagoonflow.placement.messages import (
    Ack,
    Announcement,
    Bid,
    Decision,
    DecisionReply,
    LoadFinished,
    LocateReply,
    LocateRequest,
    PermitReply,
    PermitRequest,
)
from lagoonflow.placement.peers import Peers
from lagoonflow.placement.permits import StorePermits
from lagoonflow.placement.settings import Models
from lagoonflow.results import Refusal, Result
from lagoonflow.streams.messages import Versions
from lagoonflow.wire.services import ANNOUNCE, BID, DECIDE

TICK_S = 0.01
PERMIT_HOLD_S = 1


class HomeTask:
    """Executes the actions of a home and answers its requests."""

    def __init__(
        self,
        state: HomeState,
        permits: StorePermits,
        peers: Peers,
        clock: Clock,
    ) -> None:
        self._state = state
        self._permits = permits
        self._peers = peers
        self._clock = clock
        self._background = Background('home')
        self._numbers = itertools.count()
        self._locates: dict[int, asyncio.Future[LocateReply]] = {}
        self._permit_waits: dict[str, asyncio.Future[PermitReply]] = {}

    async def run(self) -> None:
        """Tick until cancelled."""
        try:
            while True:
                await asyncio.sleep(TICK_S)
                self._execute(self._state.on_tick(self._clock()))
                self._grant()
        finally:
            await self._background.close()

    async def locate(self, request: LocateRequest) -> LocateReply:
        """Answer a router that looks for a model."""
        number = next(self._numbers)
        waiting = asyncio.get_running_loop().create_future()
        self._locates[number] = waiting
        self._execute(self._state.on_locate(self._clock(), number, request))
        try:
            return await waiting
        finally:
            self._locates.pop(number, None)

    async def announce(self, announcement: Announcement) -> Ack:
        """Take an announcement; one without models is a probe."""
        versions = self._state.versions
        if not self._state.is_caught_up:
            refusal = Refusal(Result.NOT_HOME, 'Not caught up yet.')
            return Ack(versions, refusal)
        if announcement.models:
            now_ms = self._clock()
            self._execute(self._state.on_announcement(now_ms, announcement))
        return Ack(versions)

    async def permit(self, request: PermitRequest) -> PermitReply:
        """Grant a load, or say after a short time when to ask again."""
        permit_id = request.permit_id
        waiting = asyncio.get_running_loop().create_future()
        self._permit_waits[permit_id] = waiting
        self._permits.ask(self._clock(), request)
        self._grant()
        try:
            return await asyncio.wait_for(waiting, PERMIT_HOLD_S)
        except TimeoutError:
            return self._permits.refusal(self._clock(), permit_id)
        finally:
            if self._permit_waits.get(permit_id) is waiting:
                self._permit_waits.pop(permit_id)

    async def load_finished(self, message: LoadFinished) -> Ack:
        """Note that a permitted load has ended."""
        self._permits.on_finished(self._clock(), message)
        self._grant()
        return Ack(self._state.versions)

    def follow(self, models: Models, versions: Versions) -> None:
        """Follow the release notes and the roster of these versions."""
        self._state.on_versions(models, versions)
        self._permits.versions = versions

    def pause(self) -> None:
        """Drop all authority: the process has not run for a while."""
        self._execute(self._state.on_pause(self._clock()))
        self._permits.reset()

    def caught_up(self) -> None:
        """Act as home again: the roster is current."""
        self._state.on_caught_up(self._clock())

    def _grant(self) -> None:
        for reply in self._permits.grants(self._clock()):
            waiting = self._permit_waits.get(reply.permit_id)
            if waiting is not None and not waiting.done():
                waiting.set_result(reply)

    def _execute(self, todo: Iterable[HomeAction]) -> None:
        for action in todo:
            match action:
                case ReplyLocate(waiter=number, reply=reply):
                    self._reply(number, reply)
                case AskBid():
                    self._background.spawn(self._ask_bid(action))
                case SendDecision(decision=decision):
                    self._background.spawn(self._send_decision(decision))
                case Probe(peer=peer):
                    self._background.spawn(self._probe(peer))

    def _reply(self, number: int, reply: LocateReply) -> None:
        waiting = self._locates.get(number)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply)

    async def _ask_bid(self, action: AskBid) -> None:
        request = action.request
        reply = await self._peers.send(action.agent, BID, request)
        if request.is_withdrawal:
            return
        now_ms = self._clock()
        if isinstance(reply, Bid):
            todo = self._state.on_bid(now_ms, reply)
        else:
            todo = self._state.on_bid_failed(
                now_ms, request.bid_id, action.agent
            )
        self._execute(todo)

    async def _send_decision(self, decision: Decision) -> None:
        reply = await self._peers.send(decision.agent, DECIDE, decision)
        now_ms = self._clock()
        if isinstance(reply, DecisionReply):
            todo = self._state.on_decision_reply(now_ms, reply)
        else:
            todo = self._state.on_decision_failed(now_ms, decision.decision_id)
        self._execute(todo)

    async def _probe(self, peer: str) -> None:
        probe = Announcement('', '', (), (), (), self._state.versions)
        reply = await self._peers.send(peer, ANNOUNCE, probe)
        is_reachable = isinstance(reply, Ack) and reply.refusal is None
        todo = self._state.on_probe(
            self._clock(), peer, is_reachable=is_reachable
        )
        self._execute(todo)
