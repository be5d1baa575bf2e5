"""Command line of lagoonflowctl: declarations only."""

import pathlib
from collections.abc import Mapping
from typing import Annotated

import cyclopts
from cyclopts import Parameter

from lagoonflow.cli import commands
from lagoonflow.cli.arguments import PositiveInt, UrlArgument
from lagoonflow.cli.value_parsers import parse_address
from lagoonflow.cli.variables import VariableSource
from lagoonflow.cli.version import package_version
from lagoonflow.releases.messages import ObjectKind
from lagoonflow.wire.address import Address, netloc_of

PROGRAM = 'lagoonflowctl'
RETURN_VALUE_ACTION = 'return_value'
MS_PER_S = 1000

HELP = """Publish release notes and look into a running fleet.

A first release: `lagoonflowctl key new` prints a key and its digest. Put the
digest into a note file, check it with `lagoonflowctl release validate FILE`,
and publish it with `lagoonflowctl release publish FILE --log-url URL`.

Flags with a value are also environment variables, such as
LAGOONFLOW_LOG_URL.
"""
RELEASE_HELP = 'Check, plan and publish release notes; show what is in force.'
KEY_HELP = 'Make keys for callers.'

NoteFile = Annotated[pathlib.Path, Parameter(help='Release note, a YAML file.')]
LogFile = Annotated[
    pathlib.Path, Parameter(help='What processes wrote to standard output.')
]
LogUrl = Annotated[
    UrlArgument, Parameter(name='--log-url', help='URL of the log service.')
]
OptionalLogUrl = Annotated[
    UrlArgument,
    Parameter(
        name='--log-url',
        help='URL of the log service, whose roster names the processes.',
    ),
]
TimeoutS = Annotated[
    PositiveInt, Parameter(help='Longest time for each step, in s.')
]
AsJson = Annotated[
    bool, Parameter(name='--json', negative='', help='Print JSON lines.')
]


def _convert_addresses(
    _type: object, tokens: list[cyclopts.Token]
) -> tuple[Address, ...]:
    return tuple(parse_address(token.value) for token in tokens)


Processes = Annotated[
    tuple[Address, ...],
    Parameter(
        name='--process',
        converter=_convert_addresses,
        n_tokens=1,
        negative='',
        accepts_keys=False,
        help='Administrative HOST:PORT of a process; may be repeated.',
    ),
]


def build_app(variables: Mapping[str, str]) -> cyclopts.App:
    """Return the app; its commands return what is to be done."""
    app = cyclopts.App(
        name=PROGRAM,
        help=HELP,
        version=package_version,
        config=VariableSource(variables),
        result_action=RETURN_VALUE_ACTION,
    )
    app.command(_build_release_app())
    key_app = cyclopts.App(name='key', help=KEY_HELP)
    key_app.command(make_key, name='new')
    app.command(key_app)
    app.command(explain, name='explain')
    app.command(show_status, name='status')
    app.command(show_time_line, name='timeline')
    app.command(explain_request, name='explain-request')
    app.command(summarize_log, name='summarize-log')
    return app


def _build_release_app() -> cyclopts.App:
    release_app = cyclopts.App(name='release', help=RELEASE_HELP)
    release_app.command(validate, name='validate')
    release_app.command(plan, name='plan')
    release_app.command(publish, name='publish')
    release_app.command(show, name='show')
    release_app.command(history, name='history')
    release_app.command(schema, name='schema')
    return release_app


def validate(note: NoteFile) -> commands.ValidateNote:
    """Check a note file and name all its mistakes at once."""
    return commands.ValidateNote(note)


def plan(
    note: NoteFile, *, log_url: LogUrl, timeout_s: TimeoutS = 15
) -> commands.PlanNote:
    """Show what a note would change against what is in force."""
    return commands.PlanNote(note, netloc_of(log_url), timeout_s * MS_PER_S)


def publish(
    note: NoteFile,
    *,
    log_url: LogUrl,
    timeout_s: TimeoutS = 15,
    author: Annotated[
        str, Parameter(help='Author, when the note names none.')
    ] = '',
) -> commands.PublishNote:
    """Publish a note and wait until it is accepted or rejected.

    It is safe to repeat after a crash or a lost answer.
    """
    return commands.PublishNote(
        note, netloc_of(log_url), timeout_s * MS_PER_S, author
    )


def show(
    kind: Annotated[
        ObjectKind | None, Parameter(help='Only objects of this kind.')
    ] = None,
    *,
    log_url: LogUrl,
    timeout_s: TimeoutS = 15,
    as_json: AsJson = False,
) -> commands.ShowReleases:
    """Show the objects in force, with the versions to base changes on."""
    return commands.ShowReleases(
        netloc_of(log_url), timeout_s * MS_PER_S, kind, as_json
    )


def history(
    *, log_url: LogUrl, timeout_s: TimeoutS = 15, as_json: AsJson = False
) -> commands.ShowHistory:
    """Show the last notes, who published them and what became of them."""
    return commands.ShowHistory(
        netloc_of(log_url), timeout_s * MS_PER_S, as_json
    )


def schema() -> commands.ShowSchema:
    """Print the JSON schema of note files, for editors."""
    return commands.ShowSchema()


def make_key() -> commands.MakeKey:
    """Make a key; it is printed once, with its digest for the note."""
    return commands.MakeKey()


def explain(
    code: Annotated[
        str, Parameter(help='Number or name; all codes when left out.')
    ] = '',
) -> commands.ExplainCode:
    """Explain a result code and what to do about it."""
    return commands.ExplainCode(code)


def show_status(
    *,
    log_url: OptionalLogUrl = '',
    process: Processes = (),
    timeout_s: TimeoutS = 5,
    as_json: AsJson = False,
) -> commands.ShowStatus:
    """Show all processes, their versions and who is behind."""
    fleet = _build_fleet(log_url, timeout_s, process)
    return commands.ShowStatus(fleet, as_json)


def show_time_line(
    *,
    log_url: OptionalLogUrl = '',
    process: Processes = (),
    timeout_s: TimeoutS = 5,
    request: Annotated[str, Parameter(help='Only this request id.')] = '',
    model: Annotated[str, Parameter(help='Only this model.')] = '',
    host: Annotated[str, Parameter(help='Only this host.')] = '',
    since_ms: Annotated[
        int, Parameter(help='Earliest wall clock, in ms since 1970.')
    ] = 0,
    as_json: AsJson = False,
) -> commands.ShowTimeLine:
    """Merge the events of all processes, in the order of their clocks."""
    fleet = _build_fleet(log_url, timeout_s, process)
    return commands.ShowTimeLine(fleet, request, model, host, since_ms, as_json)


def explain_request(
    request: Annotated[str, Parameter(help='Id of the request.')],
    *logs: LogFile,
) -> commands.ExplainRequest:
    """Show how a request ended, and what happened around it, from logs."""
    return commands.ExplainRequest(request, logs)


def summarize_log(*logs: LogFile) -> commands.SummarizeLog:
    """Count calls by route and time, and orders by process, from logs."""
    return commands.SummarizeLog(logs)


def _build_fleet(
    log_url: str, timeout_s: int, processes: tuple[Address, ...]
) -> commands.Fleet:
    if not log_url and not processes:
        raise ValueError('Give --log-url, or --process HOST:PORT.')
    log = netloc_of(log_url) if log_url else ''
    return commands.Fleet(log, timeout_s * MS_PER_S, processes)
