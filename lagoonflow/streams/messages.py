"""Messages between processes about the streams that they share."""

import dataclasses
import enum


class Stream(enum.StrEnum):
    """Streams of the log service whose records all processes share."""

    RELEASES = 'releases'
    ROSTER = 'roster'
    CLAIMS = 'claims'


@dataclasses.dataclass(frozen=True, slots=True)
class Versions:
    """How far a process has folded each stream.

    :param releases: offset of the next record of the releases stream.
    :param roster: offset of the next record of the roster stream.
    """

    releases: int = 0
    roster: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """A record as the log service stores it.

    :param offset: position in its stream.
    :param text: JSON text of the record.
    """

    offset: int
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class PullRequest:
    """Request for the records that the sender lacks.

    :param next_offset: offset of the first missing record.
    :param versions: how far the sender has folded each stream.
    """

    stream: Stream
    next_offset: int
    versions: Versions


@dataclasses.dataclass(frozen=True, slots=True)
class PullReply:
    """Missing records, or a checkpoint when they are no longer kept.

    :param versions: how far the replying process has folded each stream.
    :param records: records in offset order, from the requested offset on.
    :param checkpoint: JSON text of a checkpoint record, or empty.
    """

    versions: Versions
    records: tuple[LogRecord, ...] = ()
    checkpoint: str = ''
