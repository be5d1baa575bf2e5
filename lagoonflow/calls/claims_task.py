"""Claims calls that may run at most once, and settles their outcomes."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

from lagoonflow.calls.claim_records import (
    Claimed,
    ClaimKey,
    ClaimKind,
    ClaimRecord,
    Closed,
    Forgotten,
    Outcome,
    OutcomeKind,
    Settled,
)
from lagoonflow.calls.claims import Claim, ClaimsState
from lagoonflow.calls.settling import ClaimSettler, IsMember
from lagoonflow.results import Refusal, Result

MS_PER_S = 1000
RETRY_AFTER_MS = 2000
LOG_TIMEOUT_MS = 2000
SWEEP_INTERVAL_MS = 1000
MAX_OUTCOMES = 10_000

_KINDS = {
    Claimed: ClaimKind.CLAIMED,
    Settled: ClaimKind.SETTLED,
    Closed: ClaimKind.CLOSED,
    Forgotten: ClaimKind.FORGOTTEN,
}


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimPorts:
    """What claims need from the other parts of a process.

    :param append: appends a record by kind, id and body, and returns whether
        it is known to be stored before the timeout in ms. A record that is
        not may still be appended later.
    :param is_log_reachable: whether the log service answers at present.
    :param is_member: tells by name and nonce who is in the roster.
    :param clock_ms: monotonic time in ms.
    :param new_id: returns a unique id.
    """

    append: Callable[[ClaimKind, str, ClaimRecord, int], Awaitable[bool]]
    is_log_reachable: Callable[[], bool]
    is_member: IsMember
    clock_ms: Callable[[], int]
    new_id: Callable[[], str]


@dataclasses.dataclass(frozen=True, slots=True)
class Won:
    """The call is to be run, and its outcome to be settled."""

    claim_id: str


class ClaimsTask:
    """Claims of one process.

    :param state: the fold of the claims stream; :meth:`on_folded` has to be
        called after each record.
    """

    def __init__(
        self, state: ClaimsState, name: str, nonce: str, ports: ClaimPorts
    ) -> None:
        """Start without claims of this process.

        :param name: name of the process, as in the roster.
        :param nonce: identifies this process.
        """
        self._state = state
        self._name = name
        self._nonce = nonce
        self._ports = ports
        self._settler = ClaimSettler(name)
        self._folded = asyncio.Event()
        self._outcomes: dict[str, Outcome] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    async def claim(
        self, key: ClaimKey, body_digest: str, deadline_ms: int
    ) -> Won | Outcome | Refusal:
        """Claim a call, or return the outcome of the claim that was first.

        :param deadline_ms: when to stop waiting for that outcome.
        """
        while True:
            found = self._state.find(key)
            if found is None:
                answer = await self._append_claim(key, body_digest, deadline_ms)
                if answer is not None:
                    return answer
            elif found.record.body_digest != body_digest:
                return _other_body()
            elif found.outcome is not None:
                return found.outcome
            elif not await self._wait_for_fold(deadline_ms):
                return _pending()

    def settle(self, claim_id: str, outcome: Outcome) -> None:
        """State the outcome of a claim that was won.

        It is appended again until the fold shows it.
        """
        self._outcomes[claim_id] = outcome
        self._append_settled(claim_id)

    def on_folded(self) -> None:
        """Go on with what waits for records."""
        folded = self._folded
        self._folded = asyncio.Event()
        folded.set()

    async def run(self) -> None:
        """Settle what is due, for this process and for dead ones."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_MS / MS_PER_S)
            self.sweep()

    def sweep(self) -> None:
        """Append the records that are due now."""
        if not self._ports.is_log_reachable():
            return
        now_ms = self._ports.clock_ms()
        for claim_id in list(self._outcomes):
            self._append_settled(claim_id)
        for record in self._settler.due(
            self._state, self._ports.is_member, now_ms
        ):
            self._append_later(record)

    async def _append_claim(
        self, key: ClaimKey, body_digest: str, deadline_ms: int
    ) -> Won | Refusal | None:
        """Append a claim; return ``None`` when another one was first."""
        if self._state.is_full:
            return _full()
        if not self._ports.is_log_reachable():
            return _no_log()
        claim_id = self._ports.new_id()
        record = Claimed(claim_id, key, body_digest, self._name, self._nonce)
        limit_ms = self._ports.clock_ms() + LOG_TIMEOUT_MS
        holder = await self._append_and_fold(record, min(limit_ms, deadline_ms))
        if holder is not None and holder.record.claim_id != claim_id:
            return None
        is_late = self._ports.clock_ms() > limit_ms
        if holder is None or holder.outcome is not None or is_late:
            # The record may come to light later: its call must not run then.
            self._abandon(claim_id)
            return _no_log()
        return Won(claim_id)

    async def _append_and_fold(
        self, record: Claimed, limit_ms: int
    ) -> Claim | None:
        is_stored = await self._store(record, record.claim_id, limit_ms)
        while is_stored:
            holder = self._state.find(record.key)
            if holder is not None:
                return holder
            if not await self._wait_for_fold(limit_ms):
                break
        return None

    async def _wait_for_fold(self, limit_ms: int) -> bool:
        left_ms = limit_ms - self._ports.clock_ms()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0, left_ms) / MS_PER_S):
                return await self._folded.wait()
        return False

    def _abandon(self, claim_id: str) -> None:
        while len(self._outcomes) >= MAX_OUTCOMES:
            self._outcomes.pop(next(iter(self._outcomes)))
        self._outcomes[claim_id] = Outcome(OutcomeKind.NOT_RUN)

    def _append_settled(self, claim_id: str) -> None:
        claim = self._state.find_by_id(claim_id)
        if claim is not None and not claim.is_final:
            self._append_later(Settled(claim_id, self._outcomes[claim_id]))
        elif claim is not None:
            self._outcomes.pop(claim_id)

    def _append_later(self, record: Settled | Closed | Forgotten) -> None:
        limit_ms = self._ports.clock_ms() + LOG_TIMEOUT_MS
        record_id = self._ports.new_id()
        task = asyncio.create_task(self._store(record, record_id, limit_ms))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _store(
        self, record: ClaimRecord, record_id: str, limit_ms: int
    ) -> bool:
        timeout_ms = limit_ms - self._ports.clock_ms()
        kind = _KINDS[type(record)]
        return await self._ports.append(kind, record_id, record, timeout_ms)


def _other_body() -> Refusal:
    return Refusal(
        Result.KEY_REUSED_WITH_OTHER_BODY,
        'the idempotency key was used for another request',
    )


def _pending() -> Refusal:
    return Refusal(
        Result.CLAIM_PENDING,
        'the first call with this idempotency key has no outcome yet',
        not_run=False,
        retry_after_ms=RETRY_AFTER_MS,
    )


def _no_log() -> Refusal:
    return Refusal(
        Result.CLAIM_LOG_UNAVAILABLE,
        'the call could not be claimed and was not run',
        retry_after_ms=RETRY_AFTER_MS,
    )


def _full() -> Refusal:
    return Refusal(
        Result.TOO_MANY_WAITING,
        'too many idempotency keys are in use',
        retry_after_ms=RETRY_AFTER_MS,
    )
