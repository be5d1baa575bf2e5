"""Folds the releases stream into the objects in force."""

import dataclasses
import hashlib
from typing import Any

import msgspec

from lagoonflow.releases.catalogue import (
    Catalogue,
    ObjectProblem,
    StoredCatalogue,
    check_bases,
    load_catalogue,
)
from lagoonflow.releases.changes import (
    NOTE_KIND,
    Change,
    NoteBody,
    decode_change,
    kind_of,
)
from lagoonflow.releases.lookups import ReleaseLookups
from lagoonflow.releases.messages import ObjectKind
from lagoonflow.releases.references import check_references
from lagoonflow.results import Refusal, Result
from lagoonflow.streams.envelope import Envelope
from lagoonflow.streams.fold import FoldBase
from lagoonflow.streams.messages import Stream

MAX_STORED_OUTCOMES = 200
MAX_LISTED_OBJECTS = 20
UNKNOWN_KIND = 'The kind of the record is unknown.'


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectVersion:
    """The version of an object after a note."""

    kind: ObjectKind
    name: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class NoteOutcome:
    """Whether a release note was accepted, and with what result.

    :param offset: offset of the note in the releases stream.
    :param content: digest of its changes; see :func:`content_digest`.
    :param published_at_ms: wall clock of the operator's machine, in ms.
    :param versions: versions of the changed objects after an accepted note,
        at most ``MAX_LISTED_OBJECTS``.
    :param problems: why the note was rejected, at most
        ``MAX_LISTED_OBJECTS``; empty when it was accepted.
    :param object_count: number of objects that the note changes.
    """

    note_id: str
    offset: int
    content: str
    author: str = ''
    message: str = ''
    published_at_ms: int = 0
    versions: tuple[ObjectVersion, ...] = ()
    problems: tuple[ObjectProblem, ...] = ()
    object_count: int = 0

    @property
    def is_accepted(self) -> bool:
        """Return whether the note was accepted."""
        return not self.problems


class _StoredState(msgspec.Struct, frozen=True):
    catalogue: StoredCatalogue
    outcomes: tuple[NoteOutcome, ...]


class ReleaseFold(ReleaseLookups, FoldBase):
    """The objects in force as of one offset of the releases stream."""

    stream = Stream.RELEASES

    def __init__(self) -> None:
        super().__init__()
        self._outcomes: dict[str, NoteOutcome] = {}

    @property
    def outcomes(self) -> tuple[NoteOutcome, ...]:
        """Return the outcomes of the latest notes, oldest first."""
        return tuple(self._outcomes.values())

    def find_outcome(self, note_id: str) -> NoteOutcome | None:
        """Return the outcome of a note; ``None`` if unknown or too old."""
        return self._outcomes.get(note_id)

    def _fold(self, envelope: Envelope, offset: int) -> Refusal | None:
        if envelope.kind != NOTE_KIND:
            return Refusal(Result.RECORD_REJECTED, UNKNOWN_KIND)
        note = msgspec.json.decode(envelope.body, type=NoteBody)
        changes = tuple(decode_change(fields) for fields in note.changes)
        problems, after = check_changes(self.catalogue, changes)
        if not problems:
            self.replace_catalogue(after)
        self._store_outcome(
            NoteOutcome(
                note_id=envelope.record_id,
                offset=offset,
                content=content_digest(changes),
                author=note.author,
                message=note.message,
                published_at_ms=note.published_at_ms,
                versions=() if problems else _list_versions(after, changes),
                # Outcomes are part of checkpoints, so their size is limited.
                problems=tuple(problems[:MAX_LISTED_OBJECTS]),
                object_count=len(changes),
            ),
        )
        return None

    def _dump(self) -> Any:
        return {
            'catalogue': self.catalogue.dump(),
            'outcomes': tuple(self._outcomes.values()),
        }

    def _load(self, state: msgspec.Raw) -> None:
        stored = msgspec.json.decode(state, type=_StoredState)
        self.replace_catalogue(load_catalogue(stored.catalogue))
        self._outcomes = {
            outcome.note_id: outcome for outcome in stored.outcomes
        }

    def _store_outcome(self, outcome: NoteOutcome) -> None:
        self._outcomes.pop(outcome.note_id, None)
        self._outcomes[outcome.note_id] = outcome
        if len(self._outcomes) > MAX_STORED_OUTCOMES:
            self._outcomes.pop(next(iter(self._outcomes)))


def check_changes(
    catalogue: Catalogue, changes: tuple[Change, ...]
) -> tuple[list[ObjectProblem], Catalogue]:
    """Check all changes of a note, which is accepted or rejected as a whole.

    :returns: all problems, and the catalogue after the note. When a change
        has a wrong base version, references are not checked and the
        catalogue is the old one.
    """
    problems = check_bases(catalogue, changes)
    if problems:
        return problems, catalogue
    after = catalogue.with_changes(changes)
    return check_references(after, changes), after


def content_digest(changes: tuple[Change, ...]) -> str:
    """Return a digest of changes that does not depend on their order."""
    encoded = sorted(
        msgspec.json.encode(change, order='sorted') for change in changes
    )
    return hashlib.sha256(b'\n'.join(encoded)).hexdigest()


def _list_versions(
    after: Catalogue, changes: tuple[Change, ...]
) -> tuple[ObjectVersion, ...]:
    return tuple(
        ObjectVersion(
            kind_of(change),
            change.name,
            after.version(kind_of(change), change.name),
        )
        for change in changes[:MAX_LISTED_OBJECTS]
    )
