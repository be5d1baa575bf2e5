"""Results of the clients of the platform."""

import dataclasses

from lagoonflow.streams.messages import LogRecord


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The records were appended, the first one at this offset."""

    first_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendUnknown:
    """The append may or may not have taken effect."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRefused:
    """The append has certainly not taken effect."""

    reason: str
    retry_after_ms: int = 0


AppendResult = Appended | AppendUnknown | AppendRefused


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records read from a stream, in offset order.

    :param earliest: offset of the oldest record that is still kept.
    :param head: offset that the next record will get.
    """

    records: tuple[LogRecord, ...]
    earliest: int
    head: int


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """The asked records are no longer kept."""

    earliest: int
    head: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The log service did not answer."""

    reason: str


ReadResult = Batch | Expired | Unavailable
