"""Which agents a round of bids asks, and when it asks again."""

from collections.abc import Iterator

from lagoonflow.placement.actions import HomeAction, ReplyToLocate
from lagoonflow.placement.context import HomeContext
from lagoonflow.placement.rounds import Round, RoundState, Waiter
from lagoonflow.results import Refusal, Result

_SHORTEST_REST_MS = 50
_LONGEST_REST_MS = 800


class RoundLifecycle:
    """Opens, widens, rests and ends rounds."""

    def __init__(self, context: HomeContext) -> None:
        self._context = context

    def open(self, now_ms: int, current: Round) -> Iterator[HomeAction]:
        """Ask the known holders and a few others, a new home all."""
        context = self._context
        context.rounds[current.model] = current
        agents = context.home_roles.agents(now_ms, current.model)
        current.is_gathering = context.home_roles.is_new(now_ms, current.model)
        if not current.is_gathering:
            chosen = context.table.holders(current.model)
            chosen.update(agents[: context.settings.asked_by_hash])
            agents = [agent for agent in agents if agent in chosen]
        yield from self._ask(current, agents)

    def widen_or_rest(
        self,
        now_ms: int,
        current: Round,
    ) -> Iterator[HomeAction]:
        """Ask the agents not asked yet, or ask all again a bit later."""
        agents = self._context.home_roles.agents(now_ms, current.model)
        others = [agent for agent in agents if agent not in current.asked]
        if others:
            current.state = RoundState.BIDDING
            current.started_at_ms = now_ms
            yield from self._ask(current, others)
            return
        yield from self._refuse_hopeless(now_ms, current)
        yield from self.end(current)
        if current.waiters:
            self._context.rounds[current.model] = current
            rest_ms = _SHORTEST_REST_MS * 2**current.rests
            current.rest_until(now_ms + min(rest_ms, _LONGEST_REST_MS))

    def resume(self, now_ms: int, current: Round) -> Iterator[HomeAction]:
        """Ask again for those who still wait."""
        fresh = Round(self._context.new_id(), current.model, now_ms)
        fresh.waiters = current.waiters
        fresh.rests = current.rests
        yield from self.open(now_ms, fresh)

    def end(self, current: Round) -> Iterator[HomeAction]:
        """End a round and withdraw the bids that were not taken."""
        self._context.rounds.pop(current.model)
        is_decided = current.state is RoundState.DECIDED
        winner = current.decision.agent if is_decided else ''
        for agent in current.losers(winner):
            yield self._context.withdraw(current.bid_id, current.model, agent)

    def _ask(self, current: Round, agents: list[str]) -> Iterator[HomeAction]:
        current.asked.update(agents)
        for agent in agents:
            yield self._context.ask(current, agent)

    def _refuse_hopeless(
        self,
        now_ms: int,
        current: Round,
    ) -> Iterator[HomeAction]:
        never = current.fits_nowhere()
        left: list[Waiter] = []
        for waiter in current.waiters:
            if never or waiter.deadline_ms <= now_ms + _SHORTEST_REST_MS:
                yield self._refuse(waiter, never=never)
            else:
                left.append(waiter)
        current.waiters = left

    def _refuse(self, waiter: Waiter, *, never: bool) -> ReplyToLocate:
        refusal = Refusal(
            Result.NO_RUNNER,
            'No runner has memory for the model in time.',
            retry_after_ms=_LONGEST_REST_MS,
        )
        if never:
            reason = 'The model is larger than any runner.'
            refusal = Refusal(Result.MODEL_DOES_NOT_FIT, reason)
        return self._context.reply(waiter, (), refusal)
