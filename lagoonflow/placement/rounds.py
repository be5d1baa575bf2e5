"""One round of bids for one model."""

import dataclasses
import enum

from lagoonflow.placement.messages import Bid, Decision, LocateRequest, Tier
from lagoonflow.results import Result

_REPLICA_TIERS = frozenset((Tier.READY, Tier.LOADING))


class RoundState(enum.StrEnum):
    """What a round waits for."""

    BIDDING = 'bidding'
    DECIDED = 'decided'
    RESTING = 'resting'


@dataclasses.dataclass(frozen=True, slots=True)
class Waiter:
    """A locate request that waits for the outcome."""

    request_number: int
    request: LocateRequest
    deadline_ms: int


@dataclasses.dataclass(slots=True)
class BidRound:
    """Collects the bids of one round and keeps who waits for it.

    :param is_gathering: wait for all agents, as the home is new.
    :param worth_ms: wait that a further replica has to beat; 0 when
        requests wait for the first one.
    :param resumes_at_ms: when a resting round asks again.
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
        """Add a bid, or an agent's refusal to bid."""
        self.answered.add(bid.agent)
        self.bids[bid.agent] = bid

    def mark_unreachable(self, agent: str) -> None:
        """Note that an agent can't be reached."""
        self.answered.add(agent)

    def is_complete(self) -> bool:
        """Whether all asked agents have answered."""
        return self.answered >= self.asked

    def has_usable_bid(self) -> bool:
        """Whether the round need not wait for those still silent."""
        if self.is_gathering:
            return False
        return any(bid.refusal is None for bid in self.bids.values())

    def is_too_large_for_all(self) -> bool:
        """Whether the model is larger than each of the asked runners."""
        refusals = [bid.refusal for bid in self.bids.values()]
        codes = {refusal.code for refusal in refusals if refusal is not None}
        return codes == {Result.MODEL_DOES_NOT_FIT}

    def is_retry_due(self, now_ms: int) -> bool:
        """Whether a resting round asks again."""
        is_resting = self.state is RoundState.RESTING
        return is_resting and now_ms >= self.retry_at_ms

    def back_off_until(self, now_ms: int) -> None:
        """Ask nobody before this time."""
        self.backoffs += 1
        self.state = RoundState.RESTING
        self.retry_at_ms = now_ms

    def best_load_offer(self) -> Bid | None:
        """Find the best bid to load a replica."""
        loads = [bid for bid in self.bids.values() if _offers_load(bid)]
        if not loads:
            return None
        return min(loads, key=lambda bid: (cost_ms(bid), bid.agent))

    def losing_bidders(self, winner: str = '') -> list[str]:
        """Agents whose reservations nobody needs any more."""
        return sorted(
            agent
            for agent in self.asked
            if agent != winner and self._may_hold_reservation(agent)
        )

    def _may_hold_reservation(self, agent: str) -> bool:
        bid = self.bids.get(agent)
        return bid is None or _offers_load(bid)


def cost_ms(bid: Bid) -> int:
    """Predicted wait of the first request, with what it costs others."""
    return bid.ready_in_ms + bid.wait_ms + bid.eviction_cost_ms


def _offers_load(bid: Bid) -> bool:
    return bid.refusal is None and bid.tier not in _REPLICA_TIERS
