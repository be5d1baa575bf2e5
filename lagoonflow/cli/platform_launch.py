"""Starts the router or the agent on the users' platform."""

import asyncio

from lagoonflow.cli.environment import Environment
from lagoonflow.cli.exit_status import ExitStatus
from lagoonflow.event_loop import new_event_loop
from lagoonflow.platform.settings import (
    SETTINGS_VARIABLE,
    PlatformSettingError,
    PlatformSettings,
    read_settings,
)
from lagoonflow.telemetry.json_output import configure_json_output

SETTINGS_FILE_HINT = 'Set {name} to the path of the settings file.'


def launch_role(role: str, environment: Environment) -> ExitStatus:
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
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(ROLES[role](settings))
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


ROLES = {'router': serve_router, 'agent': serve_agent}
