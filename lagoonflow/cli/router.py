"""Entry point of ``lagoonflow-router``."""

import sys

from lagoonflow.cli.environment import Environment
from lagoonflow.cli.exit_status import ExitStatus
from lagoonflow.cli.launch import build_app, launch
from lagoonflow.cli.settings import RouterSettings
from lagoonflow.wiring.router import serve_router

HELP = """Serve callers: check keys and quotas, and relay answers.

Every flag is also an environment variable, such as LAGOONFLOW_LOG_URL.
"""

app = build_app('lagoonflow-router', HELP)


@app.default
def read_settings(settings: RouterSettings) -> RouterSettings:
    """Return the settings."""
    return settings


def main(
    arguments: list[str] | None = None,
    environment: Environment | None = None,
) -> ExitStatus:
    """Run a router until it is stopped."""
    return launch(app, arguments, environment or Environment(), serve_router)


if __name__ == '__main__':
    sys.exit(main())
