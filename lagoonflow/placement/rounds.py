"""State of one round of bids for one model."""

import dataclasses
import enum

from lagoonflow.placement.messages import Bid, Decision, LocateRequest, Tier
from lagoonflow.results import Result

# Tiers of a bid from an agent that already has a replica of the model.
_REPLICA_TIERS = frozenset((Tier.READY, Tier.LOADING))


class RoundState(enum.StrEnum):
    """What a round waits for.

    BIDDING: bids of the agents that were asked.
    DECIDED: the reply of the agent that was ordered to load a replica.
    RESTING: the end of the backoff, after no replica could be loaded.
    """

    BIDDING = 'bidding'
    DECIDED = 'decided'
    RESTING = 'resting'


@dataclasses.dataclass(frozen=True, slots=True)
class Waiter:
    """A locate request that waits for the outcome of a round.

    :param request_number: number that the actions use for the request.
    :param deadline_ms: deadline of the request on the clock of the home.
    """

    request_number: int
    request: LocateRequest
    deadline_ms: int


@dataclasses.dataclass(slots=True)
class BidRound:
    """Collects the bids of one round and the requests that wait for it.

    :param is_gathering: whether the round waits for all agents, because the
        home is new and may not know of replicas that exist.
    :param wait_to_beat_ms: predicted wait, in ms, that a further replica has
        to shorten to be worth a load; 0 when requests need a replica, and
        any bid will do.
    :param waiters: locate requests that the outcome answers.
    :param asked: agents that were asked for a bid.
    :param answered: agents that bid, refused to bid or were unreachable.
    :param bids: bids and refusals to bid, by agent.
    :param decision: the latest decision of this round.
    :param failed_sends: how often sending the decision has failed.
    :param backoffs: number of backoffs so far; each doubles the next delay.
    :param retry_at_ms: when the backoff ends and agents are asked again.
    """

    bid_id: str
    model: str
    started_at_ms: int
    is_gathering: bool = False
    wait_to_beat_ms: int = 0
    state: RoundState = RoundState.BIDDING
    waiters: list[Waiter] = dataclasses.field(default_factory=list)
    asked: set[str] = dataclasses.field(default_factory=set)
    answered: set[str] = dataclasses.field(default_factory=set)
    bids: dict[str, Bid] = dataclasses.field(default_factory=dict)
    decision: Decision | None = None
    failed_sends: int = 0
    backoffs: int = 0
    retry_at_ms: int = 0

    def add_bid(self, bid: Bid) -> None:
        """Store an agent's bid or its refusal to bid."""
        self.answered.add(bid.agent)
        self.bids[bid.agent] = bid

    def mark_unreachable(self, agent: str) -> None:
        """Stop waiting for an agent that can't be reached."""
        self.answered.add(agent)

    def is_complete(self) -> bool:
        """Tell whether all agents that were asked have answered."""
        return self.answered >= self.asked

    def may_close_early(self) -> bool:
        """Tell whether the round may close before all agents have answered.

        It may once an agent has bid, unless the home is new.
        """
        if self.is_gathering:
            return False
        return any(bid.refusal is None for bid in self.bids.values())

    def is_too_large_for_all(self) -> bool:
        """Tell whether the model exceeds the memory of every runner asked."""
        refusals = [bid.refusal for bid in self.bids.values()]
        codes = {refusal.code for refusal in refusals if refusal is not None}
        return codes == {Result.MODEL_DOES_NOT_FIT}

    def is_retry_due(self, now_ms: int) -> bool:
        """Tell whether the backoff has ended, so agents are asked again."""
        is_backing_off = self.state is RoundState.RESTING
        return is_backing_off and now_ms >= self.retry_at_ms

    def back_off_until(self, until_ms: int) -> None:
        """Ask no agent before the given time.

        :param until_ms: end of the backoff on the clock of the home.
        """
        self.backoffs += 1
        self.state = RoundState.RESTING
        self.retry_at_ms = until_ms

    def best_load_offer(self) -> Bid | None:
        """Return the cheapest bid to load a new replica, if there is one."""
        loads = [bid for bid in self.bids.values() if _offers_load(bid)]
        if not loads:
            return None
        return min(loads, key=lambda bid: (cost_ms(bid), bid.agent))

    def losing_bidders(self, winner: str = '') -> list[str]:
        """Return the agents whose reserved memory can be released.

        :param winner: agent that loads the replica; empty for none.
        """
        return sorted(
            agent
            for agent in self.asked
            if agent != winner and self._may_hold_reservation(agent)
        )

    def _may_hold_reservation(self, agent: str) -> bool:
        bid = self.bids.get(agent)
        return bid is None or _offers_load(bid)


def cost_ms(bid: Bid) -> int:
    """Sum the first request's predicted wait and the cost of evictions."""
    return bid.ready_in_ms + bid.wait_ms + bid.eviction_cost_ms


def _offers_load(bid: Bid) -> bool:
    return bid.refusal is None and bid.tier not in _REPLICA_TIERS
