"""Runs lagoonflowctl in the process of the test."""

import dataclasses
import io

import structlog

from lagoonflow.cli.ctl import main
from lagoonflow.cli.environment import Environment


@dataclasses.dataclass(frozen=True)
class CompletedRun:
    """Exit status and output of a program."""

    status: int
    stdout: str
    stderr: str


def ctl(*arguments, **variables):
    """Run lagoonflowctl with arguments and environment variables."""
    stdout, stderr = io.StringIO(), io.StringIO()
    environment = Environment(stdout=stdout, stderr=stderr, variables=variables)
    try:
        status = main([str(argument) for argument in arguments], environment)
    finally:
        # Other tests in this process capture logs of lower levels.
        structlog.reset_defaults()
    return CompletedRun(status, stdout.getvalue(), stderr.getvalue())
