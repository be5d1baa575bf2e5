"""Declares the command line of lagoonflowctl.

Each command function returns a value from ``commands``; ``ctl`` executes it.
"""

import pathlib
from collections.abc import Mapping
from typing import Annotated

import cyclopts
from cyclopts import Parameter

from lagoonflow.cli import commands
from lagoonflow.cli.arguments import PositiveInt, UrlArgument
from lagoonflow.cli.log_app import add_log_commands
from lagoonflow.cli.value_parsers import parse_address
from lagoonflow.cli.variables import VariableSource
from lagoonflow.cli.version import package_version
from lagoonflow.releases.messages import ObjectKind
from lagoonflow.wire.address import Address, netloc_of

PROGRAM = 'lagoonflowctl'
RETURN_VALUE_ACTION = 'return_value'
MS_PER_S = 1000

HELP = """Publish release notes and inspect a running fleet.

To publish a first release, create a key and its digest with `lagoonflowctl
key new`. Put the digest into a note file, check the file with `lagoonflowctl
release validate FILE`, and publish it with `lagoonflowctl release publish FILE
--log-url URL`.

Flags with a value can be set by environment variables instead, such as
LAGOONFLOW_LOG_URL for --log-url.
"""
RELEASE_HELP = 'Check, plan and publish release notes; show objects in force.'
KEY_HELP = 'Create keys for callers.'

NoteFile = Annotated[pathlib.Path, Parameter(help='Release note (YAML file).')]
LogUrl = Annotated[
    UrlArgument, Parameter(name='--log-url', help='URL of the log service.')
]
OptionalLogUrl = Annotated[
    UrlArgument,
    Parameter(
        name='--log-url',
        help='URL of the log service whose roster lists the processes.',
    ),
]
TimeoutS = Annotated[PositiveInt, Parameter(help='Timeout of each step, in s.')]
AsJson = Annotated[
    bool,
    Parameter(
        name='--json', negative='', help='Print one JSON object per line.'
    ),
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
        help='Administrative HOST:PORT of a process; can be repeated.',
    ),
]


def build_app(variables: Mapping[str, str]) -> cyclopts.App:
    """Return the app; each of its commands returns a value to execute.

    :param variables: environment variables, which fill in absent flags.
    """
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
    add_log_commands(app)
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
    """Check a note file and print all its problems."""
    return commands.ValidateNote(note)


def plan(
    note: NoteFile, *, log_url: LogUrl, timeout_s: TimeoutS = 15
) -> commands.PlanNote:
    """Show how a note would change the objects in force."""
    return commands.PlanNote(note, netloc_of(log_url), timeout_s * MS_PER_S)


def publish(
    note: NoteFile,
    *,
    log_url: LogUrl,
    timeout_s: TimeoutS = 15,
    author: Annotated[
        str, Parameter(help='Author to record if the note names none.')
    ] = '',
) -> commands.PublishNote:
    """Publish a note and wait until it is accepted or rejected.

    It is safe to repeat the command after a crash or a lost answer.
    """
    return commands.PublishNote(
        note, netloc_of(log_url), timeout_s * MS_PER_S, author
    )


def show(
    kind: Annotated[
        ObjectKind | None, Parameter(help='Show only objects of this kind.')
    ] = None,
    *,
    log_url: LogUrl,
    timeout_s: TimeoutS = 15,
    as_json: AsJson = False,
) -> commands.ShowReleases:
    """Show the objects in force and the versions to base changes on."""
    return commands.ShowReleases(
        netloc_of(log_url), timeout_s * MS_PER_S, kind, as_json
    )


def history(
    *, log_url: LogUrl, timeout_s: TimeoutS = 15, as_json: AsJson = False
) -> commands.ShowHistory:
    """Show the latest notes, their authors and whether they were accepted."""
    return commands.ShowHistory(
        netloc_of(log_url), timeout_s * MS_PER_S, as_json
    )


def schema() -> commands.ShowSchema:
    """Print the JSON schema of note files, which editors can use."""
    return commands.ShowSchema()


def make_key() -> commands.MakeKey:
    """Create a key and print it, once, with its digest for a note."""
    return commands.MakeKey()


def explain(
    code: Annotated[
        str, Parameter(help='Number or name of the code; all codes if omitted.')
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
    """Show the status of all processes and which of them lag behind."""
    fleet = _build_fleet(log_url, timeout_s, process)
    return commands.ShowStatus(fleet, as_json)


def show_time_line(
    *,
    log_url: OptionalLogUrl = '',
    process: Processes = (),
    timeout_s: TimeoutS = 5,
    request: Annotated[
        str, Parameter(help='Show only events of this request id.')
    ] = '',
    model: Annotated[
        str, Parameter(help='Show only events of this model.')
    ] = '',
    host: Annotated[str, Parameter(help='Show only events of this host.')] = '',
    since_ms: Annotated[
        int,
        Parameter(help='Show only events from this time on, in ms since 1970.'),
    ] = 0,
    as_json: AsJson = False,
) -> commands.ShowTimeLine:
    """Show the events of all processes, in the order of their clocks."""
    fleet = _build_fleet(log_url, timeout_s, process)
    return commands.ShowTimeLine(fleet, request, model, host, since_ms, as_json)


def _build_fleet(
    log_url: str, timeout_s: int, processes: tuple[Address, ...]
) -> commands.Fleet:
    if not log_url and not processes:
        raise ValueError(
            'Set --log-url or --process HOST:PORT to find the processes.'
        )
    log_address = netloc_of(log_url) if log_url else ''
    return commands.Fleet(log_address, timeout_s * MS_PER_S, processes)
