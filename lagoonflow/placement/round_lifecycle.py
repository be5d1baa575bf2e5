"""Which agents a round of bids asks, and when it asks again."""

from collections.abc import Iterator

from lagoonflow.placement.actions import HomeAction, ReplyToLocate
from lagoonflow.placement.context import HomeContext
from lagoonflow.placement.rounds import BidRound, RoundState, Waiter
from lagoonflow.results import Refusal, Result

_MIN_BACKOFF_MS = 50
_MAX_BACKOFF_MS = 800


class RoundLifecycle:
    """Opens, widens, rests and ends rounds."""

    def __init__(self, context: HomeContext) -> None:
        self._context = context

    def open(self, now_ms: int, bid_round: BidRound) -> Iterator[HomeAction]:
        """Ask the known holders and a few others, a new home all."""
        context = self._context
        context.rounds[bid_round.model] = bid_round
        agents = context.home_roles.agents(now_ms, bid_round.model)
        bid_round.is_gathering = context.home_roles.is_new_home(
            now_ms, bid_round.model
        )
        if not bid_round.is_gathering:
            chosen = context.table.holders(bid_round.model)
            chosen.update(agents[: context.settings.asked_by_hash])
            agents = [agent for agent in agents if agent in chosen]
        yield from self._request_bids(bid_round, agents)

    def widen_or_back_off(
        self,
        now_ms: int,
        bid_round: BidRound,
    ) -> Iterator[HomeAction]:
        """Ask the agents not asked yet, or ask all again a bit later."""
        agents = self._context.home_roles.agents(now_ms, bid_round.model)
        others = [agent for agent in agents if agent not in bid_round.asked]
        if others:
            bid_round.state = RoundState.BIDDING
            bid_round.started_at_ms = now_ms
            yield from self._request_bids(bid_round, others)
            return
        yield from self._refuse_unservable(now_ms, bid_round)
        yield from self.end(bid_round)
        if bid_round.waiters:
            self._context.rounds[bid_round.model] = bid_round
            backoff_ms = _MIN_BACKOFF_MS * 2**bid_round.backoffs
            bid_round.back_off_until(now_ms + min(backoff_ms, _MAX_BACKOFF_MS))

    def retry(self, now_ms: int, bid_round: BidRound) -> Iterator[HomeAction]:
        """Ask again for those who still wait."""
        retried = BidRound(self._context.new_id(), bid_round.model, now_ms)
        retried.waiters = bid_round.waiters
        retried.backoffs = bid_round.backoffs
        yield from self.open(now_ms, retried)

    def end(self, bid_round: BidRound) -> Iterator[HomeAction]:
        """End a round and withdraw the bids that were not taken."""
        self._context.rounds.pop(bid_round.model)
        is_decided = bid_round.state is RoundState.DECIDED
        winner = bid_round.decision.agent if is_decided else ''
        for agent in bid_round.losing_bidders(winner):
            yield self._context.bid_withdrawal(
                bid_round.bid_id, bid_round.model, agent
            )

    def _request_bids(
        self, bid_round: BidRound, agents: list[str]
    ) -> Iterator[HomeAction]:
        bid_round.asked.update(agents)
        for agent in agents:
            yield self._context.bid_request(bid_round, agent)

    def _refuse_unservable(
        self,
        now_ms: int,
        bid_round: BidRound,
    ) -> Iterator[HomeAction]:
        fits_nowhere = bid_round.is_too_large_for_all()
        remaining: list[Waiter] = []
        for waiter in bid_round.waiters:
            if fits_nowhere or waiter.deadline_ms <= now_ms + _MIN_BACKOFF_MS:
                yield self._refuse(waiter, fits_nowhere=fits_nowhere)
            else:
                remaining.append(waiter)
        bid_round.waiters = remaining

    def _refuse(self, waiter: Waiter, *, fits_nowhere: bool) -> ReplyToLocate:
        refusal = Refusal(
            Result.NO_RUNNER,
            'No runner has memory for the model in time.',
            retry_after_ms=_MAX_BACKOFF_MS,
        )
        if fits_nowhere:
            reason = 'The model is larger than any runner.'
            refusal = Refusal(Result.MODEL_DOES_NOT_FIT, reason)
        return self._context.reply(waiter, (), refusal)
