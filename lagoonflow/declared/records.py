"""Records of keyed topics in the metadata store."""

import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The newest value of a key; ``None`` when the key was dropped."""

    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class RecordPage:
    """Records in order, and the offset that follows them."""

    records: tuple[KeyedRecord, ...]
    next_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryExpired:
    """The requested records were deleted; read the newest of each key."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailure:
    """The store did not answer, or refused.

    :param may_have_run: whether a write may still take effect.
    """

    reason: str
    may_have_run: bool = False


class KeyedStore(Protocol):
    """Reads keyed topics."""

    async def newest(self, topic: str) -> RecordPage | StoreFailure:
        """Return the newest record of each key."""

    async def read(
        self, topic: str, offset: int, wait_ms: int
    ) -> RecordPage | HistoryExpired | StoreFailure:
        """Return the records from an offset, or wait for the first."""
