"""Implements the commands of lagoonflowctl that read a note file."""

import dataclasses
import pathlib

from lagoonflow.cli import commands
from lagoonflow.cli.environment import Environment
from lagoonflow.cli.exit_status import ExitStatus
from lagoonflow.cli.output import printable
from lagoonflow.cli.refusals import report_refusal
from lagoonflow.cli.stream_session import open_session, read_stream
from lagoonflow.clock import wall_clock_ms
from lagoonflow.releases.catalogue import ObjectProblem
from lagoonflow.releases.note import Note, parse_note
from lagoonflow.releases.plan import PlanAction, PlannedChange, make_plan
from lagoonflow.releases.publish import Publisher, PublishResult
from lagoonflow.releases.state import MAX_LISTED_OBJECTS, ReleaseFold
from lagoonflow.releases.yaml_source import NoteProblem
from lagoonflow.results import Refusal, Result

VALID = '{path}: the note is valid, {count} changes.'
UNREADABLE = '{path}: the file cannot be read: {reason}.'
PROBLEM_COUNT = '{path}: {count} problems, code {code}. Nothing was published.'
WOULD_BE_REJECTED = 'The note would be rejected:'
WOULD_BE_ACCEPTED = 'The note would be accepted.'
ACCEPTED = 'accepted: note {note_id} at offset {offset}'
REJECTED = 'rejected: note {note_id} at offset {offset}, code {code}'
REPEATED = 'An earlier attempt has already published this note.'
REJECTED_HINT = (
    'No change of the note is in force. Compare its base versions with'
    ' lagoonflowctl release show, correct it and publish it again.'
)
MORE_OBJECTS = 'The note changes {count} objects; only the first are listed.'
MAYBE_PUBLISHED = (
    'The note may have been published. Publish it again to see whether it was'
    ' accepted; repeating the command is safe.'
)
NOT_PUBLISHED = 'The note was not published.'


def validate(
    command: commands.ValidateNote, environment: Environment
) -> ExitStatus:
    """Check a note file and print its problems."""
    note = _read_note(command.path, environment)
    if isinstance(note, ExitStatus):
        return note
    count = len(note.changes)
    environment.print(VALID.format(path=command.path, count=count))
    return ExitStatus.SUCCESS


async def plan(
    command: commands.PlanNote, environment: Environment
) -> ExitStatus:
    """Print what a note would change and whether it would be accepted.

    :returns: ``CHANGES_PENDING`` when publishing the note would change an
        object, ``SUCCESS`` when it would change none, and ``NOTE_REJECTED``
        when it would be rejected.
    """
    note = _read_note(command.path, environment)
    if isinstance(note, ExitStatus):
        return note
    fold = await read_stream(
        ReleaseFold(), command.log_address, command.timeout_ms
    )
    if isinstance(fold, Refusal):
        return report_refusal(fold, environment)
    planned = make_plan(fold.catalogue, note.changes)
    for change in planned.changes:
        _print_planned(change, environment)
    if planned.problems:
        environment.print(WOULD_BE_REJECTED)
        _print_problems(planned.problems, environment)
        return ExitStatus.NOTE_REJECTED
    environment.print(WOULD_BE_ACCEPTED)
    actions = {planned_change.action for planned_change in planned.changes}
    if actions == {PlanAction.KEEP}:
        return ExitStatus.SUCCESS
    return ExitStatus.CHANGES_PENDING


async def publish(
    command: commands.PublishNote, environment: Environment
) -> ExitStatus:
    """Publish a note and print whether it was accepted."""
    note = _read_note(command.path, environment)
    if isinstance(note, ExitStatus):
        return note
    if not note.author:
        note = dataclasses.replace(note, author=command.author)
    async with open_session(ReleaseFold(), command.log_address) as session:
        refusal = await session.wait_until_current(command.timeout_ms)
        if refusal is not None:
            return report_refusal(refusal, environment, NOT_PUBLISHED)
        publisher = Publisher(session.follower, session.appender, wall_clock_ms)
        result = await publisher.publish(note, command.timeout_ms)
    match result:
        case Refusal(not_run=not_run):
            hint = NOT_PUBLISHED if not_run else MAYBE_PUBLISHED
            return report_refusal(result, environment, hint)
        case PublishResult():
            return _report_outcome(result, environment)


def _read_note(
    path: pathlib.Path, environment: Environment
) -> Note | ExitStatus:
    try:
        raw = path.read_bytes()
    except OSError as error:
        reason = error.strerror or type(error).__name__
        environment.print_to_stderr(UNREADABLE.format(path=path, reason=reason))
        return ExitStatus.NOTE_MALFORMED
    note = parse_note(raw)
    if isinstance(note, Note):
        return note
    for problem in note:
        environment.print_to_stderr(_describe(path, problem))
    text = PROBLEM_COUNT.format(
        path=path, count=len(note), code=Result.NOTE_MALFORMED.value
    )
    environment.print_to_stderr(text)
    return ExitStatus.NOTE_MALFORMED


def _describe(path: pathlib.Path, problem: NoteProblem) -> str:
    location = f'{path}:{problem.line}' if problem.line else str(path)
    path_prefix = f' {problem.path}:' if problem.path else ''
    text = f'{location}:{path_prefix} {problem.reason} {problem.hint}'
    return printable(text.rstrip())


def _print_planned(change: PlannedChange, environment: Environment) -> None:
    environment.print(
        f'{change.action} {change.kind} {change.name}'
        f' (version {change.version})',
    )
    if change.action is PlanAction.WITHDRAW:
        return
    for field in change.fields:
        before = '' if field.before is None else f'{field.before!r} -> '
        environment.print(f'    {field.name}: {before}{field.after!r}')


def _print_problems(
    problems: tuple[ObjectProblem, ...], environment: Environment
) -> None:
    for problem in problems:
        environment.print(f'  {problem.kind} {problem.name}: {problem.reason}')


def _report_outcome(
    published: PublishResult, environment: Environment
) -> ExitStatus:
    outcome = published.outcome
    if published.is_repeat:
        environment.print(REPEATED)
    text = ACCEPTED if outcome.is_accepted else REJECTED
    environment.print(
        text.format(
            note_id=outcome.note_id,
            offset=outcome.offset,
            code=Result.NOTE_REJECTED.value,
        ),
    )
    for changed in outcome.versions:
        environment.print(
            f'  {changed.kind} {changed.name}: version {changed.version}',
        )
    _print_problems(outcome.problems, environment)
    listed_count = len(outcome.versions) + len(outcome.problems)
    if (
        listed_count == MAX_LISTED_OBJECTS
        and listed_count < outcome.object_count
    ):
        environment.print(MORE_OBJECTS.format(count=outcome.object_count))
    if outcome.is_accepted:
        return ExitStatus.SUCCESS
    environment.print(REJECTED_HINT)
    return ExitStatus.NOTE_REJECTED
