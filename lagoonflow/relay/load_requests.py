"""Requests to load the models and adapters that this router's calls need."""

import collections
import dataclasses
from collections.abc import Container, Set

from lagoonflow.gossip.messages import LoadRequest
from lagoonflow.relay.admission import AdmittedCall
from lagoonflow.waking.store_turns import PERIOD_MS

# A call is refused if its model would be loaded too late. Its load request is
# kept for this long, so that later calls find the model loaded.
KEEP_AFTER_REFUSAL_MS = 2000
# The same if the model must be loaded from the weight store: about the time of
# such a load.
STORE_KEEP_AFTER_REFUSAL_MS = 8000
# The same while more models wait for the store than it can load soon: longer
# than the callers of a rarely used model take until they request it again.
UNSERVED_KEEP_MS = 60_000
# Models whose calls were refused that are kept at most.
MAX_UNSERVED = 512
# Refused requests of a model that are counted at most.
MAX_COUNTED_REQUESTS = 200
# Most periods that are told apart; earlier ones count as one.
MAX_PERIODS = 16
# Refused calls that are kept for one load at most.
MAX_KEPT = 100


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRequest:
    """The model and adapter that one call needs at a runner.

    :param expires_at_ms: boot time at which the call's deadline has passed or,
        after a refusal, at which its load request is no longer kept.
    """

    instance: str
    model: str
    adapter: str
    urgency: int
    expires_at_ms: float

    @property
    def key(self) -> tuple[str, str, str]:
        """The runner, and what it is to load."""
        return self.instance, self.model, self.adapter


@dataclasses.dataclass(slots=True)
class _UnservedModel:
    """A model of refused calls that waits for its turn at the weight store.

    :ivar pending: load request of the latest refused call.
    :ivar since_ms: boot time of the first refusal.
    :ivar requests: boot times of refused requests by their fingerprints. A
        caller's repeats count once.
    """

    pending: _PendingRequest
    since_ms: float
    requests: dict[str, float]


