"""Table of attempts at an agent, which lets each run at most once."""

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
class AttemptTableLimits:
    """Limits of an attempt table.

    :param max_open: most attempts that are queued or running at once.
    :param max_ended: most ended attempts and tombstones that are kept.
    :param retention_ms: time in ms for which these are kept; longer than any
        deadline plus the time to revoke an attempt.
    """

    max_open: int = 4096
    max_ended: int = 50_000
    retention_ms: int = 600_000


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The attempt is new; it is now queued."""


@dataclasses.dataclass(frozen=True, slots=True)
class Resumed:
    """The attempt is known: its stream is resumed and it does not run again."""

    state: AttemptState


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The attempt is not queued and does not run."""

    state: AttemptState
    refusal: Refusal


Registration = Admitted | Resumed | Rejected

_RouterProcess = tuple[str, str]


@dataclasses.dataclass(slots=True)
class _Entry:
    state: AttemptState
    router: _RouterProcess
    sequence: int
    ended_ms: int = 0


class AttemptTable:
    """Keeps the state of the attempts that an agent process has received.

    Ended attempts and tombstones are dropped after the retention time, or
    earlier when there are too many. For each router process the table then
    keeps the highest sequence number it has dropped: a message about an
    attempt that is not in the table and has no higher number may be a late
    copy, so its state is reported as ``UNKNOWN``. The same holds for messages
    addressed to an earlier agent process.
    """

    def __init__(
        self, nonce: str, limits: AttemptTableLimits | None = None
    ) -> None:
        """Start with no attempts.

        :param nonce: identifies this agent process.
        """
        self.nonce = nonce
        self.open_count = 0
        self._limits = limits or AttemptTableLimits()
        self._entries: dict[AttemptId, _Entry] = {}
        self._ended: dict[AttemptId, None] = {}
        self._dropped_up_to: dict[_RouterProcess, int] = {}

    def state(self, attempt: AttemptId) -> AttemptState:
        """Return the state of an attempt, ``UNKNOWN`` if it is not listed."""
        entry = self._entries.get(attempt)
        return entry.state if entry else AttemptState.UNKNOWN

    def register(self, request: AttemptRequest, now_ms: int) -> Registration:
        """Queue a new attempt, or report that it is known or rejected."""
        self.expire(now_ms)
        entry = self._entries.get(request.attempt)
        if entry is None:
            return self._admit(request)
        if entry.state is AttemptState.REVOKED:
            return Rejected(entry.state, _revoked())
        return Resumed(entry.state)

    def start(self, attempt: AttemptId) -> bool:
        """Mark a queued attempt as started.

        :returns: false if the attempt must not start, such as a revoked one.
        """
        entry = self._entries.get(attempt)
        if entry is None or entry.state is not AttemptState.QUEUED:
            return False
        entry.state = AttemptState.STARTED
        return True

    def finish(self, attempt: AttemptId, now_ms: int) -> None:
        """Mark an attempt as finished, whether it succeeded or failed."""
        self._end(attempt, AttemptState.FINISHED, now_ms)

    def withdraw(self, attempt: AttemptId, now_ms: int) -> None:
        """Mark an attempt that was removed from the queue as revoked."""
        self._end(attempt, AttemptState.REVOKED, now_ms)

    def revoke(self, request: RevokeRequest, now_ms: int) -> AttemptState:
        """Return the state of an attempt; add a tombstone if it is not listed.

        If the attempt is queued, the caller removes it from the queue and then
        calls :meth:`withdraw`. If an earlier process may have run the attempt,
        or its entry may have been dropped, the state is ``UNKNOWN``; the
        tombstone still keeps it from running from now on.
        """
        self.expire(now_ms)
        entry = self._entries.get(request.attempt)
        if entry is not None:
            return entry.state
        state = AttemptState.REVOKED
        if self._may_have_run_unrecorded(request):
            state = AttemptState.UNKNOWN
        self._add_tombstone(request, now_ms)
        return state

    def expire(self, now_ms: int) -> None:
        """Drop ended attempts and tombstones that need not be kept.

        These are the ones past the retention time, and the oldest ones above
        the maximum number.
        """
        oldest_ms = now_ms - self._limits.retention_ms
        while self._ended:
            attempt = next(iter(self._ended))
            entry = self._entries[attempt]
            is_kept = entry.ended_ms > oldest_ms
            if is_kept and len(self._ended) <= self._limits.max_ended:
                return
            self._drop(attempt, entry)

    def _admit(self, request: AttemptRequest) -> Registration:
        rejection = self._check_new(request)
        if rejection is not None:
            return rejection
        self._entries[request.attempt] = _Entry(
            AttemptState.QUEUED, _router_process(request), request.sequence
        )
        self.open_count += 1
        return Admitted()

    def _check_new(self, request: AttemptRequest) -> Rejected | None:
        if request.is_resumption and request.next_index:
            return _outcome_unknown(
                'this agent process never received the attempt'
            )
        if request.agent_nonce not in {'', self.nonce}:
            if request.is_resumption:
                return _outcome_unknown(
                    'the agent process that had the attempt is gone'
                )
            refusal = Refusal(
                Result.STALE_VIEW,
                'the request is addressed to an earlier agent process',
            )
            return Rejected(AttemptState.UNKNOWN, refusal)
        if self._may_have_run_unrecorded(
            request, is_first=not request.is_resumption
        ):
            return _outcome_unknown(
                'the attempt may have run, and its record may have been dropped'
            )
        if self.open_count >= self._limits.max_open:
            refusal = Refusal(
                Result.TOO_MANY_WAITING, 'the agent has too many open attempts'
            )
            return Rejected(AttemptState.UNKNOWN, refusal)
        return None

    def _may_have_run_unrecorded(
        self, request: AttemptRequest | RevokeRequest, *, is_first: bool = False
    ) -> bool:
        if request.agent_nonce != self.nonce and not is_first:
            return True
        dropped_up_to = self._dropped_up_to.get(_router_process(request), 0)
        return 0 < request.sequence <= dropped_up_to

    def _add_tombstone(self, request: RevokeRequest, now_ms: int) -> None:
        self._entries[request.attempt] = _Entry(
            AttemptState.REVOKED,
            _router_process(request),
            request.sequence,
            now_ms,
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

    def _drop(self, attempt: AttemptId, entry: _Entry) -> None:
        self._ended.pop(attempt)
        self._entries.pop(attempt)
        dropped_up_to = self._dropped_up_to.get(entry.router, 0)
        self._dropped_up_to[entry.router] = max(dropped_up_to, entry.sequence)


def _router_process(request: AttemptRequest | RevokeRequest) -> _RouterProcess:
    return (request.router, request.router_nonce)


def _revoked() -> Refusal:
    return Refusal(Result.REVOKED, 'the attempt was revoked')


def _outcome_unknown(reason: str) -> Rejected:
    refusal = Refusal(Result.OUTCOME_UNKNOWN, reason, not_run=False)
    return Rejected(AttemptState.UNKNOWN, refusal)
