"""Attempts that an agent knows of: each runs at most once."""

import dataclasses

from lagoonflow.calls.messages import (
    AttemptId,
    AttemptRequest,
    AttemptState,
    RevokeRequest,
)
from lagoonflow.results import Refusal, Result

RUNNING_STATES = frozenset((AttemptState.QUEUED, AttemptState.STARTED))


@dataclasses.dataclass(frozen=True, slots=True)
class TableLimits:
    """Bounds of an attempt table.

    :param max_open: attempts that may be queued or started at once.
    :param max_ended: ended attempts and tombstones that are remembered.
    :param retention_ms: how long these are remembered; longer than any
        deadline and the time to revoke together.
    """

    max_open: int = 4096
    max_ended: int = 50_000
    retention_ms: int = 600_000


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The attempt is new and is queued now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Resumed:
    """The attempt is known: its stream goes on, nothing runs again."""

    state: AttemptState


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The attempt is not queued."""

    state: AttemptState
    refusal: Refusal


Arrival = Admitted | Resumed | Rejected

_Router = tuple[str, str]


@dataclasses.dataclass(slots=True)
class _Entry:
    state: AttemptState
    router: _Router
    sequence: int
    ended_ms: int = 0


class AttemptTable:
    """Knows the state of every attempt since the agent process started.

    Ended attempts and tombstones are forgotten after the retention time, or
    earlier when there are too many. For each router process the table then
    keeps the highest forgotten sequence number: a message about an unknown
    attempt up to that number may be a late copy, and its state is answered
    as unknown. Messages meant for an earlier agent process likewise.
    """

    def __init__(self, nonce: str, limits: TableLimits | None = None) -> None:
        """Start empty.

        :param nonce: identifies this agent process.
        """
        self.nonce = nonce
        self.open_count = 0
        self._limits = limits or TableLimits()
        self._entries: dict[AttemptId, _Entry] = {}
        self._ended: dict[AttemptId, None] = {}
        self._floors: dict[_Router, int] = {}

    def state(self, attempt: AttemptId) -> AttemptState:
        """Return the state of an attempt; unknown ones are ``UNKNOWN``."""
        entry = self._entries.get(attempt)
        return entry.state if entry else AttemptState.UNKNOWN

    def arrive(self, request: AttemptRequest, now_ms: int) -> Arrival:
        """Admit a new attempt, or say how to go on with a known one."""
        self.expire(now_ms)
        entry = self._entries.get(request.attempt)
        if entry is None:
            return self._admit(request)
        if entry.state is AttemptState.REVOKED:
            return Rejected(entry.state, _revoked())
        return Resumed(entry.state)

    def start(self, attempt: AttemptId) -> bool:
        """Mark a queued attempt as started; return false if it may not."""
        entry = self._entries.get(attempt)
        if entry is None or entry.state is not AttemptState.QUEUED:
            return False
        entry.state = AttemptState.STARTED
        return True

    def finish(self, attempt: AttemptId, now_ms: int) -> None:
        """Mark an attempt as finished, whether it succeeded or failed."""
        self._end(attempt, AttemptState.FINISHED, now_ms)

    def withdraw(self, attempt: AttemptId, now_ms: int) -> None:
        """Turn an attempt that was taken out of the queue into a tombstone."""
        self._end(attempt, AttemptState.REVOKED, now_ms)

    def revoke(self, request: RevokeRequest, now_ms: int) -> AttemptState:
        """Return the state of an attempt; unseen ones get a tombstone.

        A queued one has to be taken out of the queue and then passed to
        :meth:`withdraw`. An attempt which an earlier process or a forgotten
        entry may have run stays unknown, though it will not run any more.
        """
        self.expire(now_ms)
        entry = self._entries.get(request.attempt)
        if entry is not None:
            return entry.state
        state = AttemptState.REVOKED
        if self._may_be_forgotten(request):
            state = AttemptState.UNKNOWN
        self._bury(request, now_ms)
        return state

    def expire(self, now_ms: int) -> None:
        """Forget what was ended before the retention time."""
        oldest_ms = now_ms - self._limits.retention_ms
        while self._ended:
            attempt = next(iter(self._ended))
            entry = self._entries[attempt]
            is_kept = entry.ended_ms > oldest_ms
            if is_kept and len(self._ended) <= self._limits.max_ended:
                return
            self._forget(attempt, entry)

    def _admit(self, request: AttemptRequest) -> Arrival:
        rejection = self._check_unseen(request)
        if rejection is not None:
            return rejection
        self._entries[request.attempt] = _Entry(
            AttemptState.QUEUED, _router_of(request), request.sequence
        )
        self.open_count += 1
        return Admitted()

    def _check_unseen(self, request: AttemptRequest) -> Rejected | None:
        if request.is_resumption and request.next_index:
            return _unknown('this agent process never had the attempt')
        if request.agent_nonce not in {'', self.nonce}:
            if request.is_resumption:
                return _unknown('the agent process that had it is gone')
            refusal = Refusal(Result.STALE_VIEW, 'meant for an earlier agent')
            return Rejected(AttemptState.UNKNOWN, refusal)
        if self._may_be_forgotten(request, is_first=not request.is_resumption):
            return _unknown('the attempt may have been forgotten')
        if self.open_count >= self._limits.max_open:
            refusal = Refusal(Result.TOO_MANY_WAITING, 'the agent is full')
            return Rejected(AttemptState.UNKNOWN, refusal)
        return None

    def _may_be_forgotten(
        self, request: AttemptRequest | RevokeRequest, *, is_first: bool = False
    ) -> bool:
        if request.agent_nonce != self.nonce and not is_first:
            return True
        floor = self._floors.get(_router_of(request), 0)
        return 0 < request.sequence <= floor

    def _bury(self, request: RevokeRequest, now_ms: int) -> None:
        self._entries[request.attempt] = _Entry(
            AttemptState.REVOKED, _router_of(request), request.sequence, now_ms
        )
        self._ended[request.attempt] = None

    def _end(
        self, attempt: AttemptId, state: AttemptState, now_ms: int
    ) -> None:
        entry = self._entries.get(attempt)
        if entry is None or entry.state not in RUNNING_STATES:
            return
        entry.state = state
        entry.ended_ms = now_ms
        self.open_count -= 1
        self._ended[attempt] = None

    def _forget(self, attempt: AttemptId, entry: _Entry) -> None:
        self._ended.pop(attempt)
        self._entries.pop(attempt)
        floor = self._floors.get(entry.router, 0)
        self._floors[entry.router] = max(floor, entry.sequence)


def _router_of(request: AttemptRequest | RevokeRequest) -> _Router:
    return (request.router, request.router_nonce)


def _revoked() -> Refusal:
    return Refusal(Result.REVOKED, 'the attempt was revoked')


def _unknown(reason: str) -> Rejected:
    refusal = Refusal(Result.OUTCOME_UNKNOWN, reason, not_run=False)
    return Rejected(AttemptState.UNKNOWN, refusal)
