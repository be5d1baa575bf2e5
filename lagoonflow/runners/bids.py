"""Bids for models, and the decisions that accept them."""

import dataclasses

from lagoonflow.placement.messages import Bid, BidRequest, Decision, Tier
from lagoonflow.releases.messages import ModelSpec
from lagoonflow.results import Refusal, Result
from lagoonflow.runners.eviction import (
    Candidate,
    Eviction,
    choose_eviction,
)
from lagoonflow.runners.keepalive import KeepAlive
from lagoonflow.runners.messages import ReplicaKey
from lagoonflow.runners.replica import ReplicaState, State
from lagoonflow.runners.replicas import Replicas
from lagoonflow.runners.scheduler import Scheduler
from lagoonflow.runners.settings import RunnerSettings
from lagoonflow.streams.messages import Versions

# Evicting a replica whose next request is this far away costs a tenth of its
# reload time.
EVICTION_HORIZON_MS = 60_000
# Executed decisions that are remembered, to refuse repeated ones.
_MAX_EXECUTED_DECISIONS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class _OpenBid:
    """A bid whose reservation has not expired or been claimed.

    :param victims: replicas that the load would evict.
    """

    key: ReplicaKey
    victims: tuple[ReplicaKey, ...]
    expires_at_ms: int


class Bidder:
    """Bids on behalf of a runner and executes each decision at most once.

    :ivar permit_wait_ms: average wait for a permit of the weight store.
    """

    def __init__(
        self,
        settings: RunnerSettings,
        replicas: Replicas,
        scheduler: Scheduler,
        keep_alive: KeepAlive,
    ) -> None:
        self._agent = settings.agent
        self._replicas = replicas
        self._scheduler = scheduler
        self._keep_alive = keep_alive
        self._bid_lifetime_ms = settings.bid_lifetime_ms
        self._bids: dict[str, _OpenBid] = {}
        self._executed_decisions: dict[str, None] = {}
        self.permit_wait_ms = float(0)

    def bid(
        self,
        now_ms: int,
        request: BidRequest,
        spec: ModelSpec,
        versions: Versions,
    ) -> Bid:
        """Bid for a model; reserve memory when it has no replica here."""
        self.expire(now_ms)
        replica = self._replicas.find_accepting(request.model)
        wait_ms = round(
            self._scheduler.wait_predictor.probe_wait_ms(now_ms, request.model)
        )
        empty = _empty_bid(request.bid_id, self._agent, versions)
        bid = dataclasses.replace(empty, wait_ms=wait_ms)
        if replica is not None:
            return dataclasses.replace(
                bid,
                tier=Tier.READY if replica.is_ready else Tier.LOADING,
                ready_in_ms=self._replicas.ready_in_ms(now_ms, replica),
            )
        return self._bid_for_load(now_ms, bid, request.model, spec)

    def execute_decision(
        self,
        now_ms: int,
        decision: Decision,
        spec: ModelSpec,
    ) -> Refusal | None:
        """Claim the memory that a bid reserved and drain its victims.

        :returns: a refusal when the bid can't be honoured any more.
        """
        self.expire(now_ms)
        if decision.decision_id in self._executed_decisions:
            return Refusal(
                Result.DECISION_REPEATED, 'The decision was executed already.'
            )
        bid = self._bids.pop(decision.bid_id, None)
        if bid is None:
            return Refusal(
                Result.RESERVATION_LOST, 'The bid has expired or was withdrawn.'
            )
        self._replicas.memory.reservations.withdraw(decision.bid_id)
        key = ReplicaKey(decision.model, spec.version)
        if bid.key != key or key in self._replicas.table:
            return Refusal(
                Result.RESERVATION_LOST,
                'The model was loaded or its version changed.',
            )
        eviction = self._choose_eviction(now_ms, spec.memory_mb, key.model)
        if eviction is None:
            return Refusal(
                Result.RESERVATION_LOST, 'Not enough memory is left.'
            )
        self._record_executed(decision.decision_id)
        for victim in eviction.victims:
            self._replicas.drain(self._replicas.table[victim])
        load_starts_in_ms = self._load_starts_in_ms(eviction, key)
        self._replicas.add(
            now_ms, key, spec, decision.decision_id, load_starts_in_ms
        )
        return None

    def withdraw(self, bid_id: str) -> None:
        """Release the memory of a bid that was not accepted."""
        self._bids.pop(bid_id, None)
        self._replicas.memory.reservations.withdraw(bid_id)

    def expire(self, now_ms: int) -> None:
        """Drop the bids whose reservation has expired."""
        self._replicas.memory.reservations.expire(now_ms)
        for bid_id, bid in tuple(self._bids.items()):
            if bid.expires_at_ms <= now_ms:
                self._bids.pop(bid_id)

    def withdraw_all(self) -> None:
        """Drop all bids and their reservations."""
        self._bids.clear()
        self._replicas.memory.reservations.withdraw_all()

    def obtainable_mb(self) -> int:
        """Memory that a replica could get without an eviction.

        It includes memory that draining and unloading replicas will free.
        """
        return (
            self._replicas.memory.available_for_replicas_mb
            + self._being_freed_mb()
        )

    def _bid_for_load(
        self,
        now_ms: int,
        bid: Bid,
        model: str,
        spec: ModelSpec,
    ) -> Bid:
        if spec.memory_mb > self._replicas.memory.largest_replica_mb:
            return _with_refusal(
                bid,
                Result.MODEL_DOES_NOT_FIT,
                'The model is larger than the memory of the runner.',
            )
        key = ReplicaKey(model, spec.version)
        eviction = self._choose_eviction(now_ms, spec.memory_mb, model)
        if eviction is None or key in self._replicas.table:
            return _with_refusal(
                bid, Result.NO_RUNNER, 'Not enough memory is free.'
            )
        needed_mb = max(0, spec.memory_mb - eviction.freed_mb)
        expires_at_ms = now_ms + self._bid_lifetime_ms
        self._replicas.memory.reservations.add(
            bid.bid_id, needed_mb, expires_at_ms
        )
        self._bids[bid.bid_id] = _OpenBid(key, eviction.victims, expires_at_ms)
        tier = self._replicas.tier(key)
        load_ms = self._replicas.predictor.load_ms(model, tier, spec.memory_mb)
        return dataclasses.replace(
            bid,
            tier=tier,
            ready_in_ms=self._load_starts_in_ms(eviction, key) + round(load_ms),
            eviction_cost_ms=eviction.cost_ms,
            reserved_for_ms=self._bid_lifetime_ms,
        )

    def _load_starts_in_ms(self, eviction: Eviction, key: ReplicaKey) -> int:
        load_starts_in_ms = eviction.drain_ms
        if eviction.victims:
            load_starts_in_ms += round(self._replicas.predictor.unload_ms)
        if self._replicas.tier(key) is Tier.REMOTE:
            load_starts_in_ms = max(
                load_starts_in_ms, round(self.permit_wait_ms)
            )
        return load_starts_in_ms

    def _choose_eviction(
        self,
        now_ms: int,
        memory_mb: int,
        model: str,
    ) -> Eviction | None:
        shortage_mb = memory_mb - self.obtainable_mb()
        chosen_by_other_bids = {
            victim for bid in self._bids.values() for victim in bid.victims
        }
        candidates = [
            self._candidate(now_ms, replica)
            for replica in self._replicas.table.values()
            if replica.is_ready
            and replica.key.model != model
            and replica.key not in chosen_by_other_bids
        ]
        return choose_eviction(shortage_mb, candidates, EVICTION_HORIZON_MS)

    def _candidate(self, now_ms: int, replica: ReplicaState) -> Candidate:
        model = replica.key.model
        idle_ms = now_ms - replica.last_used_ms
        tier = self._replicas.tier(replica.key)
        return Candidate(
            key=replica.key,
            memory_mb=replica.memory_mb,
            reload_ms=self._replicas.predictor.load_ms(
                model, tier, replica.memory_mb
            ),
            next_use_ms=self._keep_alive.next_use_ms(model, idle_ms),
            drain_ms=self._scheduler.wait_predictor.drain_ms(
                now_ms, replica.key
            ),
        )

    def _being_freed_mb(self) -> int:
        return sum(
            replica.memory_mb
            for replica in self._replicas.table.values()
            if replica.state in {State.DRAINING, State.UNLOADING}
        )

    def _record_executed(self, decision_id: str) -> None:
        self._executed_decisions[decision_id] = None
        if len(self._executed_decisions) > _MAX_EXECUTED_DECISIONS:
            self._executed_decisions.pop(next(iter(self._executed_decisions)))


def build_refused_bid(
    bid_id: str,
    agent: str,
    versions: Versions,
    refusal: Refusal,
) -> Bid:
    """Build the bid of an agent that refuses to load the model."""
    bid = _empty_bid(bid_id, agent, versions)
    return dataclasses.replace(bid, refusal=refusal)


def _empty_bid(bid_id: str, agent: str, versions: Versions) -> Bid:
    return Bid(
        bid_id=bid_id,
        agent=agent,
        tier=Tier.REMOTE,
        ready_in_ms=0,
        wait_ms=0,
        eviction_cost_ms=0,
        reserved_for_ms=0,
        versions=versions,
    )


def _with_refusal(bid: Bid, code: Result, reason: str) -> Bid:
    return dataclasses.replace(bid, refusal=Refusal(code, reason))
