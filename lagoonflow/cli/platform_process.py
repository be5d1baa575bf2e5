"""Entry points of the router and the agent on the users' platform."""

import signal
import sys

from lagoonflow.cli.environment import Environment
from lagoonflow.cli.exit_status import ExitStatus

ROLES = ('router', 'agent')


def launch(role: str, environment: Environment) -> ExitStatus:
    """Read the settings file and serve until a signal stops the program."""
    # Most of a start's time is spent on this import.
    from lagoonflow.cli.platform_launch import launch_role

    return launch_role(role, environment)


def _exit_at_once(_number: int, _frame: object) -> None:
    sys.exit(ExitStatus.SUCCESS)


def _ignore_early(_number: int, _frame: object) -> None:
    """Ignore a SIGHUP, which would end the process by default."""


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
    signal.signal(signal.SIGHUP, _ignore_early)
    environment = environment or Environment()
    tokens = sys.argv[1:] if arguments is None else arguments
    if len(tokens) != 1 or tokens[0] not in ROLES:
        environment.print_to_stderr(
            f'Give exactly one role: {", ".join(ROLES)}.'
        )
        return ExitStatus.USAGE
    return launch(tokens[0], environment)


if __name__ == '__main__':
    sys.exit(main())
