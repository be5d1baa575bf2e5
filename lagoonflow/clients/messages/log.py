"""Results of the log service."""

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
    """The records may be in the stream or not.

    :param reason: one sentence for a person.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRefused:
    """The records are certainly not in the stream.

    :param reason: one sentence for a person.
    :param retry_after_ms: when to come back, in ms; 0 when not told.
    """

    reason: str
    retry_after_ms: int = 0


AppendResult = Appended | AppendUnknown | AppendRefused


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record of a stream.

    :param offset: place in the stream.
    :param value: text of the record.
    :param time_ms: the log's wall clock at the append, in ms.
    """

    offset: int
    value: str
    time_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records read from a stream, and the bounds of the stream.

    :param records: records in offset order; may be empty.
    :param earliest: offset of the oldest record that is kept.
    :param head: offset of the next record to be written.
    """

    records: tuple[Record, ...]
    earliest: int
    head: int


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """The wanted offset is older than the retention.

    :param earliest: offset of the oldest record that is kept.
    :param head: offset of the next record to be written.
    """

    earliest: int
    head: int


ReadResult = Batch | Expired | Unavailable
