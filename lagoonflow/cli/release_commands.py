"""Implements ``lagoonflowctl key`` and the read-only release commands."""

import dataclasses

import msgspec

from lagoonflow.cli import commands
from lagoonflow.cli.environment import Environment
from lagoonflow.cli.exit_status import ExitStatus
from lagoonflow.cli.output import print_json, print_table
from lagoonflow.cli.refusals import report_refusal
from lagoonflow.cli.stream_session import read_stream
from lagoonflow.keys.state import new_key
from lagoonflow.releases.messages import ObjectKind
from lagoonflow.releases.note import note_schema
from lagoonflow.releases.state import NoteOutcome, ReleaseFold
from lagoonflow.results import Refusal

KEY_SHOWN_ONCE = (
    'This key is shown only once. Give it to the caller over a secure channel.'
)
DIGEST_FOR_NOTE = 'Put this digest into a release note:'

SHOW_HEADER = ('KIND', 'NAME', 'VERSION', 'STATE', 'FIELDS')
HISTORY_HEADER = ('OFFSET', 'NOTE', 'AUTHOR', 'OUTCOME', 'OBJECTS', 'MESSAGE')


async def show(
    command: commands.ShowReleases, environment: Environment
) -> ExitStatus:
    """Print the objects in force, with the withdrawn ones."""
    fold = await read_stream(
        ReleaseFold(), command.log_address, command.timeout_ms
    )
    if isinstance(fold, Refusal):
        return report_refusal(fold, environment)
    kinds = tuple(ObjectKind) if command.kind is None else (command.kind,)
    rows = [row for kind in kinds for row in _object_rows(fold, kind)]
    if not command.as_json:
        print_table(environment, SHOW_HEADER, map(_format_row, rows))
        return ExitStatus.SUCCESS
    for row in rows:
        print_json(environment, row)
    return ExitStatus.SUCCESS


async def history(
    command: commands.ShowHistory, environment: Environment
) -> ExitStatus:
    """Print the latest notes and whether each was accepted."""
    fold = await read_stream(
        ReleaseFold(), command.log_address, command.timeout_ms
    )
    if isinstance(fold, Refusal):
        return report_refusal(fold, environment)
    if command.as_json:
        for outcome in fold.outcomes:
            print_json(environment, outcome)
        return ExitStatus.SUCCESS
    rows = map(_history_row, fold.outcomes)
    print_table(environment, HISTORY_HEADER, rows)
    return ExitStatus.SUCCESS


def show_schema(environment: Environment) -> ExitStatus:
    """Print the JSON schema of note files."""
    encoded = msgspec.json.encode(note_schema())
    environment.print(msgspec.json.format(encoded).decode())
    return ExitStatus.SUCCESS


def make_key(environment: Environment) -> ExitStatus:
    """Create a key, and print it with its digest."""
    key = new_key()
    environment.print_to_stderr(KEY_SHOWN_ONCE)
    environment.print(f'key: {key.token}')
    environment.print_to_stderr(DIGEST_FOR_NOTE)
    environment.print(f'digest: {key.digest}')
    return ExitStatus.SUCCESS


@dataclasses.dataclass(frozen=True, slots=True)
class _ObjectRow:
    kind: ObjectKind
    name: str
    version: int
    is_withdrawn: bool
    spec: dict[str, object]


def _object_rows(fold: ReleaseFold, kind: ObjectKind) -> list[_ObjectRow]:
    stored = fold.catalogue.all_by_name(kind)
    return [
        _ObjectRow(
            kind,
            name,
            stored[name].version,
            stored[name].is_withdrawn,
            msgspec.to_builtins(stored[name].spec),
        )
        for name in sorted(stored)
    ]


def _format_row(row: _ObjectRow) -> tuple[object, ...]:
    state = 'withdrawn' if row.is_withdrawn else 'in force'
    fields = ' '.join(f'{name}={text}' for name, text in row.spec.items())
    return (row.kind.value, row.name, row.version, state, fields)


def _history_row(outcome: NoteOutcome) -> list[object]:
    changed = outcome.versions or outcome.problems
    names = ' '.join(f'{item.kind}:{item.name}' for item in changed)
    state = 'accepted' if outcome.is_accepted else 'rejected'
    return [
        outcome.offset,
        outcome.note_id,
        outcome.author,
        state,
        names,
        outcome.message,
    ]
