"""Numbered decisions of a home, and what became of them."""

import dataclasses
from collections.abc import Iterator

from lagoonflow.placement.actions import HomeAction, SendDecision
from lagoonflow.placement.context import HomeContext
from lagoonflow.placement.messages import Bid, Decision, DecisionReply
from lagoonflow.placement.rounds import Round, RoundState, cost_ms
from lagoonflow.releases.messages import ModelSpec
from lagoonflow.results import Result

_DECISION_SENDS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class _LostDecision:
    """A decision that its agent may still execute."""

    agent: str
    expires_at_ms: int


class Decisions:
    """Decides for the best bid of a round."""

    def __init__(self, context: HomeContext) -> None:
        self._context = context
        self._lost: dict[str, list[_LostDecision]] = {}

    def has_room(self, now_ms: int, model: str) -> bool:
        """Tell whether a model may have one more replica."""
        spec = self._context.models.model(model)
        if spec is None:
            return False
        return self._possible(now_ms, model) < spec.max_replicas

    def decide(self, now_ms: int, current: Round) -> SendDecision | None:
        """Decide for the best bid, if there is one that pays."""
        spec = self._context.models.model(current.model)
        if spec is None or not self.has_room(now_ms, current.model):
            return None
        bid = current.best_load()
        if bid is None or not _pays(current, bid):
            return None
        return self._send(current, bid, spec)

    def on_reply(
        self,
        now_ms: int,
        current: Round,
        reply: DecisionReply,
    ) -> bool:
        """Apply the reply to a decision; true when it is executed."""
        bid = current.bids.pop(current.decision.agent)
        refusal = reply.refusal
        if refusal is None or refusal.code is Result.DECISION_REPEATED:
            self._context.table.add(
                now_ms, current.model, bid, reply.decision_id
            )
            return True
        return False

    def on_failed(self, now_ms: int, current: Round) -> Iterator[HomeAction]:
        """Send the decision again, or count it as possibly executed."""
        current.resent += 1
        if current.resent < _DECISION_SENDS:
            yield SendDecision(current.decision)
            return
        agent = current.decision.agent
        self._context.home_roles.mark(now_ms, agent, is_reachable=False)
        bid = current.bids.pop(agent)
        current.state = RoundState.BIDDING
        lost = self._lost.setdefault(current.model, [])
        lost.append(_LostDecision(agent, now_ms + bid.reserved_for_ms))

    def find(self, decision_id: str) -> Round | None:
        """Find the round that waits for the reply to a decision."""
        for current in self._context.rounds.values():
            decision = current.decision
            if (
                current.state is RoundState.DECIDED
                and decision is not None
                and decision.decision_id == decision_id
            ):
                return current
        return None

    def _possible(self, now_ms: int, model: str) -> int:
        """Count the replicas that exist or that an agent may yet load."""
        lost = [
            one
            for one in self._lost.get(model, ())
            if one.expires_at_ms > now_ms
        ]
        self._lost[model] = lost
        return self._context.table.count(model) + len(lost)

    def _send(
        self,
        current: Round,
        bid: Bid,
        spec: ModelSpec,
    ) -> SendDecision:
        current.state = RoundState.DECIDED
        current.resent = 0
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


def _pays(current: Round, bid: Bid) -> bool:
    """Tell whether a further replica shortens the wait."""
    return not current.worth_ms or cost_ms(bid) < current.worth_ms
