"""Closes claims of processes that are gone, and expires old outcomes."""

import dataclasses
from collections import deque
from collections.abc import Callable

import xxhash

from lagoonflow.calls.claim_records import Claimed, Closed, Forgotten
from lagoonflow.calls.claims import ClaimsState

IsMember = Callable[[str, str], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class SettlingPolicy:
    """Times in ms after which claims are closed and outcomes expire.

    Each process counts them on its own clock, from when it saw the record.

    :param claimer_gone_ms: time after which a claim is closed whose claimer is
        no longer in the roster.
    :param max_open_ms: longest time that a claim stays open; longer than any
        call.
    :param retention_ms: time for which an outcome is kept for repeats.
    :param max_jitter_ms: each process waits up to this much longer, for a time
        that differs between processes, so that mostly one of them appends.
    :param append_retry_ms: time after which a record that had no effect is
        appended again.
    """

    claimer_gone_ms: int = 2000
    max_open_ms: int = 180_000
    retention_ms: int = 600_000
    max_jitter_ms: int = 4000
    append_retry_ms: int = 15_000


class ClaimSettler:
    """Decides which records a process appends in place of a claimer.

    Any process may append these records at any time. A claim that is closed
    while its claimer is alive has an unknown outcome until the claimer settles
    it.
    """

    def __init__(
        self, process_name: str, policy: SettlingPolicy | None = None
    ) -> None:
        """Start with no claims seen.

        :param process_name: name of this process; the jitter depends on it.
        """
        self._process_name = process_name
        self._policy = policy or SettlingPolicy()
        self._first_seen_ms: dict[str, int] = {}
        self._gone_since_ms: dict[str, int] = {}
        self._appended_ms: dict[str, int] = {}
        self._settled_offsets: deque[tuple[int, int]] = deque()

    def due_records(
        self, state: ClaimsState, is_member: IsMember, now_ms: int
    ) -> list[Closed | Forgotten]:
        """Return the records to append now.

        :param is_member: returns whether the process of a name and a nonce is
            in the roster.
        :param now_ms: monotonic time in ms.
        """
        open_claims = {claim.claim_id: claim for claim in state.open_claims}
        self._drop_ended_claims(open_claims)
        closed = [
            Closed(claim_id)
            for claim_id, claim in open_claims.items()
            if self._should_close(claim, is_member, now_ms)
            and self._is_append_due(claim_id, now_ms)
        ]
        return [*closed, *self._expired_outcomes(state, now_ms)]

    def _should_close(
        self, claim: Claimed, is_member: IsMember, now_ms: int
    ) -> bool:
        claim_id = claim.claim_id
        policy = self._policy
        jitter_ms = self._jitter_ms(claim_id)
        first_seen_ms = self._first_seen_ms.setdefault(claim_id, now_ms)
        if now_ms - first_seen_ms >= policy.max_open_ms + jitter_ms:
            return True
        if is_member(claim.claimer, claim.claimer_nonce):
            self._gone_since_ms.pop(claim_id, None)
            return False
        gone_since_ms = self._gone_since_ms.setdefault(claim_id, now_ms)
        return now_ms - gone_since_ms >= policy.claimer_gone_ms + jitter_ms

    def _is_append_due(self, claim_id: str, now_ms: int) -> bool:
        appended_ms = self._appended_ms.get(claim_id)
        append_retry_ms = self._policy.append_retry_ms
        if appended_ms is not None and now_ms - appended_ms < append_retry_ms:
            return False
        self._appended_ms[claim_id] = now_ms
        return True

    def _expired_outcomes(
        self, state: ClaimsState, now_ms: int
    ) -> list[Forgotten]:
        offset = state.last_settled_offset
        if offset >= 0 and (
            not self._settled_offsets or self._settled_offsets[-1][0] < offset
        ):
            self._settled_offsets.append((offset, now_ms))
        oldest_ms = now_ms - self._policy.retention_ms
        oldest_ms -= self._jitter_ms(self._process_name)
        up_to_offset = -1
        while (
            self._settled_offsets and self._settled_offsets[0][1] <= oldest_ms
        ):
            up_to_offset = self._settled_offsets.popleft()[0]
        if up_to_offset < 0 or not state.has_outcomes_up_to(up_to_offset):
            return []
        return [Forgotten(up_to_offset)]

    def _drop_ended_claims(self, open_claims: dict[str, Claimed]) -> None:
        for times_ms in (
            self._first_seen_ms,
            self._gone_since_ms,
            self._appended_ms,
        ):
            for claim_id in times_ms.keys() - open_claims.keys():
                times_ms.pop(claim_id)

    def _jitter_ms(self, seed: str) -> int:
        text = f'{seed}/{self._process_name}'
        digest = xxhash.xxh64_intdigest(text.encode())
        return digest % max(1, self._policy.max_jitter_ms)
