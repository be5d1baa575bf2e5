"""Results of requests to the log service."""

import dataclasses

from lagoonflow.clients.messages.common import Unavailable


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The records are in the stream.

    :param first_offset: offset of the first record.
    """

    first_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendUnknown:
    """It is unknown whether the records are in the stream.

    :param reason: what went wrong, for logs and error messages.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRefused:
    """The records are certainly not in the stream.

    :param reason: what went wrong, for logs and error messages.
    :param retry_after_ms: delay before a retry, in ms; 0 when the service
        names none.
    """

    reason: str
    retry_after_ms: int = 0


AppendResult = Appended | AppendUnknown | AppendRefused


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record of a stream.

    :param offset: position in the stream.
    :param value: text of the record.
    :param time_ms: wall-clock time of the log service at the append, in ms.
    """

    offset: int
    value: str
    time_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records read from a stream, and the bounds of the stream.

    :param records: records in offset order; may be empty.
    :param earliest: offset of the oldest record that is still stored.
    :param head: offset of the next record to be written.
    """

    records: tuple[Record, ...]
    earliest: int
    head: int


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """The record at the requested offset is past its retention.

    :param earliest: offset of the oldest record that is still stored.
    :param head: offset of the next record to be written.
    """

    earliest: int
    head: int


ReadResult = Batch | Expired | Unavailable
