"""Entry points of the router and the agent on the users' platform."""

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable

from lagoonflow.cli.environment import Environment
from lagoonflow.cli.exit_status import ExitStatus
from lagoonflow.platform.settings import (
    SETTINGS_VARIABLE,
    PlatformSettingError,
    PlatformSettings,
    read_settings,
)
from lagoonflow.telemetry.json_output import configure_json_output

SETTINGS_FILE_HINT = 'Set {name} to the path of the settings file.'

Serve = Callable[[PlatformSettings], Awaitable[None]]


def launch(serve: Serve, environment: Environment) -> ExitStatus:
    """Read the settings file and serve until a signal stops the program."""
    path = environment.variables.get(SETTINGS_VARIABLE, '')
    if not path:
        environment.print_to_stderr(
            SETTINGS_FILE_HINT.format(name=SETTINGS_VARIABLE)
        )
        return ExitStatus.USAGE
    try:
        settings = read_settings(path)
    except (OSError, PlatformSettingError) as error:
        environment.print_to_stderr(f'{path}: {error}')
        return ExitStatus.USAGE
    configure_json_output(settings.node)
    try:
        asyncio.run(serve(settings))
    except OSError as error:
        environment.print_to_stderr(f'Cannot listen on an address: {error}')
        return ExitStatus.ERROR
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED
    return ExitStatus.SUCCESS


async def serve_router(settings: PlatformSettings) -> None:
    """Run a router until it is stopped."""
    from lagoonflow.wiring.platform_router import PlatformRouter

    await PlatformRouter(settings).run()


async def serve_agent(settings: PlatformSettings) -> None:
    """Run an agent until it is stopped."""
    from lagoonflow.wiring.platform_agent import PlatformAgent

    await PlatformAgent(settings).run()


def _exit_at_once(_number: int, _frame: object) -> None:
    sys.exit(ExitStatus.SUCCESS)


ROLES = {'router': serve_router, 'agent': serve_agent}


def main(
    arguments: list[str] | None = None,
    environment: Environment | None = None,
) -> ExitStatus:
    """Run a router or an agent, as the command line says.

    :param arguments: command line without the program name; ``sys.argv`` by
        default.
    :param environment: streams and variables; those of the process by
        default.
    """
    # A SIGTERM before the event loop runs ends the process at once and with
    # success: no work has started that would have to be finished.
    signal.signal(signal.SIGTERM, _exit_at_once)
    environment = environment or Environment()
    tokens = sys.argv[1:] if arguments is None else arguments
    serve = ROLES.get(tokens[0]) if len(tokens) == 1 else None
    if serve is None:
        environment.print_to_stderr(
            f'Give exactly one role: {", ".join(ROLES)}.'
        )
        return ExitStatus.USAGE
    return launch(serve, environment)


if __name__ == '__main__':
    sys.exit(main())
