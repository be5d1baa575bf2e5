"""Records of the metadata store's keyed topics."""

import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A value of a key; ``None`` if the key was deleted."""

    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class RecordPage:
    """Records that one request to the store returned.

    :param next_offset: offset from which to read the records after them.
    :param is_current: whether the topic had no records after them.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    is_current: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryExpired:
    """The store has deleted the requested records.

    The reader has to start anew with the newest record of each key.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailure:
    """The store did not answer, or refused the request.

    :param may_have_run: whether a write may have taken effect or may still do
        so.
    """

    reason: str
    may_have_run: bool = False


class KeyedStore(Protocol):
    """A store with keyed topics."""

    async def newest(self, topic: str) -> RecordPage | StoreFailure:
        """Return the newest record of each key."""

    async def read(
        self, topic: str, offset: int, wait_ms: int
    ) -> RecordPage | HistoryExpired | StoreFailure:
        """Return the records from an offset on.

        :param wait_ms: longest time to wait for the first record, in ms.
        """
