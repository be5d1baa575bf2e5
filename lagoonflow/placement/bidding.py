"""Rounds of bids of a home: at most one at a time for each model."""

from collections.abc import Iterator

from lagoonflow.placement.actions import HomeAction
from lagoonflow.placement.context import HomeContext
from lagoonflow.placement.decisions import Decisions
from lagoonflow.placement.messages import Bid, DecisionReply
from lagoonflow.placement.round_lifecycle import RoundLifecycle
from lagoonflow.placement.rounds import BidRound, RoundState, Waiter


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
        bid_round = self._context.rounds.get(model)
        if bid_round is not None:
            bid_round.wait_to_beat_ms = 0
            bid_round.waiters.append(waiter)
            return
        bid_round = BidRound(self._context.new_id(), model, now_ms)
        bid_round.waiters.append(waiter)
        yield from self._lifecycle.open(now_ms, bid_round)

    def scale_out(
        self,
        now_ms: int,
        model: str,
        wait_to_beat_ms: int,
    ) -> Iterator[HomeAction]:
        """Look for a further replica that shortens a wait.

        :param worth_ms: predicted wait without it.
        """
        is_busy = model in self._context.rounds
        if is_busy or not self._decisions.may_add_replica(now_ms, model):
            return
        bid_round = BidRound(self._context.new_id(), model, now_ms)
        bid_round.wait_to_beat_ms = max(1, wait_to_beat_ms)
        yield from self._lifecycle.open(now_ms, bid_round)

    def on_bid(self, now_ms: int, bid: Bid) -> Iterator[HomeAction]:
        """Take a bid; late ones are withdrawn."""
        bid_round = self._find_round(bid.bid_id)
        if bid_round is None or bid_round.state is not RoundState.BIDDING:
            if bid.reserved_for_ms:
                yield self._context.bid_withdrawal(bid.bid_id, '', bid.agent)
            return
        bid_round.add_bid(bid)
        self._context.table.apply_bid(now_ms, bid_round.model, bid)
        self._context.home_roles.record_reachability(
            now_ms, bid.agent, is_reachable=True
        )
        yield from self._close_if_due(now_ms, bid_round)

    def on_bid_failed(
        self,
        now_ms: int,
        bid_id: str,
        agent: str,
    ) -> Iterator[HomeAction]:
        """Note that an agent can't be reached."""
        bid_round = self._find_round(bid_id)
        if bid_round is not None:
            bid_round.mark_unreachable(agent)
            self._context.table.remove(bid_round.model, agent)
            yield from self._close_if_due(now_ms, bid_round)

    def on_decision_reply(
        self,
        now_ms: int,
        reply: DecisionReply,
    ) -> Iterator[HomeAction]:
        """Finish the round, or decide for the next bid."""
        bid_round = self._decisions.find_round(reply.decision_id)
        if bid_round is None:
            return
        if self._decisions.on_reply(now_ms, bid_round, reply):
            yield from self._finish(now_ms, bid_round)
        else:
            yield from self._decide(now_ms, bid_round)

    def on_decision_failed(
        self,
        now_ms: int,
        decision_id: str,
    ) -> Iterator[HomeAction]:
        """Send the decision again, then decide for the next bid."""
        bid_round = self._decisions.find_round(decision_id)
        if bid_round is None:
            return
        yield from self._decisions.on_failed(now_ms, bid_round)
        if bid_round.state is RoundState.BIDDING:
            yield from self._decide(now_ms, bid_round)

    def on_tick(self, now_ms: int) -> Iterator[HomeAction]:
        """Close rounds in time and resume those that rest."""
        for bid_round in tuple(self._context.rounds.values()):
            if bid_round.state is RoundState.BIDDING:
                yield from self._close_if_due(now_ms, bid_round)
            elif bid_round.is_retry_due(now_ms):
                yield from self._lifecycle.retry(now_ms, bid_round)

    def drop_all(self) -> list[Waiter]:
        """Drop all rounds; returns who waited for them."""
        rounds = tuple(self._context.rounds.values())
        self._context.rounds.clear()
        return [waiter for bid_round in rounds for waiter in bid_round.waiters]

    def _find_round(self, bid_id: str) -> BidRound | None:
        for bid_round in self._context.rounds.values():
            if bid_round.bid_id == bid_id:
                return bid_round
        return None

    def _finish(self, now_ms: int, bid_round: BidRound) -> Iterator[HomeAction]:
        places = self._context.table.places(now_ms, bid_round.model)
        for waiter in bid_round.waiters:
            yield self._context.reply(waiter, places)
        yield from self._lifecycle.end(bid_round)

    def _close_if_due(
        self,
        now_ms: int,
        bid_round: BidRound,
    ) -> Iterator[HomeAction]:
        age_ms = now_ms - bid_round.started_at_ms
        settings = self._context.settings
        is_early = (
            age_ms >= settings.early_close_ms and bid_round.has_usable_bid()
        )
        is_timed_out = age_ms >= settings.round_timeout_ms
        is_due = bid_round.is_complete() or is_early or is_timed_out
        if bid_round.state is not RoundState.BIDDING or not is_due:
            return
        if not bid_round.wait_to_beat_ms:
            yield from self._serve_from_existing(now_ms, bid_round)
        if bid_round.wait_to_beat_ms or bid_round.waiters:
            yield from self._decide(now_ms, bid_round)
        else:
            yield from self._lifecycle.end(bid_round)

    def _serve_from_existing(
        self,
        now_ms: int,
        bid_round: BidRound,
    ) -> Iterator[HomeAction]:
        """Answer those who can use a replica that is already there."""
        may_add_replica = self._decisions.may_add_replica(
            now_ms, bid_round.model
        )
        remaining: list[Waiter] = []
        for waiter in bid_round.waiters:
            stale = waiter.request.stale_agents if may_add_replica else ()
            places = self._context.table.places(now_ms, bid_round.model, stale)
            if places:
                yield self._context.reply(waiter, places)
            else:
                remaining.append(waiter)
        bid_round.waiters = remaining

    def _decide(self, now_ms: int, bid_round: BidRound) -> Iterator[HomeAction]:
        action = self._decisions.decide(now_ms, bid_round)
        if action:
            yield action
        elif bid_round.wait_to_beat_ms:
            yield from self._lifecycle.end(bid_round)
        else:
            yield from self._lifecycle.widen_or_back_off(now_ms, bid_round)
