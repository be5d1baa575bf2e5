"""Records of the metadata store's keyed topics."""

import dataclasses
from collections.abc import Callable
from typing import Protocol

from lagoonflow.declared.positions import Position


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A value of a key; ``None`` if the key was deleted."""

    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class RecordPage:
    """Records that one request to the store returned.

    :param next_position: from where to read the records after them.
    :param is_current: whether the topic had no records after them.
    :param may_be_older: the store has come back from a copy, so the records may
        be older than what was read before; those that were lost are written
        again.
    """

    records: tuple[KeyedRecord, ...]
    next_position: Position
    is_current: bool = True
    may_be_older: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryExpired:
    """The store has deleted the requested records.

    The reader has to start anew with the newest record of each key.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class EraChanged:
    """The store is in another era than the position that was read from.

    The reader has to start anew with the newest record of each key.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryTooLong:
    """The records take longer to read than the newest ones of each key."""


@dataclasses.dataclass(frozen=True, slots=True)
class RecordCut:
    """The first record is longer than was asked for.

    :param needed_bytes: what has to be asked for to read it whole.
    """

    needed_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailure:
    """The store did not answer, or refused the request.

    :param may_have_run: whether a write may have taken effect or may still do
        so.
    """

    reason: str
    may_have_run: bool = False


# What one read asks for unless a longer record is known to be there, in bytes.
DEFAULT_READ_BYTES = 1_048_576
# An answer that hasn't begun so long after the wait of its read is lost, unless
# the store is known to be slow, in ms; it normally answers in a few ms.
DEFAULT_LATE_MS = 800
# The same for the newest records of a topic, which aren't waited for, in ms.
NEWEST_LATE_MS = 1500


@dataclasses.dataclass(frozen=True, slots=True)
class ReadOptions:
    """How much is read, and how long its answer may take.

    A time limit ends an answer that makes no progress, never one whose bytes
    go on arriving.

    :param max_late_ms: time beyond the wait within which the answer has to
        begin, and longest pause between two parts of it, in ms.
    :param max_bytes: bytes of records that the store may return; a first
        record that is longer is reported instead of read.
    :param max_replaced_bytes: where more bytes than this follow the first
        record, the history is reported as too long instead of read.
    :param on_progress: called whenever bytes of records arrive, with the
        number of bytes so far.
    """

    max_late_ms: float = DEFAULT_LATE_MS
    max_bytes: int = DEFAULT_READ_BYTES
    max_replaced_bytes: float = float('inf')
    on_progress: Callable[[int], None] | None = None


DEFAULT_OPTIONS = ReadOptions()
Answer = (
    RecordPage
    | HistoryExpired
    | EraChanged
    | HistoryTooLong
    | RecordCut
    | StoreFailure
)


class KeyedStore(Protocol):
    """A store with keyed topics."""

    async def newest(
        self, topic: str, max_late_ms: float = NEWEST_LATE_MS
    ) -> RecordPage | StoreFailure:
        """Return the newest record of each key.

        :param max_late_ms: as in :class:`ReadOptions`.
        """

    async def read(
        self,
        topic: str,
        position: Position,
        wait_ms: int,
        options: ReadOptions = DEFAULT_OPTIONS,
    ) -> Answer:
        """Return the records from a position on.

        :param wait_ms: longest time to wait for the first record, in ms.
        """
