"""Implements the commands of ``lagoonflowctl`` that read log files."""

import pathlib
from collections.abc import Iterator

from lagoonflow.cli import commands
from lagoonflow.cli.environment import Environment
from lagoonflow.cli.exit_status import ExitStatus
from lagoonflow.cli.output import print_table
from lagoonflow.clock import MS_PER_S
from lagoonflow.telemetry.log_lines import LogLine, read_lines
from lagoonflow.telemetry.log_summary import group_calls, group_orders
from lagoonflow.telemetry.request_story import collect_story, describe_end
from lagoonflow.telemetry.unserved_models import find_unserved

CANNOT_READ = 'Cannot read {path}: {reason}'
REQUEST_NOT_FOUND = 'No router logged the end of request {request!r}.'
REQUEST_NOT_FOUND_HINT = (
    'Pass the logs of all routers. A process that logs more than 300 lines a'
    ' second drops some.'
)
CLOCK_NOTICE = 'Times are those of each host, whose clocks can differ.'
CONTEXT_HEADER = ('BEFORE END', 'PROCESS', 'PART', 'EVENT', 'DETAIL')
CALLS_HEADER = ('ROUTE', 'SECOND', 'CALLS', 'ENDED')
ORDERS_HEADER = ('PROCESS', 'ORDER', 'OUTCOME')
UNSERVED_HEADER = ('MODEL', 'CALLS', 'MS', 'EVENT')


def explain_request(
    command: commands.ExplainRequest, environment: Environment
) -> ExitStatus:
    """Print how a request ended and the log lines that may explain why."""
    lines = _read_all(command.logs, environment)
    if lines is None:
        return ExitStatus.ERROR
    story = collect_story(command.request, lines)
    if not story.ends:
        environment.print_to_stderr(
            REQUEST_NOT_FOUND.format(request=command.request)
        )
        environment.print_to_stderr(REQUEST_NOT_FOUND_HINT)
        return ExitStatus.ERROR
    for end in story.ends:
        environment.print(f'{end.process}: {describe_end(end)}')
        environment.print(f'  {end.describe()}')
        for step in end.get('steps', ()):
            environment.print(f'  {step}')
    environment.print()
    end_ms = story.ends[-1].at_ms
    print_table(
        environment,
        CONTEXT_HEADER,
        (_context_row(line, end_ms) for line in story.context),
    )
    environment.print_to_stderr(CLOCK_NOTICE)
    return ExitStatus.SUCCESS


def summarize_log(
    command: commands.SummarizeLog, environment: Environment
) -> ExitStatus:
    """Print counts of calls by route and time, and of orders by process."""
    lines = _read_all(command.logs, environment)
    if lines is None:
        return ExitStatus.ERROR
    print_table(
        environment,
        CALLS_HEADER,
        (
            (
                group.route,
                str(group.from_ms // MS_PER_S),
                str(group.counts.total()),
                _counts_text(group.counts),
            )
            for group in group_calls(lines)
        ),
    )
    environment.print()
    print_table(
        environment,
        ORDERS_HEADER,
        (
            (group.process, group.kind, _counts_text(group.counts))
            for group in group_orders(lines)
        ),
    )
    return ExitStatus.SUCCESS


def list_unserved(
    command: commands.ListUnserved, environment: Environment
) -> ExitStatus:
    """Print the models that were never served, with refusals and orders."""
    lines = _read_all(command.logs, environment)
    if lines is None:
        return ExitStatus.ERROR
    print_table(
        environment,
        UNSERVED_HEADER,
        (
            (model.name, str(model.calls), str(event.at_ms), event.text)
            for model in find_unserved(lines)
            for event in model.events
        ),
    )
    environment.print_to_stderr(CLOCK_NOTICE)
    return ExitStatus.SUCCESS


def _read_all(
    paths: tuple[pathlib.Path, ...], environment: Environment
) -> list[LogLine] | None:
    lines: list[LogLine] = []
    for path in paths:
        try:
            lines.extend(_read(path))
        except OSError as error:
            reason = error.strerror or str(error)
            environment.print_to_stderr(
                CANNOT_READ.format(path=path, reason=reason)
            )
            return None
    return lines


def _read(path: pathlib.Path) -> Iterator[LogLine]:
    with path.open(encoding='utf-8', errors='replace') as file:
        yield from read_lines(file)


def _context_row(line: LogLine, end_ms: float) -> tuple[str, ...]:
    before_ms = int(end_ms - line.at_ms)
    detail = line.describe()
    return f'{before_ms} ms', line.process, line.part, line.event, detail


def _counts_text(counts) -> str:
    return ', '.join(f'{count} {name}' for name, count in counts.most_common())
