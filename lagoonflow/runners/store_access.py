"""Permits for loads from the weight store, and loads without permits."""

from lagoonflow.placement.messages import PermitReply
from lagoonflow.runners.bids import Bidder
from lagoonflow.runners.messages import SendLoadReport
from lagoonflow.runners.replica import ReplicaState
from lagoonflow.runners.replicas import Replicas

_MS_PER_S = 1000
_AVERAGE_WEIGHT = 0.3


class StoreAccess:
    """Applies permits; limits the load rate when they are unavailable.

    :param share_per_s: loads each second without a permit while the home of
        the weight store is unreachable.
    """

    def __init__(
        self,
        replicas: Replicas,
        bidder: Bidder,
        share_per_s: float,
    ) -> None:
        self._replicas = replicas
        self._bidder = bidder
        self._interval_ms = round(_MS_PER_S / share_per_s)
        self._next_load_without_permit_ms = 0

    def on_permit(
        self,
        now_ms: int,
        reply: PermitReply,
    ) -> tuple[SendLoadReport, ...]:
        """Apply the answer to a permit request.

        :returns: a report that gives back a permit no replica needs.
        """
        replica = self._find(reply.permit_id)
        if replica is None and reply.is_granted:
            return (SendLoadReport(reply.permit_id, 0, is_loaded=False),)
        if replica is None:
            return ()
        if reply.is_granted:
            replica.has_permit = True
            self._update_permit_wait(now_ms - replica.created_at_ms)
        else:
            _retry_permit_at(replica, now_ms + reply.retry_after_ms)
        return ()

    def on_permit_unavailable(self, now_ms: int, permit_id: str) -> None:
        """Allow at most ``share_per_s`` loads each second without a permit.

        When that rate is used up, the permit is requested again later.
        """
        replica = self._find(permit_id)
        if replica is None:
            return
        if now_ms >= self._next_load_without_permit_ms:
            self._next_load_without_permit_ms = now_ms + self._interval_ms
            replica.has_permit = True
        else:
            _retry_permit_at(replica, self._next_load_without_permit_ms)

    def _find(self, permit_id: str) -> ReplicaState | None:
        for replica in self._replicas.table.values():
            if replica.permit_id == permit_id:
                return replica
        return None

    def _update_permit_wait(self, waited_ms: int) -> None:
        difference_ms = waited_ms - self._bidder.permit_wait_ms
        self._bidder.permit_wait_ms += _AVERAGE_WEIGHT * difference_ms


def _retry_permit_at(replica: ReplicaState, at_ms: int) -> None:
    replica.retry_at_ms = at_ms
    replica.permit_requested_at_ms = 0
