"""Reads and validates release notes, which operators write as YAML files."""

import dataclasses
import difflib
from typing import Any

import msgspec

from lagoonflow.keys.redaction import contains_key, redact
from lagoonflow.releases.changes import (
    CHANGE_TYPES,
    MAX_CHANGES,
    Change,
    Put,
    Withdraw,
    decode_change,
)
from lagoonflow.releases.fields import Name, Text
from lagoonflow.releases.messages import ObjectKind
from lagoonflow.releases.yaml_source import (
    NoteProblem,
    Path,
    Source,
    read_yaml,
)

NOTE_FIELD = 'note'
CHANGES_FIELD = 'changes'

NOT_A_MAPPING = 'Expected a mapping of fields to values.'
NOT_A_LIST = 'Expected a list of changes.'
NO_CHANGES = 'The note changes nothing. List at least one change.'
TOO_MANY_CHANGES = (
    f'The note has more than {MAX_CHANGES} changes.'
    ' Publish it as several notes.'
)
UNKNOWN_FIELD = 'The field {name!r} is unknown.'
MISSING_FIELD = 'The field {name!r} is missing.'
NO_OPERATION = (
    "The change has neither 'put' nor 'withdraw'; it needs one of them."
)
TWO_OPERATIONS = (
    "The change has both 'put' and 'withdraw'; split it into two changes."
)
UNKNOWN_KIND = 'The kind of object {kind!r} is unknown.'
CONTAINS_KEY = 'The note contains a key.'

KINDS_HINT = f'Known kinds: {", ".join(ObjectKind)}.'
KEY_HINT = 'Withdraw this key, and write only digests of keys into notes.'
QUOTE_HINT = 'Put the value in quotes, so that YAML reads it as text.'
FIELDS_HINT = 'Known fields: {names}.'
GUESS_HINT = 'Did you mean {guess!r}?'
NAME_HINT = 'Use letters, digits and ._:/- without spaces.'
PREFIX_HINT = 'Write it like /portal/roster, without a slash at the end.'
BASE_HINT = (
    'Give the version in force, as lagoonflowctl release show prints it,'
    ' or 0 for a new object.'
)
DIGEST_HINT = 'Use the digest that lagoonflowctl key new prints.'
EXAMPLE_HINT = 'A change starts like this: "- put: model".'
SCHEMA_DIALECT = 'https://json-schema.org/draft/2020-12/schema'

FIELD_HINTS = {
    'base': BASE_HINT,
    'digest': DIGEST_HINT,
    'name': NAME_HINT,
    'prefix': PREFIX_HINT,
}