class LoadRequests:
    """Load requests of waiting and refused calls, by runner."""

    def __init__(self) -> None:
        """Start without load requests."""
        self._waiting: dict[int, _PendingRequest] = {}
        self._kept: dict[
            tuple[str, str, str], collections.deque[_PendingRequest]
        ] = {}
        self._unserved: dict[str, _UnservedModel] = {}

    @property
    def unserved_count(self) -> int:
        """Number of models of refused calls that wait for the store."""
        return len(self._unserved)

    def put(self, admitted: AdmittedCall, instance: str) -> bool:
        """Set the load request of a waiting call.

        :return: whether it differs from the call's earlier one.
        """
        pending = _pending_request(admitted, instance, admitted.deadline_at_ms)
        is_new = self._waiting.get(id(admitted)) != pending
        self._waiting[id(admitted)] = pending
        return is_new

    def remove(self, admitted: AdmittedCall) -> None:
        """Remove the load request of a call that does not wait any more."""
        self._waiting.pop(id(admitted), None)

    def keep_after_refusal(
        self,
        admitted: AdmittedCall,
        instance: str,
        now_ms: float,
        *,
        is_from_store: bool = False,
    ) -> None:
        """Keep the load request of a refused call for a while.

        :param is_from_store: the load must come from the weight store, which
            takes longer.
        """
        keep_ms = (
            STORE_KEEP_AFTER_REFUSAL_MS
            if is_from_store
            else KEEP_AFTER_REFUSAL_MS
        )
        pending = _pending_request(admitted, instance, now_ms + keep_ms)
        kept = self._kept.setdefault(
            pending.key, collections.deque(maxlen=MAX_KEPT)
        )
        kept.append(pending)

    def keep_until_served(
        self, admitted: AdmittedCall, instance: str, now_ms: float
    ) -> None:
        """Keep the load request of a refused call until its model is loaded.

        It is dropped when no other call for the model has been refused for a
        while.
        """
        pending = _pending_request(
            admitted, instance, now_ms + UNSERVED_KEEP_MS
        )
        unserved = self._unserved.pop(pending.model, None)
        if unserved is None:
            unserved = _UnservedModel(pending, now_ms, {})
        unserved.pending = pending
        if len(unserved.requests) < MAX_COUNTED_REQUESTS:
            fingerprint = admitted.fingerprint or admitted.call.request_id
            unserved.requests.setdefault(fingerprint, now_ms)
        self._unserved[pending.model] = unserved
        if len(self._unserved) > MAX_UNSERVED:
            self._unserved.pop(next(iter(self._unserved)))

    def drop_served(self, models: Set[str]) -> None:
        """Drop the kept requests for models that runners have now."""
        for model in self._unserved.keys() & models:
            self._unserved.pop(model)

    def for_runner(
        self, instance: str, now_ms: float
    ) -> tuple[LoadRequest, ...]:
        """Return one request for each model and adapter to load at a runner."""
        return self.by_runner(now_ms).get(instance, ())

    def by_runner(
        self, now_ms: float, usable: Container[str] | None = None
    ) -> dict[str, tuple[LoadRequest, ...]]:
        """Return one request for each model and adapter, by runner.

        Refused calls count like waiting ones: their callers come back.

        :param usable: ids of the runners that may get requests; ``None`` for
            all.
        """
        requests: dict[str, tuple[LoadRequest, ...]] = {}
        for key, pending_requests in self._by_key(now_ms).items():
            if usable is not None and key[0] not in usable:
                continue
            unserved = self._unserved.get(key[1])
            if unserved is not None and unserved.pending.key != key:
                unserved = None
            request = _load_request(key, pending_requests, now_ms, unserved)
            requests[key[0]] = (*requests.get(key[0], ()), request)
        return requests

    def _by_key(
        self, now_ms: float
    ) -> dict[tuple[str, str, str], list[_PendingRequest]]:
        self._drop_expired(now_ms)
        groups = {key: list(kept) for key, kept in self._kept.items()}
        unserved = [one.pending for one in self._unserved.values()]
        for pending in (*unserved, *self._waiting.values()):
            groups.setdefault(pending.key, []).append(pending)
        return groups

    def _drop_expired(self, now_ms: float) -> None:
        expired = [
            model
            for model, unserved in self._unserved.items()
            if unserved.pending.expires_at_ms <= now_ms
        ]
        for model in expired:
            self._unserved.pop(model)
        for key, kept in list(self._kept.items()):
            while kept and kept[0].expires_at_ms <= now_ms:
                kept.popleft()
            if not kept:
                self._kept.pop(key)


def _pending_request(
    admitted: AdmittedCall, instance: str, expires_at_ms: float
) -> _PendingRequest:
    call = admitted.call
    return _PendingRequest(
        instance, call.model, call.adapter, admitted.urgency, expires_at_ms
    )


def _load_request(
    key: tuple[str, str, str],
    pending_requests: list[_PendingRequest],
    now_ms: float,
    unserved: _UnservedModel | None,
) -> LoadRequest:
    left_ms = (
        max(pending.expires_at_ms for pending in pending_requests) - now_ms
    )
    return LoadRequest(
        model=key[1],
        adapter=key[2],
        waiting=len(pending_requests),
        urgency=min(pending.urgency for pending in pending_requests),
        deadline_left_ms=max(int(left_ms), 0),
        unserved_ms=0 if unserved is None else int(now_ms - unserved.since_ms),
        refused=0 if unserved is None else len(unserved.requests),
        refused_periods=_refused_periods(unserved, now_ms),
    )


def _refused_periods(unserved: _UnservedModel | None, now_ms: float) -> int:
    """Return the periods in which requests were refused, as bits."""
    periods = 0
    if unserved is not None:
        for refused_ms in unserved.requests.values():
            age = int((now_ms - refused_ms) // PERIOD_MS)
            periods |= 1 << min(age, MAX_PERIODS - 1)
    return periods
