"""Streams of records with offsets and limited retention."""

import asyncio
import time
from collections import deque

import msgspec

from standins.lagged import MS_PER_S

POLL_STEP_S = 0.5


class Record(msgspec.Struct, frozen=True):
    """One record of a stream.

    :param offset: position in the stream, from 0.
    :param value: text of the record.
    :param time_ms: wall-clock time of the append, in ms.
    """

    offset: int
    value: str
    time_ms: int


class Stream:
    """One append-only stream; offsets continue when records expire.

    :param retention_ms: how long a record is kept, in ms.
    :ivar head: offset of the next record.
    """

    def __init__(self, retention_ms: float) -> None:
        self.head = 0
        self._retention_ms = retention_ms
        self._records: deque[Record] = deque()
        self._changed = asyncio.Event()

    @property
    def earliest(self) -> int:
        """Return the offset of the oldest record that is still kept."""
        self._drop_expired()
        return self._records[0].offset if self._records else self.head

    def append(self, values: list[str]) -> int:
        """Append records and return the offset of the first one."""
        first_offset = self.head
        now_ms = _now_ms()
        for text in values:
            self._records.append(Record(self.head, text, now_ms))
            self.head += 1
        self.notify_readers()
        return first_offset

    def read(self, offset: int, limit: int) -> list[Record]:
        """Return at most `limit` records from `offset` on."""
        skipped = max(0, offset - self.earliest)
        end = min(skipped + limit, len(self._records))
        return [self._records[index] for index in range(skipped, end)]

    def expire_all(self) -> None:
        """Drop all records; the next offset stays the same."""
        self._records.clear()
        self.notify_readers()

    def notify_readers(self) -> None:
        """Let all waiting readers check the stream again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, timeout_s: float) -> None:
        """Wait for a change, for at most `timeout_s` seconds."""
        try:
            await asyncio.wait_for(self._changed.wait(), timeout_s)
        except TimeoutError:
            return

    def _drop_expired(self) -> None:
        horizon_ms = _now_ms() - self._retention_ms
        while self._records and self._records[0].time_ms < horizon_ms:
            self._records.popleft()


class AppendLimit:
    """A token bucket that limits append requests.

    :param appends_per_s: requests that are admitted per second, on average.
    """

    BURST_S = 0.1

    def __init__(self, appends_per_s: float) -> None:
        self._rate_per_s = appends_per_s
        self._capacity = max(1, appends_per_s * self.BURST_S)
        self._tokens = self._capacity
        self._updated_s = time.monotonic()

    def admit(self) -> bool:
        """Take a token if one is left; return whether it was."""
        now_s = time.monotonic()
        accrued = (now_s - self._updated_s) * self._rate_per_s
        self._tokens = min(self._capacity, self._tokens + accrued)
        self._updated_s = now_s
        is_admitted = self._tokens >= 1
        if is_admitted:
            self._tokens -= 1
        return is_admitted


def _now_ms() -> int:
    return int(time.time() * MS_PER_S)
