"""Recent records of a stream, for peers and for checking checkpoints."""

from collections import deque

from lagoonflow.streams.messages import LogRecord

MAX_RECORDS = 2048


class History:
    """Keeps the most recent records in offset order.

    :param max_records: largest number of records that are kept.
    """

    def __init__(self, max_records: int = MAX_RECORDS) -> None:
        self._records: deque[LogRecord] = deque(maxlen=max_records)

    def add(self, record: LogRecord) -> None:
        """Add the next record; a gap before it drops the earlier ones."""
        if self._records and record.offset != self._records[-1].offset + 1:
            self._records.clear()
        self._records.append(record)

    def between(self, first: int, end: int) -> tuple[LogRecord, ...] | None:
        """Return the records from `first` up to but not including `end`.

        :returns: None when some of them are not kept.
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
        """Remove all records."""
        self._records.clear()
