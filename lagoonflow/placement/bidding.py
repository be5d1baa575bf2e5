"""Rounds of bids of a home: at most one at a time for each model."""

from collections.abc import Iterator

from lagoonflow.placement.actions import HomeAction
from lagoonflow.placement.context import HomeContext
from lagoonflow.placement.decisions import Decisions
from lagoonflow.placement.messages import Bid, DecisionReply
from lagoonflow.placement.round_lifecycle import RoundLifecycle
from lagoonflow.placement.rounds import Round, RoundState, Waiter


class Bidding:
    """Asks for bids; concurrent requests for a model share a round."""

    def __init__(self, context: HomeContext) -> None:
        self._context = context
        self._lifecycle = RoundLifecycle(context)
        self._decisions = Decisions(context)

    def join(
        self,
        now_ms: int,
        model: str,
        waiter: Waiter,
    ) -> Iterator[HomeAction]:
        """Let a request wait for the round of its model."""
        current = self._context.rounds.get(model)
        if current is not None:
            current.worth_ms = 0
            current.waiters.append(waiter)
            return
        current = Round(self._context.new_id(), model, now_ms)
        current.waiters.append(waiter)
        yield from self._lifecycle.open(now_ms, current)

    def spill(
        self,
        now_ms: int,
        model: str,
        worth_ms: int,
    ) -> Iterator[HomeAction]:
        """Look for a further replica that shortens a wait.

        :param worth_ms: predicted wait without it.
        """
        is_busy = model in self._context.rounds
        if is_busy or not self._decisions.has_room(now_ms, model):
            return
        current = Round(self._context.new_id(), model, now_ms)
        current.worth_ms = max(1, worth_ms)
        yield from self._lifecycle.open(now_ms, current)

    def on_bid(self, now_ms: int, bid: Bid) -> Iterator[HomeAction]:
        """Take a bid; late ones are withdrawn."""
        current = self._find(bid.bid_id)
        if current is None or current.state is not RoundState.BIDDING:
            if bid.reserved_for_ms:
                yield self._context.withdraw(bid.bid_id, '', bid.agent)
            return
        current.take(bid)
        self._context.table.apply_bid(now_ms, current.model, bid)
        self._context.home_roles.mark(now_ms, bid.agent, is_reachable=True)
        yield from self._close_if_due(now_ms, current)

    def on_bid_failed(
        self,
        now_ms: int,
        bid_id: str,
        agent: str,
    ) -> Iterator[HomeAction]:
        """Note that an agent can't be reached."""
        current = self._find(bid_id)
        if current is not None:
            current.miss(agent)
            self._context.table.remove(current.model, agent)
            yield from self._close_if_due(now_ms, current)

    def on_decision_reply(
        self,
        now_ms: int,
        reply: DecisionReply,
    ) -> Iterator[HomeAction]:
        """Finish the round, or decide for the next bid."""
        current = self._decisions.find(reply.decision_id)
        if current is None:
            return
        if self._decisions.on_reply(now_ms, current, reply):
            yield from self._finish(now_ms, current)
        else:
            yield from self._decide(now_ms, current)

    def on_decision_failed(
        self,
        now_ms: int,
        decision_id: str,
    ) -> Iterator[HomeAction]:
        """Send the decision again, then decide for the next bid."""
        current = self._decisions.find(decision_id)
        if current is None:
            return
        yield from self._decisions.on_failed(now_ms, current)
        if current.state is RoundState.BIDDING:
            yield from self._decide(now_ms, current)

    def on_tick(self, now_ms: int) -> Iterator[HomeAction]:
        """Close rounds in time and resume those that rest."""
        for current in tuple(self._context.rounds.values()):
            if current.state is RoundState.BIDDING:
                yield from self._close_if_due(now_ms, current)
            elif current.is_rested(now_ms):
                yield from self._lifecycle.resume(now_ms, current)

    def drop_all(self) -> list[Waiter]:
        """Drop all rounds; returns who waited for them."""
        rounds = tuple(self._context.rounds.values())
        self._context.rounds.clear()
        return [waiter for current in rounds for waiter in current.waiters]

    def _find(self, bid_id: str) -> Round | None:
        for current in self._context.rounds.values():
            if current.bid_id == bid_id:
                return current
        return None

    def _finish(self, now_ms: int, current: Round) -> Iterator[HomeAction]:
        places = self._context.table.places(now_ms, current.model)
        for waiter in current.waiters:
            yield self._context.reply(waiter, places)
        yield from self._lifecycle.end(current)

    def _close_if_due(
        self,
        now_ms: int,
        current: Round,
    ) -> Iterator[HomeAction]:
        age_ms = now_ms - current.started_at_ms
        settings = self._context.settings
        is_early = age_ms >= settings.early_close_ms and current.is_usable()
        is_late = age_ms >= settings.round_timeout_ms
        is_due = current.is_complete() or is_early or is_late
        if current.state is not RoundState.BIDDING or not is_due:
            return
        if not current.worth_ms:
            yield from self._serve_from_held(now_ms, current)
        if current.worth_ms or current.waiters:
            yield from self._decide(now_ms, current)
        else:
            yield from self._lifecycle.end(current)

    def _serve_from_held(
        self,
        now_ms: int,
        current: Round,
    ) -> Iterator[HomeAction]:
        """Answer those who can use a replica that is already there."""
        has_room = self._decisions.has_room(now_ms, current.model)
        left: list[Waiter] = []
        for waiter in current.waiters:
            stale = waiter.request.stale_agents if has_room else ()
            places = self._context.table.places(now_ms, current.model, stale)
            if places:
                yield self._context.reply(waiter, places)
            else:
                left.append(waiter)
        current.waiters = left

    def _decide(self, now_ms: int, current: Round) -> Iterator[HomeAction]:
        sending = self._decisions.decide(now_ms, current)
        if sending:
            yield sending
        elif current.worth_ms:
            yield from self._lifecycle.end(current)
        else:
            yield from self._lifecycle.widen_or_rest(now_ms, current)
