"""Prints refusals and maps them to exit statuses."""

from lagoonflow.cli.environment import Environment
from lagoonflow.cli.exit_status import ExitStatus
from lagoonflow.results import Refusal, Result


def report_refusal(
    refusal: Refusal, environment: Environment, hint: str = ''
) -> ExitStatus:
    """Print a refusal and return the exit status for it.

    :param hint: what the operator can do, printed on a line of its own.
    """
    code = refusal.code
    environment.print_to_stderr(
        f'{refusal.reason} (code {code.value} {code.name})'
    )
    if hint:
        environment.print_to_stderr(hint)
    match code:
        case Result.LOG_UNAVAILABLE:
            return ExitStatus.LOG_UNAVAILABLE
        case Result.NOTE_REJECTED:
            return ExitStatus.NOTE_REJECTED
        case _:
            return ExitStatus.ERROR
