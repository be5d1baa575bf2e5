"""Opens and ends rounds of bids, and retries them after a backoff."""

from collections.abc import Iterator

from lagoonflow.placement.actions import HomeAction, ReplyToLocate
from lagoonflow.placement.context import HomeContext
from lagoonflow.placement.rounds import BidRound, RoundState, Waiter
from lagoonflow.results import Refusal, Result

# The delay between retries starts at the minimum and doubles up to the
# maximum.
_MIN_BACKOFF_MS = 50
_MAX_BACKOFF_MS = 800


class RoundLifecycle:
    """Selects the agents that a round asks, and when it asks them again."""

    def __init__(self, context: HomeContext) -> None:
        self._context = context

    def open(self, now_ms: int, current: BidRound) -> Iterator[HomeAction]:
        """Open a round and ask agents for bids.

        The round asks the agents that are known to have the model and some
        top-ranked ones. A new home asks all agents, since it may not know
        yet which of them have the model.
        """
        context = self._context
        context.rounds[current.model] = current
        agents = context.home_roles.agents(now_ms, current.model)
        current.is_gathering = context.home_roles.is_new_home(
            now_ms, current.model
        )
        if not current.is_gathering:
            chosen = context.table.holders(current.model)
            chosen.update(agents[: context.settings.asked_by_hash])
            agents = [agent for agent in agents if agent in chosen]
        yield from self._request_bids(current, agents)

    def widen_or_back_off(
        self,
        now_ms: int,
        current: BidRound,
    ) -> Iterator[HomeAction]:
        """Ask the remaining agents, or back off if all have been asked.

        Requests that no runner can serve in time are refused first.
        """
        agents = self._context.home_roles.agents(now_ms, current.model)
        others = [agent for agent in agents if agent not in current.asked]
        if others:
            current.state = RoundState.BIDDING
            current.started_at_ms = now_ms
            yield from self._request_bids(current, others)
            return
        yield from self._refuse_unservable(now_ms, current)
        yield from self.end(current)
        if current.waiters:
            self._context.rounds[current.model] = current
            backoff_ms = _MIN_BACKOFF_MS * 2**current.backoffs
            current.back_off_until(now_ms + min(backoff_ms, _MAX_BACKOFF_MS))

    def retry(self, now_ms: int, current: BidRound) -> Iterator[HomeAction]:
        """Replace a round whose backoff has ended by a new one."""
        retried = BidRound(self._context.new_id(), current.model, now_ms)
        retried.waiters = current.waiters
        retried.backoffs = current.backoffs
        yield from self.open(now_ms, retried)

    def end(self, current: BidRound) -> Iterator[HomeAction]:
        """End a round, and release the memory reserved for losing bids."""
        self._context.rounds.pop(current.model)
        is_decided = current.state is RoundState.DECIDED
        winner = current.decision.agent if is_decided else ''
        for agent in current.losing_bidders(winner):
            yield self._context.bid_withdrawal(
                current.bid_id, current.model, agent
            )

    def _request_bids(
        self, current: BidRound, agents: list[str]
    ) -> Iterator[HomeAction]:
        current.asked.update(agents)
        for agent in agents:
            yield self._context.bid_request(current, agent)

    def _refuse_unservable(
        self,
        now_ms: int,
        current: BidRound,
    ) -> Iterator[HomeAction]:
        fits_nowhere = current.is_too_large_for_all()
        remaining: list[Waiter] = []
        for waiter in current.waiters:
            if fits_nowhere or waiter.deadline_ms <= now_ms + _MIN_BACKOFF_MS:
                yield self._refuse(waiter, fits_nowhere=fits_nowhere)
            else:
                remaining.append(waiter)
        current.waiters = remaining

    def _refuse(self, waiter: Waiter, *, fits_nowhere: bool) -> ReplyToLocate:
        refusal = Refusal(
            Result.NO_RUNNER,
            'No runner has free memory for the model before the deadline.',
            retry_after_ms=_MAX_BACKOFF_MS,
        )
        if fits_nowhere:
            reason = 'The model is larger than the memory of any runner.'
            refusal = Refusal(Result.MODEL_DOES_NOT_FIT, reason)
        return self._context.reply(waiter, (), refusal)
