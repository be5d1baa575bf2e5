"""Publishes release notes; publishing a note again changes nothing."""

import dataclasses

import msgspec

from lagoonflow.clients.messages.log import Appended
from lagoonflow.clock import Clock
from lagoonflow.releases.changes import NOTE_KIND, NoteBody
from lagoonflow.releases.note import Note
from lagoonflow.releases.state import (
    NoteOutcome,
    ReleaseFold,
    content_digest,
)
from lagoonflow.results import Refusal, Result
from lagoonflow.streams.appender import StreamAppender
from lagoonflow.streams.envelope import Record
from lagoonflow.streams.follower import StreamFollower

DERIVED_ID_CHARS = 24
STEP_TIMEOUT_MS = 15_000

NOT_READ_BACK = (
    'The note was appended at offset {offset} but not read back in time.'
    ' Publish it again to see whether it was accepted.'
)
ID_TAKEN = (
    'Another note already has the id {note_id!r}.'
    ' Choose another id, or leave it out.'
)
NOT_CURRENT = 'The releases in force could not be read in time.'


@dataclasses.dataclass(frozen=True, slots=True)
class PublishResult:
    """The outcome of publishing a note.

    :param outcome: whether the note was accepted, and if not, why.
    :param is_repeat: whether an earlier attempt had published the note.
    """

    outcome: NoteOutcome
    is_repeat: bool = False


def prepare_record(
    fold: ReleaseFold, note: Note, now_ms: int
) -> Record | PublishResult | Refusal:
    """Return the record to append, or the result of an earlier attempt.

    A note without an id gets one that is derived from its changes and their
    base versions, so that publishing again after a crash finds the earlier
    attempt.

    :param now_ms: wall clock, in ms.
    :returns: a refusal when another note has the same id.
    """
    content = content_digest(note.changes)
    if note.note_id:
        outcome = fold.find_outcome(note.note_id)
        if outcome is not None:
            return _match_earlier_attempt(outcome, content)
        return _build_record(note, note.note_id, now_ms)
    attempt = 1
    note_id = _derived_id(content, attempt)
    outcome = fold.find_outcome(note_id)
    while outcome is not None and not outcome.is_accepted:
        # A note that was rejected is published again under a new id: the
        # objects in force may have changed, so it may be accepted now.
        attempt += 1
        note_id = _derived_id(content, attempt)
        outcome = fold.find_outcome(note_id)
    if outcome is not None:
        return PublishResult(outcome, is_repeat=True)
    return _build_record(note, note_id, now_ms)


class Publisher:
    """Publishes notes and waits for their outcomes.

    :param follower: follows the releases stream; the caller runs it.
    :param appender: appends to the releases stream; the caller runs it.
    :param wall_clock: returns the wall clock, in ms.
    """

    def __init__(
        self,
        follower: StreamFollower,
        appender: StreamAppender,
        wall_clock: Clock,
    ) -> None:
        self._follower = follower
        self._appender = appender
        self._wall_clock = wall_clock

    async def publish(
        self, note: Note, timeout_ms: int = STEP_TIMEOUT_MS
    ) -> PublishResult | Refusal:
        """Append a note and read it back.

        :param timeout_ms: timeout of each of the three steps (catching up,
            appending, reading back), in ms.
        :returns: a refusal when the log is unavailable or another note has
            the same id.
        """
        if not await self._follower.wait_until_current(timeout_ms):
            return Refusal(Result.LOG_UNAVAILABLE, NOT_CURRENT)
        record = prepare_record(self._follower.fold, note, self._wall_clock())
        if not isinstance(record, Record):
            return record
        appended = await self._appender.append(record, timeout_ms)
        if isinstance(appended, Refusal):
            return appended
        next_offset = appended.first_offset + 1
        await self._follower.wait_for(next_offset, timeout_ms)
        return self._read_outcome(note, record.record_id, appended)

    def _read_outcome(
        self, note: Note, note_id: str, appended: Appended
    ) -> PublishResult | Refusal:
        outcome = self._follower.fold.find_outcome(note_id)
        if outcome is None:
            reason = NOT_READ_BACK.format(offset=appended.first_offset)
            return Refusal(Result.LOG_UNAVAILABLE, reason, not_run=False)
        # Another operator may have published under the same id since the
        # check before the append.
        earlier = _match_earlier_attempt(outcome, content_digest(note.changes))
        if outcome.offset == appended.first_offset:
            return PublishResult(outcome)
        return earlier


def _match_earlier_attempt(
    outcome: NoteOutcome, content: str
) -> PublishResult | Refusal:
    if outcome.content == content:
        return PublishResult(outcome, is_repeat=True)
    reason = ID_TAKEN.format(note_id=outcome.note_id)
    return Refusal(Result.NOTE_REJECTED, reason)


def _derived_id(content: str, attempt: int) -> str:
    return f'note-{content[:DERIVED_ID_CHARS]}-{attempt}'


def _build_record(note: Note, note_id: str, now_ms: int) -> Record:
    changes = tuple(msgspec.to_builtins(change) for change in note.changes)
    body = NoteBody(changes, note.author, note.message, now_ms)
    return Record(note_id, NOTE_KIND, body)
