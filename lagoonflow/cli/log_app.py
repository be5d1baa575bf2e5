"""Declares the commands of lagoonflowctl that read log files."""

import pathlib
from typing import Annotated

import cyclopts
from cyclopts import Parameter

from lagoonflow.cli import commands

LogFile = Annotated[
    pathlib.Path,
    Parameter(help='Log file: the standard output of a router or an agent.'),
]


def add_log_commands(app: cyclopts.App) -> None:
    """Add the commands to the app of lagoonflowctl."""
    app.command(explain_request, name='explain-request')
    app.command(summarize_log, name='summarize-log')
    app.command(list_unserved, name='list-unserved')


def explain_request(
    request: Annotated[str, Parameter(help='Id of the request.')],
    *logs: LogFile,
) -> commands.ExplainRequest:
    """Show from log files how a request ended and what preceded it."""
    return commands.ExplainRequest(request, logs)


def summarize_log(*logs: LogFile) -> commands.SummarizeLog:
    """Count the calls of each route and the orders of each process in logs."""
    return commands.SummarizeLog(logs)


def list_unserved(*logs: LogFile) -> commands.ListUnserved:
    """List the models in logs whose calls were never served, and why."""
    return commands.ListUnserved(logs)