class NoteHeader(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The fields of a note that describe it as a whole.

    :param note_id: unique id; derived from the changes when it is absent.
    """

    note_id: Name | None = msgspec.field(default=None, name='id')
    author: Text = ''
    message: Text = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """A valid release note from a file."""

    changes: tuple[Change, ...]
    note_id: str = ''
    author: str = ''
    message: str = ''


def parse_note(raw: bytes) -> Note | tuple[NoteProblem, ...]:
    """Read and validate a note file.

    :param raw: content of the file.
    :returns: the note, or all problems found in it; texts that look like
        keys are redacted.
    """
    source = read_yaml(raw)
    note = None
    if not source.problems:
        note = _NoteReader(source).read()
    if contains_key(raw.decode('utf-8', 'replace')):
        _report_key(source, raw)
    if source.problems or note is None:
        return tuple(_redacted(problem) for problem in source.problems)
    return note


def note_schema() -> dict[str, Any]:
    """Return the JSON schema of note files."""
    (put, withdraw, header), definitions = msgspec.json.schema_components(
        (Put, Withdraw, NoteHeader),
    )
    changes = {
        'type': 'array',
        'minItems': 1,
        'maxItems': MAX_CHANGES,
        'items': {'anyOf': [put, withdraw]},
    }
    return {
        '$schema': SCHEMA_DIALECT,
        'title': 'lagoonflow release note',
        'type': 'object',
        'required': [CHANGES_FIELD],
        'additionalProperties': False,
        'properties': {NOTE_FIELD: header, CHANGES_FIELD: changes},
        '$defs': definitions,
    }


class _NoteReader:
    """Builds a note from YAML values.

    It continues after a problem, so that an operator sees all of them at once.
    """

    def __init__(self, source: Source) -> None:
        self._source = source

    def read(self) -> Note | None:
        content = self._source.content
        if not isinstance(content, dict):
            self._source.add_problem((), NOT_A_MAPPING)
            return None
        known = (NOTE_FIELD, CHANGES_FIELD)
        self._check_names(content, known, ())
        header = self._read_header(content.get(NOTE_FIELD) or {})
        changes = self._read_changes(content.get(CHANGES_FIELD))
        if self._source.problems or header is None:
            return None
        return Note(
            changes, header.note_id or '', header.author, header.message
        )

    def _read_header(self, raw: Any) -> NoteHeader | None:
        path = (NOTE_FIELD,)
        if self._check_fields(raw, NoteHeader, path):
            return msgspec.convert(raw, NoteHeader)
        return None

    def _read_changes(self, raw: Any) -> tuple[Change, ...]:
        path = (CHANGES_FIELD,)
        if not isinstance(raw, list):
            self._source.add_problem(path, NOT_A_LIST, EXAMPLE_HINT)
            return ()
        if not raw:
            self._source.add_problem(path, NO_CHANGES)
        if len(raw) > MAX_CHANGES:
            self._source.add_problem(path, TOO_MANY_CHANGES)
        changes = [
            self._read_change(fields, (*path, index))
            for index, fields in enumerate(raw)
        ]
        return tuple(change for change in changes if change is not None)

    def _read_change(self, raw: Any, path: Path) -> Change | None:
        if not isinstance(raw, dict):
            self._source.add_problem(path, NOT_A_MAPPING, EXAMPLE_HINT)
            return None
        change_type = self._change_type(raw, path)
        if change_type is None:
            return None
        if self._check_fields(raw, change_type, path):
            return decode_change(raw)
        return None

    def _change_type(self, raw: dict[str, Any], path: Path) -> type | None:
        operations = [
            operation for operation in CHANGE_TYPES if operation in raw
        ]
        if len(operations) != 1:
            reason = TWO_OPERATIONS if operations else NO_OPERATION
            self._source.add_problem(path, reason, EXAMPLE_HINT)
            return None
        operation = operations[0]
        kind = raw[operation]
        if kind not in tuple(ObjectKind):
            reason = UNKNOWN_KIND.format(kind=kind)
            self._source.add_problem((*path, operation), reason, KINDS_HINT)
            return None
        return CHANGE_TYPES[operation][ObjectKind(kind)]

    def _check_fields(
        self, raw: Any, expected: type[msgspec.Struct], path: Path
    ) -> bool:
        if not isinstance(raw, dict):
            self._source.add_problem(path, NOT_A_MAPPING)
            return False
        before = len(self._source.problems)
        fields = msgspec.structs.fields(expected)
        tag_field = expected.__struct_config__.tag_field
        names = [field.encode_name for field in fields]
        self._check_names(raw, (*names, tag_field or ''), path)
        for field in fields:
            self._check_field(raw, field, path)
        return len(self._source.problems) == before

    def _check_field(
        self,
        raw: dict[str, Any],
        field: msgspec.structs.FieldInfo,
        path: Path,
    ) -> None:
        name = field.encode_name
        if name not in raw:
            if field.required:
                reason = MISSING_FIELD.format(name=name)
                self._source.add_problem(
                    path, reason, FIELD_HINTS.get(name, '')
                )
            return
        try:
            msgspec.convert(raw[name], field.type)
        except msgspec.ValidationError as error:
            hint = _type_hint(raw[name], str(error)) or FIELD_HINTS.get(name)
            reason = f'{error}.'.replace('`', '')
            self._source.add_problem((*path, name), reason, hint or '')

    def _check_names(
        self, raw: dict[str, Any], known: tuple[str, ...], path: Path
    ) -> None:
        for name in raw:
            if name not in known:
                reason = UNKNOWN_FIELD.format(name=name)
                hint = _suggest_field(name, known)
                self._source.add_problem((*path, name), reason, hint)


def _suggest_field(name: str, known: tuple[str, ...]) -> str:
    guesses = difflib.get_close_matches(name, known, n=1)
    if guesses:
        return GUESS_HINT.format(guess=guesses[0])
    return FIELDS_HINT.format(names=', '.join(filter(None, known)))


def _type_hint(found: Any, reason: str) -> str:
    if 'Expected `str' in reason and not isinstance(found, str):
        return QUOTE_HINT
    return ''


def _report_key(source: Source, raw: bytes) -> None:
    for index, line in enumerate(raw.decode('utf-8', 'replace').splitlines()):
        if contains_key(line):
            source.problems.append(
                NoteProblem('', CONTAINS_KEY, index + 1, KEY_HINT),
            )


def _redacted(problem: NoteProblem) -> NoteProblem:
    return NoteProblem(
        redact(problem.path),
        redact(problem.reason),
        problem.line,
        redact(problem.hint),
    )
