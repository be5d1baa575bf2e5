"""Numbered decisions of a home, and what became of them."""

import dataclasses
from collections.abc import Iterator

from lagoonflow.placement.actions import HomeAction, SendDecision
from lagoonflow.placement.context import HomeContext
from lagoonflow.placement.messages import Bid, Decision, DecisionReply
from lagoonflow.placement.rounds import BidRound, RoundState, cost_ms
from lagoonflow.releases.messages import ModelSpec
from lagoonflow.results import Result

_DECISION_SENDS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class _UnconfirmedDecision:
    """A decision that its agent may still execute."""

    agent: str
    expires_at_ms: int


class Decisions:
    """Decides for the best bid of a round."""

    def __init__(self, context: HomeContext) -> None:
        self._context = context
        self._unconfirmed: dict[str, list[_UnconfirmedDecision]] = {}

    def may_add_replica(self, now_ms: int, model: str) -> bool:
        """Tell whether a model may have decision more replica."""
        spec = self._context.models.model(model)
        if spec is None:
            return False
        return self._possible_replicas(now_ms, model) < spec.max_replicas

    def decide(self, now_ms: int, bid_round: BidRound) -> SendDecision | None:
        """Decide for the best bid, if there is decision that pays."""
        spec = self._context.models.model(bid_round.model)
        if spec is None or not self.may_add_replica(now_ms, bid_round.model):
            return None
        bid = bid_round.best_load_offer()
        if bid is None or not _is_worthwhile(bid_round, bid):
            return None
        return self._new_decision(bid_round, bid, spec)

    def on_reply(
        self,
        now_ms: int,
        bid_round: BidRound,
        reply: DecisionReply,
    ) -> bool:
        """Apply the reply to a decision; true when it is executed."""
        bid = bid_round.bids.pop(bid_round.decision.agent)
        refusal = reply.refusal
        if refusal is None or refusal.code is Result.DECISION_REPEATED:
            self._context.table.add(
                now_ms, bid_round.model, bid, reply.decision_id
            )
            return True
        return False

    def on_failed(
        self, now_ms: int, bid_round: BidRound
    ) -> Iterator[HomeAction]:
        """Send the decision again, or count it as possibly executed."""
        bid_round.failed_sends += 1
        if bid_round.failed_sends < _DECISION_SENDS:
            yield SendDecision(bid_round.decision)
            return
        agent = bid_round.decision.agent
        self._context.home_roles.record_reachability(
            now_ms, agent, is_reachable=False
        )
        bid = bid_round.bids.pop(agent)
        bid_round.state = RoundState.BIDDING
        unconfirmed = self._unconfirmed.setdefault(bid_round.model, [])
        unconfirmed.append(
            _UnconfirmedDecision(agent, now_ms + bid.reserved_for_ms)
        )

    def find_round(self, decision_id: str) -> BidRound | None:
        """Find the round that waits for the reply to a decision."""
        for bid_round in self._context.rounds.values():
            decision = bid_round.decision
            if (
                bid_round.state is RoundState.DECIDED
                and decision is not None
                and decision.decision_id == decision_id
            ):
                return bid_round
        return None

    def _possible_replicas(self, now_ms: int, model: str) -> int:
        """Count the replicas that exist or that an agent may yet load."""
        unconfirmed = [
            decision
            for decision in self._unconfirmed.get(model, ())
            if decision.expires_at_ms > now_ms
        ]
        self._unconfirmed[model] = unconfirmed
        return self._context.table.count(model) + len(unconfirmed)

    def _new_decision(
        self,
        bid_round: BidRound,
        bid: Bid,
        spec: ModelSpec,
    ) -> SendDecision:
        bid_round.state = RoundState.DECIDED
        bid_round.failed_sends = 0
        bid_round.decision = Decision(
            decision_id=self._context.new_id(),
            bid_id=bid.bid_id,
            model=bid_round.model,
            model_version=spec.version,
            agent=bid.agent,
            home=self._context.settings.name,
            versions=self._context.versions,
        )
        return SendDecision(bid_round.decision)


def _is_worthwhile(bid_round: BidRound, bid: Bid) -> bool:
    """Tell whether a further replica shortens the wait."""
    return (
        not bid_round.wait_to_beat_ms
        or cost_ms(bid) < bid_round.wait_to_beat_ms
    )
