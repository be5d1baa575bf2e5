"""Feeds a fold from its stream, also when records have expired."""

from lagoonflow.clients.messages.log import Batch, Expired
from lagoonflow.streams.checkpoints import decode_checkpoint
from lagoonflow.streams.fold import FoldBase
from lagoonflow.streams.messages import (
    LogRecord,
    PullReply,
    PullRequest,
    Versions,
)

MAX_PULL_RECORDS = 500
MAX_PULL_CHARS = 1_048_576


class StreamReader:
    """Feeds a fold with records from the log and from peers.

    When needed records have expired, it scans the stream from the earliest
    record on for a checkpoint. If there is none, a process that has a state
    can continue with it by `skip_gap`.

    :param fold: the state of the stream.
    """

    def __init__(self, fold: FoldBase) -> None:
        self.fold = fold
        self.is_at_head = False
        self._earliest = 0
        self._scan_offset: int | None = None
        self._stale_checkpoint = ''

    @property
    def is_waiting_for_checkpoint(self) -> bool:
        """Whether needed records expired and no checkpoint was found yet."""
        return self._scan_offset is not None

    def next_read(self) -> int:
        """Return the offset to read from."""
        if self._scan_offset is None:
            return self.fold.next_offset
        return self._scan_offset

    def on_expired(self, expired: Expired) -> None:
        """Start to scan for a checkpoint at the earliest record."""
        self._earliest = expired.earliest
        self._scan_offset = expired.earliest
        self.is_at_head = expired.earliest >= expired.head

    def on_batch(self, batch: Batch) -> None:
        """Apply the records, or search them for a checkpoint."""
        self._stop_waiting_if_gap_closed()
        records = tuple(
            LogRecord(record.offset, record.value) for record in batch.records
        )
        if self._scan_offset is None:
            self._fold_all(records)
        else:
            self._scan(records)
        self.is_at_head = self.next_read() >= batch.head

    def skip_gap(self, *, may_be_empty: bool = False) -> bool:
        """Continue with the best known state, recording a gap in it.

        :param may_be_empty: whether to start with an empty state when none
            is known; any other state covers more and replaces it later.
        :returns: false when there is no state to continue with.
        """
        self._stop_waiting_if_gap_closed()
        if self._scan_offset is None:
            return False
        self.fold.restore(self._stale_checkpoint)
        if self.fold.next_offset == 0 and not may_be_empty:
            return False
        self.fold.skip_to(self._earliest)
        self._scan_offset = None
        return True

    def apply_reply(self, reply: PullReply) -> bool:
        """Apply the records or the checkpoint that a peer sent.

        :returns: whether the state has changed.
        """
        before = self.fold.extent
        if reply.checkpoint:
            self.fold.restore(reply.checkpoint)
        self._fold_contiguous(reply.records)
        self._stop_waiting_if_gap_closed()
        return self.fold.extent != before

    def serve_pull(self, request: PullRequest, versions: Versions) -> PullReply:
        """Return the records that a peer lacks, or a checkpoint."""
        first = request.next_offset
        end = self.fold.next_offset
        if first >= end:
            return PullReply(versions)
        last = min(end, first + MAX_PULL_RECORDS)
        records = self.fold.history.between(first, last)
        if records is None:
            return PullReply(versions, checkpoint=self.fold.checkpoint())
        return PullReply(versions, _cut_to_size(records))

    def _fold_all(self, records: tuple[LogRecord, ...]) -> None:
        remaining = self._fold_contiguous(records)
        if remaining:
            self._earliest = remaining[0].offset
            self._scan_offset = self._earliest
            self._scan(remaining)

    def _fold_contiguous(
        self, records: tuple[LogRecord, ...]
    ) -> tuple[LogRecord, ...]:
        for index, record in enumerate(records):
            if record.offset > self.fold.next_offset:
                return records[index:]
            self.fold.apply(record)
        return ()

    def _scan(self, records: tuple[LogRecord, ...]) -> None:
        for record in records:
            self._scan_offset = record.offset + 1
            if self._try_checkpoint(record):
                self._scan_offset = None
                return

    def _try_checkpoint(self, record: LogRecord) -> bool:
        body = decode_checkpoint(record.text)
        if body is None or body.as_of > record.offset:
            return False
        if body.as_of >= self._earliest and self.fold.restore(record.text):
            self.fold.last_checkpoint_offset = record.offset
            return True
        # Records between this checkpoint and the earliest record have expired.
        # It is used only by `skip_gap`, when no newer one is found.
        if body.extent.covers_more_than(self.fold.extent):
            self._stale_checkpoint = record.text
        return False

    def _stop_waiting_if_gap_closed(self) -> None:
        # Records or a checkpoint from a peer may have closed the gap.
        if self._scan_offset is None:
            return
        if self.fold.next_offset >= self._earliest:
            self._scan_offset = None


def _cut_to_size(records: tuple[LogRecord, ...]) -> tuple[LogRecord, ...]:
    chars = 0
    for index, record in enumerate(records):
        chars += len(record.text)
        if index and chars > MAX_PULL_CHARS:
            return records[:index]
    return records
