"""Carries out the actions of the quota logic on the event loop."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from lagoonflow.clock import MS_PER_S, Clock, boottime_ms
from lagoonflow.quotas.actions import (
    Action,
    Admitted,
    Refused,
    SendBorrowRequest,
    SendHandOver,
    SendReturn,
    SendRosterAck,
)
from lagoonflow.quotas.messages import (
    BorrowReply,
    BorrowRequest,
    HandOver,
    Returned,
    RosterAck,
)
from lagoonflow.quotas.state import QuotaShares
from lagoonflow.results import Refusal
from lagoonflow.wire.methods import (
    ACK_ROSTER,
    BORROW,
    HAND_OVER,
    RETURN,
    Method,
)

Send = Callable[[str, Method, Any], Awaitable[Any]]

_IDLE_INTERVAL_MS = 1000


class QuotaTask:
    """Charges requests to the token shares of one router.

    :param shares: the quota logic; code that calls it directly has to pass the
        actions that it returns to ``perform``.
    :param send: sends a message to a member of the roster and returns its
        reply, or a refusal if the member can't be reached.
    :param clock_ms: clock in ms that also counts the time that the machine
        is suspended.
    """

    def __init__(
        self,
        shares: QuotaShares,
        send: Send,
        clock_ms: Clock = boottime_ms,
    ) -> None:
        """Create the task; ``run`` has to be started as well."""
        self.shares = shares
        self.clock_ms = clock_ms
        self._send = send
        self._waiting: dict[str, asyncio.Future[Admitted | Refusal]] = {}
        self._sending: set[asyncio.Future[Any]] = set()
        self._changed = asyncio.Event()

    async def take(
        self,
        request_id: str,
        organisation: str,
        cost_tokens: float,
        deadline_in_ms: float,
    ) -> Admitted | Refusal:
        """Charge a request, waiting for tokens until its deadline.

        :param request_id: unique among the waiting requests.
        :param cost_tokens: the most tokens that it can use.
        :param deadline_in_ms: time within which it has to be admitted.
        :returns: the charge, or why the request was refused.
        """
        now_ms = self.clock_ms()
        future: asyncio.Future[Admitted | Refusal] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[request_id] = future
        self.perform(
            self.shares.take(
                now_ms,
                request_id,
                organisation,
                cost_tokens,
                now_ms + deadline_in_ms,
            )
        )
        try:
            return await future
        except asyncio.CancelledError:
            self._abandon(request_id, future)
            raise
        finally:
            self._waiting.pop(request_id, None)

    def settle(self, charge_id: int, used_tokens: float) -> None:
        """Refund the tokens that an admitted request has not used."""
        now_ms = self.clock_ms()
        self.perform(self.shares.settle(now_ms, charge_id, used_tokens))

    def on_borrow_request(self, request: BorrowRequest) -> BorrowReply:
        """Answer the borrow request of a peer."""
        return self.shares.on_borrow_request(self.clock_ms(), request)

    def on_hand_over(self, offer: HandOver) -> None:
        """Borrow the tokens that a peer which shuts down has offered."""
        self.perform(self.shares.on_hand_over(self.clock_ms(), offer))

    def on_returned(self, returned: Returned) -> None:
        """Accept tokens that a peer borrowed but did not use."""
        self.perform(self.shares.on_returned(self.clock_ms(), returned))

    def on_ack(self, ack: RosterAck) -> None:
        """Record the roster version that a peer computes its share by."""
        self.perform(self.shares.on_ack(self.clock_ms(), ack))

    async def shut_down(self) -> None:
        """Offer the tokens to peers.

        Returns when the router may leave the roster.
        """
        self.perform(self.shares.shut_down(self.clock_ms()))
        await asyncio.gather(*self._sending, return_exceptions=True)
        while self.shares.earliest_leave_ms(self.clock_ms()) > self.clock_ms():
            left_ms = (
                self.shares.earliest_leave_ms(self.clock_ms()) - self.clock_ms()
            )
            await asyncio.sleep(left_ms / MS_PER_S)

    async def run(self) -> None:
        """Poll the quota logic whenever something is due, until cancelled."""
        while True:
            self.perform(self.shares.poll(self.clock_ms()))
            self._changed.clear()
            await self._sleep()

    def perform(self, actions: Iterable[Action]) -> None:
        """Carry out actions of the quota logic."""
        for action in actions:
            match action:
                case Admitted(request_id=request_id):
                    self._decide(request_id, action)
                case Refused(request_id=request_id, refusal=refusal):
                    self._decide(request_id, refusal)
                case SendBorrowRequest():
                    self._start(self._borrow(action))
                case SendRosterAck():
                    self._start(self._acknowledge(action))
                case SendHandOver(peer=peer, hand_over=hand_over):
                    self._start(self._send(peer, HAND_OVER, hand_over))
                case SendReturn(peer=peer, returned=returned):
                    self._start(self._send(peer, RETURN, returned))
        self._changed.set()

    def _decide(self, request_id: str, decision: Admitted | Refusal) -> None:
        """Pass a decision to its request; refund a cancelled request."""
        future = self._waiting.get(request_id)
        if future is not None and not future.done():
            future.set_result(decision)
        elif isinstance(decision, Admitted):
            self.settle(decision.charge_id, 0)

    def _abandon(
        self, request_id: str, future: asyncio.Future[Admitted | Refusal]
    ) -> None:
        """Remove a cancelled request from the queue, or refund its charge."""
        if not future.done() or future.cancelled():
            self.perform(self.shares.cancel(self.clock_ms(), request_id))
            return
        decision = future.result()
        if isinstance(decision, Admitted):
            self.settle(decision.charge_id, 0)

    def _start(self, awaitable: Awaitable[Any]) -> None:
        sending = asyncio.ensure_future(awaitable)
        self._sending.add(sending)
        sending.add_done_callback(self._sending.discard)

    async def _borrow(self, action: SendBorrowRequest) -> None:
        reply = await self._send(action.peer, BORROW, action.request)
        if isinstance(reply, Refusal):
            reply = BorrowReply(
                action.request.borrow_id, 0, action.request.versions
            )
        self.perform(
            self.shares.on_borrow_reply(
                self.clock_ms(), action.request.organisation, reply
            )
        )

    async def _acknowledge(self, action: SendRosterAck) -> None:
        reply = await self._send(action.peer, ACK_ROSTER, action.ack)
        if not isinstance(reply, Refusal):
            self.shares.on_ack_delivered(action.peer, action.ack)

    async def _sleep(self) -> None:
        now_ms = self.clock_ms()
        wake_ms = self.shares.next_wake_ms(now_ms)
        left_ms = _IDLE_INTERVAL_MS if wake_ms is None else wake_ms - now_ms
        timeout_s = min(max(left_ms, 0), _IDLE_INTERVAL_MS) / MS_PER_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
