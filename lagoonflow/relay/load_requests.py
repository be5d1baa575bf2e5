"""Models and adapters that requests at this router wait for."""

import dataclasses

from lagoonflow.gossip.messages import Wish
from lagoonflow.relay.admission import AdmittedCall

# A wish of a request that was refused, because its model would come too late,
# is kept for those who come after it, in ms.
KEEP_AFTER_REFUSAL_MS = 2000
# The same for a model that must be loaded from the weight store: about the
# time of such a load, in ms.
STORE_KEEP_AFTER_REFUSAL_MS = 8000


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRequest:
    """What one request hopes for.

    :param until_ms: when the request, or its lingering wish, has ended.
    """

    instance: str
    model: str
    adapter: str
    urgency: int
    expires_at_ms: float


class LoadRequests:
    """Which runner each waiting request hopes for."""

    def __init__(self) -> None:
        """Start without requests."""
        self._waiting: dict[int, _PendingRequest] = {}
        self._kept: dict[tuple[str, str, str], _PendingRequest] = {}

    def put(self, admitted: AdmittedCall, instance: str) -> bool:
        """Note what a request waits for; tells whether that is new."""
        pending = _pending_request(admitted, instance, admitted.deadline_at_ms)
        is_new = self._waiting.get(id(admitted)) != pending
        self._waiting[id(admitted)] = pending
        return is_new

    def remove(self, admitted: AdmittedCall) -> None:
        """Note that a request does not wait any more."""
        self._waiting.pop(id(admitted), None)

    def keep_after_refusal(
        self,
        admitted: AdmittedCall,
        instance: str,
        now_ms: float,
        *,
        is_from_store: bool = False,
    ) -> None:
        """Keep the wish of a request that is refused for a while."""
        keep_ms = (
            STORE_KEEP_AFTER_REFUSAL_MS
            if is_from_store
            else KEEP_AFTER_REFUSAL_MS
        )
        pending = _pending_request(admitted, instance, now_ms + keep_ms)
        self._kept[(instance, pending.model, pending.adapter)] = pending

    def for_runner(
        self, instance: str, now_ms: float
    ) -> tuple[LoadRequest, ...]:
        """Wishes for one runner."""
        self._kept = {
            key: pending
            for key, pending in self._kept.items()
            if pending.expires_at_ms > now_ms
        }
        groups: dict[tuple[str, str], list[_PendingRequest]] = {}
        for pending in (*self._waiting.values(), *self._kept.values()):
            if pending.instance == instance:
                key = (pending.model, pending.adapter)
                groups.setdefault(key, []).append(pending)
        return tuple(
            _load_request(key, pending_requests, now_ms)
            for key, pending_requests in groups.items()
        )


def _pending_request(
    admitted: AdmittedCall, instance: str, expires_at_ms: float
) -> _PendingRequest:
    call = admitted.call
    return _PendingRequest(
        instance, call.model, call.adapter, admitted.urgency, expires_at_ms
    )


def _load_request(
    key: tuple[str, str], pending_requests: list[_PendingRequest], now_ms: float
) -> Wish:
    left_ms = (
        max(pending.expires_at_ms for pending in pending_requests) - now_ms
    )
    return Wish(
        model=key[0],
        adapter=key[1],
        waiting=len(pending_requests),
        urgency=min(pending.urgency for pending in pending_requests),
        deadline_left_ms=max(int(left_ms), 0),
    )
