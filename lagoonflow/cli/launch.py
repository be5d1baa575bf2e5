"""Starts a router or an agent from its command line."""

import asyncio
import sys
from collections.abc import Awaitable, Callable

import cyclopts

from lagoonflow.cli.environment import ENVIRONMENT_PREFIX, Environment
from lagoonflow.cli.exit_status import ExitStatus
from lagoonflow.cli.settings import CommonSettings, SettingError
from lagoonflow.cli.version import package_version
from lagoonflow.event_loop import new_event_loop
from lagoonflow.telemetry.logs import configure_logs

HELP_HINT = 'Try {program} --help.'
CANNOT_LISTEN = 'Cannot listen on an address: {error}'
RETURN_VALUE_ACTION = 'return_value'

Serve = Callable[[CommonSettings, Environment], Awaitable[None]]


def build_app(program: str, help_text: str) -> cyclopts.App:
    """Return an app that reads flags and environment variables.

    :param program: name of the program, for help and version.
    """
    return cyclopts.App(
        name=program,
        help=help_text,
        version=package_version,
        config=cyclopts.config.Env(ENVIRONMENT_PREFIX, command=False),
        result_action=RETURN_VALUE_ACTION,
    )


def launch(
    app: cyclopts.App,
    arguments: list[str] | None,
    environment: Environment,
    serve: Serve,
) -> ExitStatus:
    """Read and check the settings, then serve until a signal stops it.

    :param arguments: command line without the program name; ``sys.argv`` if
        None.
    :param serve: coroutine function that runs the program.
    """
    tokens = sys.argv[1:] if arguments is None else arguments
    try:
        settings = app(tokens, print_error=False, exit_on_error=False)
        if settings is None:
            return ExitStatus.SUCCESS
        settings.check()
    except (cyclopts.CycloptsError, SettingError) as error:
        environment.print_to_stderr(_join_lines(error))
        environment.print_to_stderr(HELP_HINT.format(program=app.name[0]))
        return ExitStatus.USAGE
    return _run(settings, environment, serve)


def _run(
    settings: CommonSettings,
    environment: Environment,
    serve: Serve,
) -> ExitStatus:
    configure_logs(
        environment.stderr,
        settings.log_format,
        settings.log_level,
    )
    try:
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(serve(settings, environment))
    except OSError as error:
        environment.print_to_stderr(CANNOT_LISTEN.format(error=error))
        return ExitStatus.ERROR
    except (KeyboardInterrupt, asyncio.CancelledError):
        return ExitStatus.INTERRUPTED
    return ExitStatus.SUCCESS


def _join_lines(error: Exception) -> str:
    return ' '.join(str(error).split())
