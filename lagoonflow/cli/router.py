"""Entry point of ``lagoonflow-router``."""

import sys

from lagoonflow.cli.environment import Environment
from lagoonflow.cli.exit_status import ExitStatus
from lagoonflow.cli.launch import build_app, launch
from lagoonflow.cli.settings import RouterSettings
from lagoonflow.wiring.router import serve_router

HELP = """Run a router: check the keys and quotas of callers, and relay calls.

Every flag can be set by an environment variable instead, such as
LAGOONFLOW_LOG_URL for --log-url.
"""

app = build_app('lagoonflow-router', HELP)


@app.default
def read_settings(settings: RouterSettings) -> RouterSettings:
    """Return the settings that cyclopts built from the flags."""
    return settings


def main(
    arguments: list[str] | None = None,
    environment: Environment | None = None,
) -> ExitStatus:
    """Run a router until it is stopped.

    :param arguments: command line without the program name; ``sys.argv`` by
        default.
    :param environment: streams and variables; those of the process by
        default.
    """
    return launch(app, arguments, environment or Environment(), serve_router)


if __name__ == '__main__':
    sys.exit(main())
