"""Runs lagoonflowctl in process."""

import dataclasses
import io

from lagoonflow.cli.ctl import main
from lagoonflow.cli.environment import Environment


@dataclasses.dataclass(frozen=True)
class Run:
    """How a program ended and what it printed."""

    status: int
    stdout: str
    stderr: str


def ctl(*arguments, **variables):
    stdout, stderr = io.StringIO(), io.StringIO()
    environment = Environment(stdout=stdout, stderr=stderr, variables=variables)
    status = main([str(argument) for argument in arguments], environment)
    return Run(status, stdout.getvalue(), stderr.getvalue())
