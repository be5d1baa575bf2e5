"""Decisions of a home: which agent loads a replica, and the outcome."""

import dataclasses
from collections.abc import Iterator

from lagoonflow.placement.actions import HomeAction, SendDecision
from lagoonflow.placement.context import HomeContext
from lagoonflow.placement.messages import Bid, Decision, DecisionReply
from lagoonflow.placement.rounds import BidRound, RoundState, cost_ms
from lagoonflow.releases.messages import ModelSpec
from lagoonflow.results import Result

# How often a decision is sent before the home turns to the next bid.
_MAX_DECISION_SENDS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class _UnconfirmedDecision:
    """A decision without a reply, which its agent may have executed.

    :param expires_at_ms: when the reserved memory of its bid expires, so that
        the agent can't execute the decision any more.
    """

    agent: str
    expires_at_ms: int


class Decisions:
    """Decides for the best bid of a round and counts unconfirmed decisions."""

    def __init__(self, context: HomeContext) -> None:
        self._context = context
        self._unconfirmed: dict[str, list[_UnconfirmedDecision]] = {}

    def may_add_replica(self, now_ms: int, model: str) -> bool:
        """Tell whether a model may get another replica."""
        spec = self._context.models.model(model)
        if spec is None:
            return False
        return self._possible_replicas(now_ms, model) < spec.max_replicas

    def decide(self, now_ms: int, current: BidRound) -> SendDecision | None:
        """Decide for the best bid.

        :returns: the decision to send; ``None`` if no bid is worthwhile or
            the model must not get another replica.
        """
        spec = self._context.models.model(current.model)
        if spec is None or not self.may_add_replica(now_ms, current.model):
            return None
        bid = current.best_load_offer()
        if bid is None or not _is_worthwhile(current, bid):
            return None
        return self._new_decision(current, bid, spec)

    def on_reply(
        self,
        now_ms: int,
        current: BidRound,
        reply: DecisionReply,
    ) -> bool:
        """Apply a decision's reply; return whether the agent executes it."""
        bid = current.bids.pop(current.decision.agent)
        refusal = reply.refusal
        # A repeated decision was executed when the agent first received it.
        if refusal is None or refusal.code is Result.DECISION_REPEATED:
            self._context.table.add(
                now_ms, current.model, bid, reply.decision_id
            )
            return True
        return False

    def on_failed(self, now_ms: int, current: BidRound) -> Iterator[HomeAction]:
        """Send a decision without a reply again, or give up on its agent.

        The agent may have executed the decision although the reply is lost,
        so the replica counts towards the model's limit until the reserved
        memory of the bid expires.
        """
        current.failed_sends += 1
        if current.failed_sends < _MAX_DECISION_SENDS:
            yield SendDecision(current.decision)
            return
        agent = current.decision.agent
        self._context.home_roles.record_reachability(
            now_ms, agent, is_reachable=False
        )
        bid = current.bids.pop(agent)
        current.state = RoundState.BIDDING
        unconfirmed = self._unconfirmed.setdefault(current.model, [])
        unconfirmed.append(
            _UnconfirmedDecision(agent, now_ms + bid.reserved_for_ms)
        )

    def find_round(self, decision_id: str) -> BidRound | None:
        """Return the round that waits for the reply to a decision."""
        for current in self._context.rounds.values():
            decision = current.decision
            if (
                current.state is RoundState.DECIDED
                and decision is not None
                and decision.decision_id == decision_id
            ):
                return current
        return None

    def _possible_replicas(self, now_ms: int, model: str) -> int:
        """Count known replicas and those of unconfirmed decisions."""
        unconfirmed = [
            decision
            for decision in self._unconfirmed.get(model, ())
            if decision.expires_at_ms > now_ms
        ]
        self._unconfirmed[model] = unconfirmed
        return self._context.table.count(model) + len(unconfirmed)

    def _new_decision(
        self,
        current: BidRound,
        bid: Bid,
        spec: ModelSpec,
    ) -> SendDecision:
        current.state = RoundState.DECIDED
        current.failed_sends = 0
        current.decision = Decision(
            decision_id=self._context.new_id(),
            bid_id=bid.bid_id,
            model=current.model,
            model_version=spec.version,
            agent=bid.agent,
            home=self._context.settings.name,
            versions=self._context.versions,
        )
        return SendDecision(current.decision)


def _is_worthwhile(current: BidRound, bid: Bid) -> bool:
    """Tell whether loading this replica would shorten the predicted wait."""
    return not current.wait_to_beat_ms or cost_ms(bid) < current.wait_to_beat_ms
