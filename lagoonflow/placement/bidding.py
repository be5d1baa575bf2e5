"""Rounds of bids of a home: at most one open round for each model."""

from collections.abc import Iterator

from lagoonflow.placement.actions import HomeAction
from lagoonflow.placement.context import HomeContext
from lagoonflow.placement.decisions import Decisions
from lagoonflow.placement.messages import Bid, DecisionReply
from lagoonflow.placement.round_lifecycle import RoundLifecycle
from lagoonflow.placement.rounds import BidRound, RoundState, Waiter


class Bidding:
    """Runs the rounds of bids of a home.

    Concurrent requests for a model share a round, so that a burst of them
    loads one replica.
    """

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
        """Let a request wait for the round of its model; open one if needed."""
        current = self._context.rounds.get(model)
        if current is not None:
            # The request needs a replica, so from now on the round accepts any
            # bid, not only one that beats the predicted wait.
            current.wait_to_beat_ms = 0
            current.waiters.append(waiter)
            return
        current = BidRound(self._context.new_id(), model, now_ms)
        current.waiters.append(waiter)
        yield from self._lifecycle.open(now_ms, current)

    def scale_out(
        self,
        now_ms: int,
        model: str,
        wait_to_beat_ms: int,
    ) -> Iterator[HomeAction]:
        """Open a round for a further replica, to shorten the wait for a model.

        Nothing happens if the model has an open round or must not get
        another replica.

        :param wait_to_beat_ms: predicted wait without a further replica.
        """
        is_busy = model in self._context.rounds
        if is_busy or not self._decisions.may_add_replica(now_ms, model):
            return
        current = BidRound(self._context.new_id(), model, now_ms)
        current.wait_to_beat_ms = max(1, wait_to_beat_ms)
        yield from self._lifecycle.open(now_ms, current)

    def on_bid(self, now_ms: int, bid: Bid) -> Iterator[HomeAction]:
        """Add a bid to its round, or withdraw a bid that comes too late."""
        current = self._find_round(bid.bid_id)
        if current is None or current.state is not RoundState.BIDDING:
            if bid.reserved_for_ms:
                # The model is left empty, as the round that names it may be
                # gone: the agent finds the bid by its id alone.
                yield self._context.bid_withdrawal(bid.bid_id, '', bid.agent)
            return
        current.add_bid(bid)
        self._context.table.apply_bid(now_ms, current.model, bid)
        self._context.home_roles.record_reachability(
            now_ms, bid.agent, is_reachable=True
        )
        yield from self._close_if_due(now_ms, current)

    def on_bid_failed(
        self,
        now_ms: int,
        bid_id: str,
        agent: str,
    ) -> Iterator[HomeAction]:
        """Go on without the bid of an agent that can't be reached."""
        current = self._find_round(bid_id)
        if current is not None:
            current.mark_unreachable(agent)
            self._context.table.remove(current.model, agent)
            yield from self._close_if_due(now_ms, current)

    def on_decision_reply(
        self,
        now_ms: int,
        reply: DecisionReply,
    ) -> Iterator[HomeAction]:
        """Finish the round, or decide for the next best bid after a refusal."""
        current = self._decisions.find_round(reply.decision_id)
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
        """Send the decision again, or decide for the next best bid."""
        current = self._decisions.find_round(decision_id)
        if current is None:
            return
        yield from self._decisions.on_failed(now_ms, current)
        if current.state is RoundState.BIDDING:
            yield from self._decide(now_ms, current)

    def on_tick(self, now_ms: int) -> Iterator[HomeAction]:
        """Close rounds that are due; retry those whose backoff has ended."""
        for current in tuple(self._context.rounds.values()):
            if current.state is RoundState.BIDDING:
                yield from self._close_if_due(now_ms, current)
            elif current.is_retry_due(now_ms):
                yield from self._lifecycle.retry(now_ms, current)

    def drop_all(self) -> list[Waiter]:
        """Drop all rounds; return the requests that waited for them."""
        rounds = tuple(self._context.rounds.values())
        self._context.rounds.clear()
        return [waiter for current in rounds for waiter in current.waiters]

    def _find_round(self, bid_id: str) -> BidRound | None:
        for current in self._context.rounds.values():
            if current.bid_id == bid_id:
                return current
        return None

    def _finish(self, now_ms: int, current: BidRound) -> Iterator[HomeAction]:
        places = self._context.table.places(now_ms, current.model)
        for waiter in current.waiters:
            yield self._context.reply(waiter, places)
        yield from self._lifecycle.end(current)

    def _close_if_due(
        self,
        now_ms: int,
        current: BidRound,
    ) -> Iterator[HomeAction]:
        age_ms = now_ms - current.started_at_ms
        settings = self._context.settings
        is_early = (
            age_ms >= settings.early_close_ms and current.may_close_early()
        )
        is_timed_out = age_ms >= settings.round_timeout_ms
        is_due = current.is_complete() or is_early or is_timed_out
        if current.state is not RoundState.BIDDING or not is_due:
            return
        if not current.wait_to_beat_ms:
            yield from self._serve_from_existing(now_ms, current)
        if current.wait_to_beat_ms or current.waiters:
            yield from self._decide(now_ms, current)
        else:
            yield from self._lifecycle.end(current)

    def _serve_from_existing(
        self,
        now_ms: int,
        current: BidRound,
    ) -> Iterator[HomeAction]:
        """Answer the waiting requests that an existing replica can serve.

        Replicas on agents that a request lists as stale are offered only if
        the model must not get another replica.
        """
        may_add_replica = self._decisions.may_add_replica(now_ms, current.model)
        remaining: list[Waiter] = []
        for waiter in current.waiters:
            stale = waiter.request.stale_agents if may_add_replica else ()
            places = self._context.table.places(now_ms, current.model, stale)
            if places:
                yield self._context.reply(waiter, places)
            else:
                remaining.append(waiter)
        current.waiters = remaining

    def _decide(self, now_ms: int, current: BidRound) -> Iterator[HomeAction]:
        action = self._decisions.decide(now_ms, current)
        if action:
            yield action
        elif current.wait_to_beat_ms:
            yield from self._lifecycle.end(current)
        else:
            yield from self._lifecycle.widen_or_back_off(now_ms, current)
