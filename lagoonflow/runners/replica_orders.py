"""Orders loads and unloads of replicas and requests permits for loads."""

import dataclasses
from collections.abc import Callable, Iterator

from lagoonflow.placement.messages import PermitRequest, Tier
from lagoonflow.runners.messages import (
    Action,
    OrderLoad,
    OrderUnload,
    PollListing,
    SendPermitRequest,
)
from lagoonflow.runners.replica import Event, ReplicaState, State
from lagoonflow.runners.replicas import Replicas
from lagoonflow.streams.messages import Versions

PERMIT_TIMEOUT_MS = 3_000
# Age at which a load without a permit is dropped when no request waits.
ABANDON_AFTER_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingSummary:
    """Summary of the queued attempts of one model.

    :param deadline_ms: earliest deadline, on the agent's clock.
    :param served_ratio: lowest share of served requests among their
        organisations.
    """

    count: int = 0
    deadline_ms: int = 0
    served_ratio: float = 1


SummariseWaiting = Callable[[str], WaitingSummary]


class ReplicaOrders:
    """Advances replicas as far as memory, permits and open orders allow."""

    def __init__(self, agent: str, replicas: Replicas) -> None:
        self._agent = agent
        self._replicas = replicas
        self._orders = replicas.orders

    def due_actions(
        self,
        now_ms: int,
        summarise_waiting: SummariseWaiting,
        versions: Versions,
    ) -> Iterator[Action]:
        """Return the orders and permit requests that are due."""
        self._replicas.memory.grant_claims()
        for replica in tuple(self._replicas.table.values()):
            waiting = summarise_waiting(replica.key.model)
            if self._is_abandoned(now_ms, replica, waiting):
                self._replicas.remove(replica, Event.VANISH)
            elif replica.state == State.RESERVED:
                yield from self._load_when_allowed(
                    now_ms, replica, waiting, versions
                )
            elif self._can_unload(now_ms, replica, waiting):
                yield from self._unload(now_ms, replica)

    def _load_when_allowed(
        self,
        now_ms: int,
        replica: ReplicaState,
        waiting: WaitingSummary,
        versions: Versions,
    ) -> Iterator[Action]:
        if (
            not self._replicas.memory.is_allocated(replica.key)
            or now_ms < replica.retry_at_ms
        ):
            return
        replica.tier = self._replicas.tier(replica.key)
        if replica.tier is not Tier.REMOTE or replica.has_permit:
            yield from self._load(now_ms, replica)
        elif not replica.permit_id or self._is_permit_overdue(now_ms, replica):
            yield self._request_permit(now_ms, replica, waiting, versions)

    def _is_abandoned(
        self,
        now_ms: int,
        replica: ReplicaState,
        waiting: WaitingSummary,
    ) -> bool:
        """Tell whether a load without permit has no waiting request any more.

        A replica beside others of its model is kept: it is a scale-out or
        an upgrade.
        """
        if replica.state != State.RESERVED or replica.has_permit:
            return False
        if waiting.count or now_ms - replica.created_at_ms < ABANDON_AFTER_MS:
            return False
        others = self._replicas.of_model(replica.key.model)
        return all(other is replica for other in others)

    def _is_permit_overdue(self, now_ms: int, replica: ReplicaState) -> bool:
        return now_ms - replica.permit_requested_at_ms > PERMIT_TIMEOUT_MS

    def _request_permit(
        self,
        now_ms: int,
        replica: ReplicaState,
        waiting: WaitingSummary,
        versions: Versions,
    ) -> SendPermitRequest:
        replica.permit_id = replica.permit_id or (
            f'{self._agent}/{replica.decision_id}/{now_ms}/{replica.failures}'
        )
        replica.permit_requested_at_ms = now_ms
        request = PermitRequest(
            permit_id=replica.permit_id,
            agent=self._agent,
            model=replica.key.model,
            waiting=waiting.count,
            deadline_in_ms=max(0, waiting.deadline_ms - now_ms),
            served_ratio=waiting.served_ratio,
            versions=versions,
        )
        return SendPermitRequest(request)

    def _load(self, now_ms: int, replica: ReplicaState) -> Iterator[Action]:
        key = replica.key
        fence = self._orders.open(now_ms, key, is_unload=False)
        load_ms = self._replicas.predictor.load_ms(
            key.model, replica.tier, replica.memory_mb
        )
        replica.fire(Event.ORDER)
        replica.ordered_at_ms = now_ms
        replica.listing_valid_from_ms = now_ms
        replica.predicted_load_ms = round(load_ms)
        replica.predicted_ready_ms = now_ms + round(load_ms)
        yield OrderLoad(
            fence,
            key,
            replica.checkpoint,
            replica.memory_mb,
            replica.decision_id,
        )
        yield PollListing()

    def _can_unload(
        self,
        now_ms: int,
        replica: ReplicaState,
        waiting: WaitingSummary,
    ) -> bool:
        if self._orders.is_open(replica.key) or replica.running:
            return False
        if any(self._orders.is_open(key) for key in replica.adapters):
            return False
        if replica.state == State.UNLOADING:
            return replica.needs_unload and now_ms >= replica.retry_at_ms
        if replica.state != State.DRAINING:
            return False
        return (
            not waiting.count
            or self._replicas.find_accepting(replica.key.model) is not None
        )

    def _unload(self, now_ms: int, replica: ReplicaState) -> Iterator[Action]:
        if replica.state == State.DRAINING:
            replica.fire(Event.UNLOAD)
        replica.needs_unload = False
        replica.listing_valid_from_ms = now_ms
        fence = self._orders.open(now_ms, replica.key, is_unload=True)
        yield OrderUnload(fence, replica.key)
        yield PollListing()
