"""Rounds of bids of a home: at most one at a time for each model."""

import dataclasses
from collections.abc import Iterator

from lagoonflow.placement.actions import (
    AskBid,
    HomeAction,
    ReplyLocate,
    SendDecision,
)
from lagoonflow.placement.duty import Duties
from lagoonflow.placement.messages import (
    Bid,
    BidRequest,
    Decision,
    DecisionReply,
    LocateReply,
    Place,
)
from lagoonflow.placement.rounds import Round, RoundState, Waiter, cost_ms
from lagoonflow.placement.settings import HomeSettings, Models
from lagoonflow.placement.table import ReplicaTable
from lagoonflow.releases.messages import ModelSpec
from lagoonflow.results import Refusal, Result
from lagoonflow.streams.messages import Versions

_DECISION_SENDS = 2
_SHORTEST_REST_MS = 50
_LONGEST_REST_MS = 800


@dataclasses.dataclass(frozen=True, slots=True)
class _LostDecision:
    """A decision that its agent may still execute."""

    agent: str
    expires_at_ms: int


class Bidding:
    """Asks for bids and decides; concurrent requests share a round.

    :ivar models: models of the release notes in force.
    :ivar versions: versions that this process has folded.
    """

    def __init__(
        self,
        settings: HomeSettings,
        models: Models,
        table: ReplicaTable,
        duties: Duties,
    ) -> None:
        self.models = models
        self.versions = Versions()
        self._settings = settings
        self._table = table
        self._duties = duties
        self._rounds: dict[str, Round] = {}
        self._lost: dict[str, list[_LostDecision]] = {}
        self._counter = 0

    @property
    def is_idle(self) -> bool:
        """Whether no round is under way."""
        return not self._rounds

    def join(
        self,
        now_ms: int,
        model: str,
        waiter: Waiter,
    ) -> Iterator[HomeAction]:
        """Let a request wait for the round of its model."""
        current = self._rounds.get(model)
        if current is None:
            current = self._new_round(now_ms, model)
            current.waiters.append(waiter)
            yield from self._ask_first(now_ms, current)
        else:
            current.waiters.append(waiter)

    def spill(
        self,
        now_ms: int,
        model: str,
        worth_ms: int,
    ) -> Iterator[HomeAction]:
        """Look for a further replica that shortens a wait.

        :param worth_ms: predicted wait without it.
        """
        spec = self.models.model(model)
        if spec is None or model in self._rounds:
            return
        if self._possible(now_ms, model) >= spec.max_replicas:
            return
        current = self._new_round(now_ms, model)
        current.worth_ms = max(1, worth_ms)
        yield from self._ask_first(now_ms, current)

    def on_bid(self, now_ms: int, bid: Bid) -> Iterator[HomeAction]:
        """Take a bid; late ones are withdrawn."""
        current = self._find(bid.bid_id)
        if current is None or current.state is not RoundState.BIDDING:
            if bid.reserved_for_ms:
                yield self._withdraw(bid.bid_id, '', bid.agent)
            return
        current.take(bid)
        self._table.apply_bid(now_ms, current.model, bid)
        self._duties.mark(now_ms, bid.agent, is_reachable=True)
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
            self._table.remove(current.model, agent)
            yield from self._close_if_due(now_ms, current)

    def on_decision_reply(
        self,
        now_ms: int,
        reply: DecisionReply,
    ) -> Iterator[HomeAction]:
        """Finish the round, or decide for the next bid."""
        current = self._find_decided(reply.decision_id)
        if current is None:
            return
        refusal = reply.refusal
        bid = current.bids.pop(current.decision.agent)
        if refusal is None or refusal.code is Result.DECISION_REPEATED:
            self._table.add(now_ms, current.model, bid, reply.decision_id)
            yield from self._finish(now_ms, current)
        else:
            yield from self._decide(now_ms, current)

    def on_decision_failed(
        self,
        now_ms: int,
        decision_id: str,
    ) -> Iterator[HomeAction]:
        """Send the decision again, then count it as possibly executed."""
        current = self._find_decided(decision_id)
        if current is None:
            return
        current.resent += 1
        if current.resent < _DECISION_SENDS:
            yield SendDecision(current.decision)
            return
        agent = current.decision.agent
        self._duties.mark(now_ms, agent, is_reachable=False)
        bid = current.bids.pop(agent)
        expires_at_ms = now_ms + bid.reserved_for_ms
        lost = self._lost.setdefault(current.model, [])
        lost.append(_LostDecision(agent, expires_at_ms))
        yield from self._decide(now_ms, current)

    def on_tick(self, now_ms: int) -> Iterator[HomeAction]:
        """Close rounds in time and resume those that rest."""
        for current in tuple(self._rounds.values()):
            if current.state is RoundState.BIDDING:
                yield from self._close_if_due(now_ms, current)
            elif current.state is RoundState.RESTING:
                yield from self._resume_if_due(now_ms, current)

    def drop_all(self) -> list[Waiter]:
        """Drop all rounds; returns who waited for them."""
        waiters = [
            waiter
            for current in self._rounds.values()
            for waiter in current.waiters
        ]
        self._rounds.clear()
        return waiters

    def _new_round(self, now_ms: int, model: str) -> Round:
        current = Round(self._new_id(), model, now_ms)
        self._rounds[model] = current
        return current

    def _new_id(self) -> str:
        self._counter += 1
        settings = self._settings
        return f'{settings.name}/{settings.nonce}/{self._counter}'

    def _ask_first(self, now_ms: int, current: Round) -> Iterator[HomeAction]:
        agents = self._duties.agents(now_ms, current.model)
        current.is_gathering = self._duties.is_new(now_ms, current.model)
        if not current.is_gathering:
            holders = self._table.holders(current.model)
            by_hash = agents[: self._settings.asked_by_hash]
            agents = [
                agent
                for agent in agents
                if agent in holders or agent in by_hash
            ]
        yield from self._ask(current, agents)

    def _ask(self, current: Round, agents: list[str]) -> Iterator[HomeAction]:
        current.asked.update(agents)
        request = BidRequest(
            current.bid_id,
            current.model,
            self.versions,
            self._settings.name,
        )
        for agent in agents:
            yield AskBid(agent, request)

    def _close_if_due(
        self,
        now_ms: int,
        current: Round,
    ) -> Iterator[HomeAction]:
        if current.state is not RoundState.BIDDING:
            return
        age_ms = now_ms - current.started_at_ms
        is_early = (
            age_ms >= self._settings.early_close_ms
            and not current.is_gathering
            and (current.held() or current.best_load() is not None)
        )
        is_late = age_ms >= self._settings.round_timeout_ms
        if current.is_complete() or is_early or is_late:
            yield from self._close(now_ms, current)

    def _close(self, now_ms: int, current: Round) -> Iterator[HomeAction]:
        if not current.worth_ms:
            yield from self._serve_from_held(now_ms, current)
            if not current.waiters:
                yield from self._drop(current)
                return
        yield from self._decide(now_ms, current)

    def _serve_from_held(
        self,
        now_ms: int,
        current: Round,
    ) -> Iterator[HomeAction]:
        """Answer those who can use a replica that is already there."""
        spec = self.models.model(current.model)
        possible = self._possible(now_ms, current.model)
        is_full = spec is not None and possible >= spec.max_replicas
        left: list[Waiter] = []
        for waiter in current.waiters:
            stale = () if is_full else waiter.request.stale_agents
            places = self._table.places(now_ms, current.model, stale)
            if places:
                yield self._reply(waiter, places)
            else:
                left.append(waiter)
        current.waiters = left

    def _decide(self, now_ms: int, current: Round) -> Iterator[HomeAction]:
        spec = self.models.model(current.model)
        bid = self._choose(now_ms, current, spec)
        if bid is not None and spec is not None:
            yield from self._send_decision(current, bid, spec)
        elif current.worth_ms:
            yield from self._drop(current)
        else:
            yield from self._widen_or_rest(now_ms, current)

    def _choose(
        self,
        now_ms: int,
        current: Round,
        spec: ModelSpec | None,
    ) -> Bid | None:
        if spec is None:
            return None
        if self._possible(now_ms, current.model) >= spec.max_replicas:
            return None
        unwanted = {
            agent
            for waiter in current.waiters
            for agent in waiter.request.stale_agents
        }
        bid = current.best_load(unwanted)
        if bid is None or not current.worth_ms:
            return bid
        return bid if cost_ms(bid) < current.worth_ms else None

    def _send_decision(
        self,
        current: Round,
        bid: Bid,
        spec: ModelSpec,
    ) -> Iterator[HomeAction]:
        current.state = RoundState.DECIDED
        current.resent = 0
        current.decision = Decision(
            decision_id=self._new_id(),
            bid_id=bid.bid_id,
            model=current.model,
            model_version=spec.version,
            agent=bid.agent,
            home=self._settings.name,
            versions=self.versions,
        )
        yield SendDecision(current.decision)

    def _widen_or_rest(
        self,
        now_ms: int,
        current: Round,
    ) -> Iterator[HomeAction]:
        """Ask the agents not asked yet, or ask all again a bit later."""
        others = [
            agent
            for agent in self._duties.agents(now_ms, current.model)
            if agent not in current.asked
        ]
        if others:
            current.state = RoundState.BIDDING
            current.started_at_ms = now_ms
            yield from self._ask(current, others)
            return
        yield from self._refuse_hopeless(now_ms, current)
        yield from self._withdraw_losers(current)
        if not current.waiters:
            self._rounds.pop(current.model)
            return
        rest_ms = _SHORTEST_REST_MS * 2**current.rests
        current.rests += 1
        current.state = RoundState.RESTING
        current.resumes_at_ms = now_ms + min(rest_ms, _LONGEST_REST_MS)

    def _resume_if_due(
        self,
        now_ms: int,
        current: Round,
    ) -> Iterator[HomeAction]:
        if now_ms < current.resumes_at_ms:
            return
        fresh = self._new_round(now_ms, current.model)
        fresh.waiters = current.waiters
        fresh.rests = current.rests
        yield from self._ask_first(now_ms, fresh)

    def _refuse_hopeless(
        self,
        now_ms: int,
        current: Round,
    ) -> Iterator[HomeAction]:
        refusals = [bid.refusal for bid in current.bids.values()]
        codes = {refusal.code for refusal in refusals if refusal is not None}
        never = codes == {Result.MODEL_DOES_NOT_FIT}
        left: list[Waiter] = []
        for waiter in current.waiters:
            if never or waiter.deadline_ms <= now_ms + _SHORTEST_REST_MS:
                yield self._refuse(waiter, never=never)
            else:
                left.append(waiter)
        current.waiters = left

    def _refuse(self, waiter: Waiter, *, never: bool) -> ReplyLocate:
        refusal = Refusal(
            Result.NO_RUNNER,
            'No runner has memory for the model in time.',
            retry_after_ms=_LONGEST_REST_MS,
        )
        if never:
            reason = 'The model is larger than any runner.'
            refusal = Refusal(Result.MODEL_DOES_NOT_FIT, reason)
        return self._reply(waiter, (), refusal)

    def _finish(self, now_ms: int, current: Round) -> Iterator[HomeAction]:
        places = self._table.places(now_ms, current.model)
        for waiter in current.waiters:
            yield self._reply(waiter, places)
        yield from self._drop(current)

    def _drop(self, current: Round) -> Iterator[HomeAction]:
        self._rounds.pop(current.model)
        yield from self._withdraw_losers(current)

    def _withdraw_losers(self, current: Round) -> Iterator[HomeAction]:
        winner = current.decision.agent if current.decision else ''
        for agent in current.losers(winner):
            yield self._withdraw(current.bid_id, current.model, agent)

    def _withdraw(self, bid_id: str, model: str, agent: str) -> AskBid:
        request = BidRequest(
            bid_id,
            model,
            self.versions,
            self._settings.name,
            is_withdrawal=True,
        )
        return AskBid(agent, request)

    def _possible(self, now_ms: int, model: str) -> int:
        """Count the replicas that exist or that an agent may yet load."""
        lost = [
            one
            for one in self._lost.get(model, ())
            if one.expires_at_ms > now_ms
        ]
        self._lost[model] = lost
        return self._table.count(model) + len(lost)

    def _find(self, bid_id: str) -> Round | None:
        for current in self._rounds.values():
            if current.bid_id == bid_id:
                return current
        return None

    def _find_decided(self, decision_id: str) -> Round | None:
        for current in self._rounds.values():
            decision = current.decision
            if decision is not None and decision.decision_id == decision_id:
                return current
        return None

    def _reply(
        self,
        waiter: Waiter,
        places: tuple[Place, ...],
        refusal: Refusal | None = None,
    ) -> ReplyLocate:
        reply = LocateReply(self.versions, places, refusal)
        return ReplyLocate(waiter.number, reply)
