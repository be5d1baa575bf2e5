"""State of the claims stream: who may run the call of an idempotency key."""

import dataclasses
from collections.abc import Iterable
from typing import Any

import msgspec

from lagoonflow.calls import claim_records as records
from lagoonflow.calls.claim_records import (
    Claimed,
    ClaimKey,
    ClaimKind,
    Outcome,
    OutcomeKind,
)
from lagoonflow.results import Refusal, Result

MAX_CLAIMS = 20_000
MAX_KEPT_BYTES = 8_388_608

_DECODERS = {
    ClaimKind.CLAIMED: msgspec.json.Decoder(Claimed),
    ClaimKind.SETTLED: msgspec.json.Decoder(records.Settled),
    ClaimKind.CLOSED: msgspec.json.Decoder(records.Closed),
    ClaimKind.FORGOTTEN: msgspec.json.Decoder(records.Forgotten),
}
_UNKNOWN = Outcome(OutcomeKind.UNKNOWN)


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The first claim of a key, whose claimer alone may run the call.

    :param record: the record of the claim.
    :param outcome: the call's outcome; ``None`` while the call may still run.
    :param settled_offset: offset of the record that gave the outcome; -1 while
        there is none.
    """

    record: Claimed
    outcome: Outcome | None = None
    settled_offset: int = -1

    @property
    def is_final(self) -> bool:
        """Whether the outcome can't change any more."""
        if self.outcome is None:
            return False
        return self.outcome.kind is not OutcomeKind.UNKNOWN


_STATE_DECODER = msgspec.json.Decoder(tuple[Claim, ...])


class ClaimsState:
    """The claims by key, as of one offset of the claims stream.

    The state depends only on the records in offset order, so all processes
    agree on it.

    :ivar last_settled_offset: highest offset of a record that settled a claim;
        -1 if there was none.
    """

    def __init__(self) -> None:
        """Start without claims."""
        self._claims: dict[ClaimKey, Claim] = {}
        self._keys: dict[str, ClaimKey] = {}
        self._open: dict[str, Claimed] = {}
        self._kept_bytes = 0
        self.last_settled_offset = -1

    @property
    def is_full(self) -> bool:
        """Whether new claims are rejected because too many are kept."""
        if len(self._claims) >= MAX_CLAIMS:
            return True
        return self._kept_bytes >= MAX_KEPT_BYTES

    @property
    def open_claims(self) -> Iterable[Claimed]:
        """Claims that have no outcome yet, in log order."""
        return self._open.values()

    def find(self, key: ClaimKey) -> Claim | None:
        """Return the claim of a key, if there is one."""
        return self._claims.get(key)

    def find_by_id(self, claim_id: str) -> Claim | None:
        """Return a claim by its id.

        :returns: ``None`` if another claim came first for the key, or if the
            key was freed.
        """
        key = self._keys.get(claim_id)
        return None if key is None else self._claims[key]

    def has_outcomes_up_to(self, up_to_offset: int) -> bool:
        """Return whether outcomes settled up to an offset are still kept."""
        return any(
            0 <= claim.settled_offset <= up_to_offset
            for claim in self._claims.values()
        )

    def fold(
        self, kind: str, body: msgspec.Raw | bytes, offset: int
    ) -> Refusal | None:
        """Apply one record in its encoded form.

        :returns: why the record is rejected, or ``None``.
        :raises msgspec.MsgspecError: if the body is malformed.
        """
        if kind not in _DECODERS:
            return Refusal(Result.RECORD_REJECTED, 'unknown kind of record')
        return self.apply(_DECODERS[ClaimKind(kind)].decode(body), offset)

    def apply(self, record: records.ClaimRecord, offset: int) -> Refusal | None:
        """Apply one decoded record; return why it is rejected, or ``None``."""
        match record:
            case Claimed():
                return self._claim(record)
            case records.Settled(claim_id, outcome):
                self._settle(claim_id, outcome, offset)
            case records.Closed(claim_id):
                if claim_id in self._open:
                    self._settle(claim_id, _UNKNOWN, offset)
            case records.Forgotten(up_to_offset):
                self._forget(up_to_offset)
        return None

    def dump(self) -> Any:
        """Return the state as a value that msgspec encodes."""
        return tuple(self._claims.values())

    def load(self, state: msgspec.Raw | bytes) -> None:
        """Replace the state by one that :meth:`dump` returned.

        :raises msgspec.MsgspecError: if it is malformed.
        """
        claims = _STATE_DECODER.decode(state)
        self._claims = {claim.record.key: claim for claim in claims}
        self._keys = {
            claim.record.claim_id: claim.record.key for claim in claims
        }
        self._open = {
            claim.record.claim_id: claim.record
            for claim in claims
            if claim.outcome is None
        }
        self._kept_bytes = sum(_kept_bytes(claim.outcome) for claim in claims)
        self.last_settled_offset = max(
            (claim.settled_offset for claim in claims), default=-1
        )

    def _claim(self, record: Claimed) -> Refusal | None:
        if record.key in self._claims or record.claim_id in self._keys:
            return None
        if self.is_full:
            return Refusal(Result.TOO_MANY_WAITING, 'too many claims are kept')
        self._claims[record.key] = Claim(record)
        self._keys[record.claim_id] = record.key
        self._open[record.claim_id] = record
        return None

    def _settle(self, claim_id: str, outcome: Outcome, offset: int) -> None:
        key = self._keys.get(claim_id)
        if key is None:
            return
        claim = self._claims[key]
        # An unknown outcome, written by a process that closed the claim, gives
        # way to the one that the claimer itself reports.
        if claim.is_final:
            return
        self._open.pop(claim_id, None)
        self.last_settled_offset = max(self.last_settled_offset, offset)
        if outcome.kind is OutcomeKind.NOT_RUN:
            self._drop(claim)
            return
        self._kept_bytes += _kept_bytes(outcome) - _kept_bytes(claim.outcome)
        self._claims[key] = Claim(claim.record, outcome, offset)

    def _forget(self, up_to_offset: int) -> None:
        old_claims = [
            claim
            for claim in self._claims.values()
            if 0 <= claim.settled_offset <= up_to_offset
        ]
        for claim in old_claims:
            self._drop(claim)

    def _drop(self, claim: Claim) -> None:
        self._kept_bytes -= _kept_bytes(claim.outcome)
        self._claims.pop(claim.record.key)
        self._keys.pop(claim.record.claim_id)


def _kept_bytes(outcome: Outcome | None) -> int:
    if outcome is None:
        return 0
    headers = sum(
        len(header.name) + len(header.value) for header in outcome.headers
    )
    return len(outcome.body) + headers
