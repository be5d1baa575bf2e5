"""Folds: state that each process computes from the records of a stream."""

import abc
import dataclasses
from collections import deque
from typing import Any, ClassVar, Protocol

import msgspec

from lagoonflow.results import Refusal, Result
from lagoonflow.streams.checkpoints import (
    CheckpointBody,
    decode_checkpoint,
    decode_checkpoint_body,
    encode_checkpoint,
)
from lagoonflow.streams.envelope import (
    CHECKPOINT_KIND,
    Envelope,
    decode_envelope,
)
from lagoonflow.streams.extent import Extent, Gap
from lagoonflow.streams.history import History
from lagoonflow.streams.messages import LogRecord, Stream
from lagoonflow.streams.seen_ids import SeenIds

MAX_REJECTIONS = 16
MAX_VERIFIED_RECORDS = 512

MALFORMED_ENVELOPE = 'The record is not a valid envelope.'
MALFORMED_BODY = 'The body of the record is not valid.'
WRONG_CHECKPOINT = 'The checkpoint differs from the folded state.'
MALFORMED_CHECKPOINT = 'The checkpoint is not valid.'


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """An invalid record that was skipped; shown on the status page."""

    offset: int
    refusal: Refusal


class OffsetGapError(ValueError):
    """Records before the given one are missing."""


class Fold(Protocol):
    """State of one stream, computed from its records in offset order."""

    stream: ClassVar[Stream]
    next_offset: int
    rejected_count: int

    def apply(self, record: LogRecord) -> None:
        """Apply the next record; earlier ones are ignored."""

    def checkpoint(self) -> str:
        """Return the state as the text of a checkpoint record."""


