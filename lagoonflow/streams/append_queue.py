"""Decides when to append which records, so that each is stored once."""

import dataclasses
import random
from collections.abc import Iterable

from lagoonflow.clients.messages.common import Unavailable
from lagoonflow.clients.messages.log import (
    Appended,
    AppendRefused,
    AppendResult,
    AppendUnknown,
    Batch,
    Expired,
    ReadResult,
)
from lagoonflow.clients.messages.log import Record as StoredRecord
from lagoonflow.streams.backoff import Backoff
from lagoonflow.streams.envelope import decode_envelope

MAX_BATCH_RECORDS = 64
MAX_BATCH_CHARS = 262_144


@dataclasses.dataclass(frozen=True, slots=True)
class SendAppend:
    """Append these record texts in one request."""

    texts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadTail:
    """Read from this offset, to find out which records were appended."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class WaitUntil:
    """Wait until this time, in ms, before the next action."""

    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Idle:
    """Wait until a record is submitted."""


AppendAction = SendAppend | ReadTail | WaitUntil | Idle


@dataclasses.dataclass(frozen=True, slots=True)
class AppendedRecord:
    """A record that the log stores at this offset."""

    record_id: str
    offset: int


@dataclasses.dataclass(slots=True)
class _PendingRecord:
    """A record that is not yet known to be stored.

    :param text: JSON text of the record.
    :param uncertain_sends: number of appends of it whose outcome is unknown.
    """

    text: str
    uncertain_sends: int = 0


class AppendQueue:
    """Appends pending records in batches, each record exactly once.

    When the answer to an append is lost, the records may have been stored.
    The queue then reads the end of the stream, and appends again only the
    records that it does not find there.

    :param rng: source of the jitter in retry delays.
    """

    def __init__(self, rng: random.Random) -> None:
        self.attempt_count = 0
        self._backoff = Backoff(rng)
        self._pending: dict[str, _PendingRecord] = {}
        self._in_flight: tuple[str, ...] = ()
        self._tail_offset: int | None = None
        self._not_before_ms = 0

    def submit(self, record_id: str, text: str) -> None:
        """Add a record, unless one with this id is pending already."""
        self._pending.setdefault(record_id, _PendingRecord(text))

    def withdraw(self, record_id: str) -> bool:
        """Stop trying to append a record.

        :returns: whether the record was certainly not appended.
        """
        pending = self._pending.pop(record_id, None)
        return pending is not None and not pending.uncertain_sends

    def next_action(self, now_ms: int, next_offset: int) -> AppendAction:
        """Return what to do now.

        The caller passes the result of an append to `on_append`, and that
        of a read to `on_tail`, before it calls this method again.

        :param next_offset: lower bound of the offset that an append gets.
        """
        if not self._pending:
            self._tail_offset = None
            return Idle()
        if now_ms < self._not_before_ms:
            return WaitUntil(self._not_before_ms)
        if self._tail_offset is not None:
            return ReadTail(self._tail_offset)
        return self._send(next_offset)

    def on_append(
        self, now_ms: int, result: AppendResult
    ) -> tuple[AppendedRecord, ...]:
        """Process the answer to an append; return the records it stored."""
        match result:
            case Appended(first_offset):
                return self._on_appended(first_offset)
            case AppendRefused(retry_after_ms=retry_after_ms):
                self._tail_offset = None
                self._count_sends(-1)
                self._wait(now_ms, retry_after_ms)
            case AppendUnknown():
                self._wait(now_ms)
        return ()

    def on_tail(
        self, now_ms: int, result: ReadResult
    ) -> tuple[AppendedRecord, ...]:
        """Process the answer to a read; return the pending records in it."""
        match result:
            case Batch(records, _, head):
                return self._on_records(records, head)
            case Expired(earliest):
                self._tail_offset = earliest
            case Unavailable():
                self._wait(now_ms)
        return ()

    def _send(self, next_offset: int) -> SendAppend:
        self._in_flight = tuple(self._next_batch())
        self._tail_offset = next_offset
        self.attempt_count += 1
        self._count_sends(1)
        texts = [self._pending[sent_id].text for sent_id in self._in_flight]
        return SendAppend(tuple(texts))

    def _count_sends(self, change: int) -> None:
        for record_id in self._in_flight:
            pending = self._pending.get(record_id)
            if pending is not None:
                pending.uncertain_sends += change

    def _next_batch(self) -> Iterable[str]:
        chars = 0
        for index, (record_id, pending) in enumerate(self._pending.items()):
            chars += len(pending.text)
            is_full = index >= MAX_BATCH_RECORDS or chars > MAX_BATCH_CHARS
            if index and is_full:
                return
            yield record_id

    def _on_appended(self, first_offset: int) -> tuple[AppendedRecord, ...]:
        self._tail_offset = None
        self._backoff.reset()
        stored = [
            AppendedRecord(record_id, first_offset + index)
            for index, record_id in enumerate(self._in_flight)
        ]
        return self._finish(stored)

    def _on_records(
        self, records: tuple[StoredRecord, ...], head: int
    ) -> tuple[AppendedRecord, ...]:
        stored = [
            AppendedRecord(record_id, record.offset)
            for record in records
            if (record_id := _record_id(record)) in self._pending
        ]
        if records:
            self._tail_offset = records[-1].offset + 1
        if not records or records[-1].offset + 1 >= head:
            self._tail_offset = None
        self._backoff.reset()
        return self._finish(stored)

    def _finish(
        self, stored: list[AppendedRecord]
    ) -> tuple[AppendedRecord, ...]:
        finished = []
        for appended in stored:
            if self._pending.pop(appended.record_id, None) is not None:
                finished.append(appended)
        return tuple(finished)

    def _wait(self, now_ms: int, least_ms: int = 0) -> None:
        self._not_before_ms = now_ms + max(
            least_ms, self._backoff.next_wait_ms()
        )


def _record_id(record: StoredRecord) -> str:
    envelope = decode_envelope(record.value)
    return envelope.record_id if envelope else ''
