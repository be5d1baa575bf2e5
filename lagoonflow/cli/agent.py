"""Entry point of ``lagoonflow-agent``."""

import sys

from lagoonflow.cli.environment import Environment
from lagoonflow.cli.exit_status import ExitStatus
from lagoonflow.cli.launch import build_app, launch
from lagoonflow.cli.settings import AgentSettings
from lagoonflow.wiring.agent import serve_agent

HELP = """Run the agent of a backend server: load models and run calls on it.

Every flag can be set by an environment variable instead, such as
LAGOONFLOW_LOG_URL for --log-url.
"""

app = build_app('lagoonflow-agent', HELP)


@app.default
def read_settings(settings: AgentSettings) -> AgentSettings:
    """Return the settings that cyclopts built from the flags."""
    return settings


def main(
    arguments: list[str] | None = None,
    environment: Environment | None = None,
) -> ExitStatus:
    """Run an agent until it is stopped.

    :param arguments: command line without the program name; ``sys.argv`` by
        default.
    :param environment: streams and variables; those of the process by
        default.
    """
    return launch(app, arguments, environment or Environment(), serve_agent)


if __name__ == '__main__':
    sys.exit(main())
