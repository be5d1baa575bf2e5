"""Entry point of ``lagoonflowctl``."""

import asyncio
import sys

import cyclopts

from lagoonflow.cli import commands
from lagoonflow.cli import fleet_commands as fleet
from lagoonflow.cli import log_commands as logs
from lagoonflow.cli import note_commands as note
from lagoonflow.cli import release_commands as release
from lagoonflow.cli.code_explanation import explain
from lagoonflow.cli.ctl_app import PROGRAM, build_app
from lagoonflow.cli.environment import Environment
from lagoonflow.cli.exit_status import ExitStatus
from lagoonflow.telemetry.logs import LogFormat, LogLevel, configure_logs

HELP_HINT = 'Try {program} --help.'


def main(
    arguments: list[str] | None = None,
    environment: Environment | None = None,
) -> ExitStatus:
    """Run one command and return its exit status.

    :param arguments: command line without the program name; ``sys.argv`` by
        default.
    :param environment: streams and variables; those of the process by
        default.
    """
    environment = environment or Environment()
    tokens = sys.argv[1:] if arguments is None else arguments
    configure_logs(environment.stderr, LogFormat.CONSOLE, LogLevel.ERROR)
    app = build_app(environment.variables)
    try:
        command = app(tokens, print_error=False, exit_on_error=False)
    except (cyclopts.CycloptsError, ValueError) as error:
        environment.print_to_stderr(' '.join(str(error).split()))
        environment.print_to_stderr(HELP_HINT.format(program=PROGRAM))
        return ExitStatus.USAGE
    if command is None:
        return ExitStatus.SUCCESS
    configure_logs(environment.stderr, LogFormat.CONSOLE, LogLevel.WARNING)
    try:
        return asyncio.run(_run(command, environment))
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED


async def _run(
    command: commands.Command, environment: Environment
) -> ExitStatus:
    match command:
        case commands.ExplainCode(code):
            return explain(code, environment)
        case commands.ShowStatus():
            return await fleet.show_status(command, environment)
        case commands.ShowTimeLine():
            return await fleet.show_time_line(command, environment)
        case commands.MakeKey():
            return release.make_key(environment)
        case (
            commands.ExplainRequest()
            | commands.SummarizeLog()
            | commands.ListUnserved()
        ):
            return _read_logs(command, environment)
    return await _run_release(command, environment)


def _read_logs(
    command: commands.LogCommand, environment: Environment
) -> ExitStatus:
    match command:
        case commands.ExplainRequest():
            return logs.explain_request(command, environment)
        case commands.SummarizeLog():
            return logs.summarize_log(command, environment)
        case commands.ListUnserved():
            return logs.list_unserved(command, environment)


async def _run_release(
    command: commands.ReleaseCommand, environment: Environment
) -> ExitStatus:
    match command:
        case commands.ValidateNote():
            return note.validate(command, environment)
        case commands.PlanNote():
            return await note.plan(command, environment)
        case commands.PublishNote():
            return await note.publish(command, environment)
        case commands.ShowReleases():
            return await release.show(command, environment)
        case commands.ShowHistory():
            return await release.history(command, environment)
        case commands.ShowSchema():
            return release.show_schema(environment)


if __name__ == '__main__':
    sys.exit(main())
