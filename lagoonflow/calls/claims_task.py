"""Claims calls that may run at most once and records their outcomes."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

from lagoonflow.calls import claim_records as records
from lagoonflow.calls.claim_records import ClaimKey, Outcome, OutcomeKind
from lagoonflow.calls.claims import Claim, ClaimsState
from lagoonflow.calls.settling import ClaimSettler, IsMember
from lagoonflow.clients.messages.log import Appended
from lagoonflow.clock import MS_PER_S
from lagoonflow.results import Refusal, Result
from lagoonflow.streams.envelope import Record
from lagoonflow.time_limits import time_limit

RETRY_AFTER_MS = 2000
LOG_TIMEOUT_MS = 2000
SWEEP_INTERVAL_MS = 1000
MAX_UNSETTLED = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimPorts:
    """Functions of the process that its claims depend on.

    :param append: appends a record to the claims stream, with a timeout in ms;
        if it returns a refusal, the record may still have been appended.
    :param is_log_reachable: returns whether the log service answers.
    :param is_member: returns whether the process of a name and a nonce is in
        the roster.
    :param clock_ms: returns monotonic time in ms.
    :param new_id: returns a unique id.
    """

    append: Callable[[Record, int], Awaitable[Appended | Refusal]]
    is_log_reachable: Callable[[], bool]
    is_member: IsMember
    clock_ms: Callable[[], int]
    new_id: Callable[[], str]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimGranted:
    """The claim came first: this process runs the call and settles it."""

    claim_id: str


class ClaimsTask:
    """Claims calls for one process and settles them.

    :param state: the state of the claims stream; :meth:`on_folded` has to be
        called after each record that is applied to it.
    """

    def __init__(
        self, state: ClaimsState, name: str, nonce: str, ports: ClaimPorts
    ) -> None:
        """Start without claims of this process.

        :param name: name of this process in the roster.
        :param nonce: identifies this process.
        """
        self._state = state
        self._name = name
        self._nonce = nonce
        self._ports = ports
        self._settler = ClaimSettler(name)
        self._folded = asyncio.Event()
        self._unsettled: dict[str, _UnsettledOutcome] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    async def claim(
        self, key: ClaimKey, body_digest: str, deadline_ms: int
    ) -> ClaimGranted | Outcome | Refusal:
        """Claim a call, or return the outcome of an earlier claim of its key.

        :param body_digest: digest of the request; a key that was used with
            another digest is refused.
        :param deadline_ms: when to stop waiting for the earlier claim's
            outcome, in ms on the monotonic clock.
        """
        answer = None
        while answer is None:
            found = self._state.find(key)
            if found is None:
                answer = await self._append_claim(key, body_digest, deadline_ms)
                continue
            answer = _known_answer(found, body_digest)
            if answer is None and not await self._wait_for_record(deadline_ms):
                answer = _claim_pending()
        return answer

    def settle(self, claim_id: str, outcome: Outcome) -> None:
        """Record the outcome of a claim that was granted.

        The record is appended again until the claims stream shows it.
        """
        self._unsettled[claim_id] = _UnsettledOutcome(outcome)
        self._append_settled(claim_id)

    def on_folded(self) -> None:
        """Wake the claims that wait for a record of the stream."""
        folded = self._folded
        self._folded = asyncio.Event()
        folded.set()

    async def run(self) -> None:
        """Append records that are due, at a regular interval, for ever."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_MS / MS_PER_S)
            self.sweep()

    def sweep(self) -> None:
        """Append the records that are due now.

        They settle claims of this process, close claims of processes that are
        gone and expire old outcomes.
        """
        if not self._ports.is_log_reachable():
            return
        now_ms = self._ports.clock_ms()
        for claim_id in list(self._unsettled):
            self._append_settled(claim_id)
        for record in self._settler.due_records(
            self._state, self._ports.is_member, now_ms
        ):
            self._append_in_background(_record_id(record, self._name), record)

    async def _append_claim(
        self, key: ClaimKey, body_digest: str, deadline_ms: int
    ) -> ClaimGranted | Refusal | None:
        """Append a claim; return ``None`` if another claim came first."""
        if self._state.is_full:
            return _too_many_claims()
        if not self._ports.is_log_reachable():
            return _log_unavailable()
        claim_id = self._ports.new_id()
        record = records.Claimed(
            claim_id, key, body_digest, self._name, self._nonce
        )
        limit_ms = self._ports.clock_ms() + LOG_TIMEOUT_MS
        winner = await self._append_and_wait(record, min(limit_ms, deadline_ms))
        if winner is not None and winner.record.claim_id != claim_id:
            return None
        is_late = self._ports.clock_ms() > limit_ms
        if winner is None or winner.outcome is not None or is_late:
            # The record may still reach the stream. It is then settled as not
            # run, so the call must not run here.
            self._abandon(claim_id)
            return _log_unavailable()
        return ClaimGranted(claim_id)

    async def _append_and_wait(
        self, record: records.Claimed, limit_ms: int
    ) -> Claim | None:
        is_stored = await self._append(record.claim_id, record, limit_ms)
        while is_stored:
            winner = self._state.find(record.key)
            if winner is not None:
                return winner
            if not await self._wait_for_record(limit_ms):
                break
        return None

    async def _wait_for_record(self, limit_ms: int) -> bool:
        left_ms = limit_ms - self._ports.clock_ms()
        with contextlib.suppress(TimeoutError):
            async with time_limit(max(0, left_ms), counts_stalls=True):
                return await self._folded.wait()
        return False

    def _abandon(self, claim_id: str) -> None:
        while len(self._unsettled) >= MAX_UNSETTLED:
            self._unsettled.pop(next(iter(self._unsettled)))
        outcome = Outcome(OutcomeKind.NOT_RUN)
        self._unsettled[claim_id] = _UnsettledOutcome(outcome)

    def _append_settled(self, claim_id: str) -> None:
        unsettled = self._unsettled[claim_id]
        claim = self._state.find_by_id(claim_id)
        if claim is None:
            if unsettled.was_seen:
                self._unsettled.pop(claim_id)
        elif claim.is_final:
            self._unsettled.pop(claim_id)
        else:
            unsettled.was_seen = True
            settled = records.Settled(claim_id, unsettled.outcome)
            self._append_in_background(f'{claim_id}/settled', settled)

    def _append_in_background(
        self, record_id: str, record: records.ClaimRecord
    ) -> None:
        limit_ms = self._ports.clock_ms() + LOG_TIMEOUT_MS
        task = asyncio.create_task(self._append(record_id, record, limit_ms))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _append(
        self, record_id: str, record: records.ClaimRecord, limit_ms: int
    ) -> bool:
        timeout_ms = max(0, limit_ms - self._ports.clock_ms())
        kind = records.kind_of(record)
        appended = await self._ports.append(
            Record(record_id, kind, record), timeout_ms
        )
        return isinstance(appended, Appended)


