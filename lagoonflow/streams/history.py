"""The last records of a stream, for peers that miss them."""

from collections import deque

from lagoonflow.streams.messages import LogRecord

MAX_RECORDS = 2048


class History:
    """Keeps the last records in offset order.

    :param max_records: how many records are kept.
    """

    def __init__(self, max_records: int = MAX_RECORDS) -> None:
        self._records: deque[LogRecord] = deque(maxlen=max_records)

    def add(self, record: LogRecord) -> None:
        """Add the next record; after a gap earlier ones are dropped."""
        if self._records and record.offset != self._records[-1].offset + 1:
            self._records.clear()
        self._records.append(record)

    def between(self, first: int, end: int) -> tuple[LogRecord, ...] | None:
        """Return the records from `first` up to before `end`.

        :returns: None when some of them are no longer held.
        """
        if first >= end:
            return ()
        if not self._records or first < self._records[0].offset:
            return None
        if end > self._records[-1].offset + 1:
            return None
        base = self._records[0].offset
        return tuple(
            self._records[offset - base] for offset in range(first, end)
        )

    def clear(self) -> None:
        """Drop all records."""
        self._records.clear()
