"""Messages about the agreed streams of the log service."""

import dataclasses
import enum


class Stream(enum.StrEnum):
    """The streams that carry agreed facts."""

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
    """One record as the log service holds it.

    :param offset: position in its stream.
    :param text: JSON text of the record.
    """

    offset: int
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class PullRequest:
    """Asks a peer for the records that the sender misses."""

    stream: Stream
    next_offset: int
    versions: Versions


@dataclasses.dataclass(frozen=True, slots=True)
class PullReply:
    """Missing records, or a checkpoint when they are no longer held.

    :param records: records in offset order, from the asked offset on.
    :param checkpoint: JSON text of a checkpoint record, or empty.
    """

    versions: Versions
    records: tuple[LogRecord, ...] = ()
    checkpoint: str = ''