@dataclasses.dataclass(slots=True)
class _UnsettledOutcome:
    """An outcome that the claims stream does not show yet.

    :param was_seen: whether the claim has been seen on the stream.
    """

    outcome: Outcome
    was_seen: bool = False


def _record_id(record: records.Closed | records.Forgotten, name: str) -> str:
    if isinstance(record, records.Closed):
        return f'{record.claim_id}/closed/{name}'
    return f'forgotten/{record.up_to_offset}/{name}'


def _known_answer(claim: Claim, body_digest: str) -> Outcome | Refusal | None:
    if claim.record.body_digest != body_digest:
        return _key_reused()
    return claim.outcome


def _key_reused() -> Refusal:
    return Refusal(
        Result.KEY_REUSED_WITH_OTHER_BODY,
        'the idempotency key was used for another request',
    )


def _claim_pending() -> Refusal:
    return Refusal(
        Result.CLAIM_PENDING,
        'the earlier call with this idempotency key has no outcome yet',
        not_run=False,
        retry_after_ms=RETRY_AFTER_MS,
    )


def _log_unavailable() -> Refusal:
    return Refusal(
        Result.CLAIM_LOG_UNAVAILABLE,
        'the call could not be claimed and was not run',
        retry_after_ms=RETRY_AFTER_MS,
    )


def _too_many_claims() -> Refusal:
    return Refusal(
        Result.TOO_MANY_WAITING,
        'too many idempotency keys are in use',
        retry_after_ms=RETRY_AFTER_MS,
    )
