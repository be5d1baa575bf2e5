"""Entry point of ``lagoonflow-agent``."""

import sys

from lagoonflow.cli.environment import Environment
from lagoonflow.cli.exit_status import ExitStatus
from lagoonflow.cli.launch import build_app, launch
from lagoonflow.cli.settings import AgentSettings
from lagoonflow.wiring.agent import serve_agent

HELP = """Serve beside a backend server: load models and run work on it.

Every flag is also an environment variable, such as LAGOONFLOW_LOG_URL.
"""

app = build_app('lagoonflow-agent', HELP)


@app.default
def read_settings(settings: AgentSettings) -> AgentSettings:
    """Return the settings."""
    return settings


def main(
    arguments: list[str] | None = None,
    environment: Environment | None = None,
) -> ExitStatus:
    """Run an agent until it is stopped."""
    return launch(app, arguments, environment or Environment(), serve_agent)


if __name__ == '__main__':
    sys.exit(main())