class FoldBase(abc.ABC):
    """Base of folds: handles repeats, invalid records, checkpoints and gaps.

    Subclasses apply record bodies in `_fold`, and convert their state to a
    JSON value and back in `_dump` and `_load`. Their constructors take no
    arguments, because a checkpoint is verified on a second instance.
    """

    stream: ClassVar[Stream]

    def __init__(self) -> None:
        self.next_offset = 0
        self.rejected_count = 0
        self.wrong_checkpoint_count = 0
        self.last_checkpoint_offset = -1
        self.rejections: deque[Rejection] = deque(maxlen=MAX_REJECTIONS)
        self.history = History()
        self._gaps: tuple[Gap, ...] = ()
        self._seen = SeenIds()
        self._base_checkpoint: CheckpointBody | None = None

    @property
    def extent(self) -> Extent:
        """The offsets whose records are folded."""
        return Extent(self.next_offset, self._gaps)

    def apply(self, record: LogRecord) -> None:
        """Apply the next record; earlier ones are ignored.

        :raises OffsetGapError: when records before it are missing.
        """
        if record.offset < self.next_offset:
            return
        if record.offset > self.next_offset:
            raise OffsetGapError(record.offset)
        refusal = self._apply_text(record)
        if refusal is not None:
            self.rejected_count += 1
            self.rejections.append(Rejection(record.offset, refusal))
        self.history.add(record)
        self.next_offset += 1

    def checkpoint(self) -> str:
        """Return the state as the text of a checkpoint record."""
        return encode_checkpoint(self._checkpoint_body())

    def restore(self, text: str) -> bool:
        """Replace the state by that of a checkpoint that covers more.

        :returns: false when the checkpoint covers no more or is malformed.
        """
        body = decode_checkpoint(text)
        if body is None or not body.extent.covers_more_than(self.extent):
            return False
        return self._load_checkpoint(body)

    def skip_to(self, offset: int) -> None:
        """Continue at a later offset, and record the skipped ones as a gap."""
        if offset <= self.next_offset:
            return
        self._gaps = (*self._gaps, Gap(self.next_offset, offset))
        self.next_offset = offset
        self._base_checkpoint = self._checkpoint_body()

    @abc.abstractmethod
    def _fold(self, envelope: Envelope, offset: int) -> Refusal | None:
        """Apply one record atomically; return why it is invalid, if so."""

    @abc.abstractmethod
    def _dump(self) -> Any:
        """Return the state as a value that msgspec encodes."""

    @abc.abstractmethod
    def _load(self, state: msgspec.Raw) -> None:
        """Replace the state; when malformed, raise without changing it."""

    def _apply_text(self, record: LogRecord) -> Refusal | None:
        envelope = decode_envelope(record.text)
        if envelope is None:
            return _rejection(MALFORMED_ENVELOPE)
        if not self._seen.add(envelope.record_id):
            return None
        if envelope.kind == CHECKPOINT_KIND:
            self._count_wrong_checkpoint(
                record.offset, self._apply_checkpoint(envelope, record)
            )
            return None
        try:
            return self._fold(envelope, record.offset)
        except Exception:
            # A record that causes any fault in a fold must not stop the
            # reader.
            return _rejection(MALFORMED_BODY)

    def _count_wrong_checkpoint(self, offset: int, reason: str) -> None:
        # Processes differ in which checkpoints they can verify. Wrong ones
        # therefore don't count as rejected records: that count is part of
        # the state, which has to be equal in all processes.
        if reason:
            self.wrong_checkpoint_count += 1
            self.rejections.append(Rejection(offset, _rejection(reason)))

    def _apply_checkpoint(self, envelope: Envelope, record: LogRecord) -> str:
        body = decode_checkpoint_body(envelope)
        if body is None or body.as_of > record.offset:
            return MALFORMED_CHECKPOINT
        self.last_checkpoint_offset = record.offset
        # The checkpoint may describe an earlier offset than this record's.
        own_extent = self.extent.truncated_at(body.as_of)
        if body.extent == own_extent:
            return self._verify_checkpoint(body)
        if not body.extent.covers_more_than(own_extent):
            return ''
        # The checkpoint covers more: load it, and apply the records after it
        # again. Loading replaces the seen ids, so this record's is added anew.
        reason = self._rebase_on(body, record.offset)
        self._seen.add(envelope.record_id)
        return reason

    def _verify_checkpoint(self, body: CheckpointBody) -> str:
        # Recompute the checkpoint from the last known one and the records
        # after it; when these are not kept, it can't be verified.
        base = self._base_checkpoint.as_of if self._base_checkpoint else 0
        records = self.history.between(base, body.as_of)
        if records is None or body.as_of < base:
            return ''
        if len(records) > MAX_VERIFIED_RECORDS:
            return ''
        expected = _replay(type(self)(), self._base_checkpoint, records)
        if expected != encode_checkpoint(body):
            return WRONG_CHECKPOINT
        self._base_checkpoint = body
        return ''

    def _rebase_on(self, body: CheckpointBody, offset: int) -> str:
        start = self.extent.resume_from(body.as_of)
        records = self.history.between(start, offset)
        if records is None:
            return ''
        if not self._load_checkpoint(body):
            return MALFORMED_CHECKPOINT
        self.skip_to(start)
        for record in records:
            self.apply(record)
        return ''

    def _load_checkpoint(self, body: CheckpointBody) -> bool:
        try:
            self._load(body.state)
        except Exception:
            return False
        self.next_offset = body.as_of
        self.rejected_count = body.rejected_count
        self._gaps = body.gaps
        self._seen = SeenIds(body.seen)
        self._base_checkpoint = body
        return True

    def _checkpoint_body(self) -> CheckpointBody:
        state = msgspec.json.encode(self._dump(), order='sorted')
        return CheckpointBody(
            as_of=self.next_offset,
            state=msgspec.Raw(state),
            gaps=self._gaps,
            seen=self._seen.digests(),
            rejected_count=self.rejected_count,
        )


def _rejection(reason: str) -> Refusal:
    return Refusal(Result.RECORD_REJECTED, reason)


def _replay(
    fold: FoldBase,
    base_checkpoint: CheckpointBody | None,
    records: tuple[LogRecord, ...],
) -> str:
    if base_checkpoint is not None:
        fold.restore(encode_checkpoint(base_checkpoint))
    for record in records:
        fold.apply(record)
    return fold.checkpoint()
