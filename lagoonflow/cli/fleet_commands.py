"""Implements ``lagoonflowctl status`` and ``lagoonflowctl timeline``."""

import asyncio
import dataclasses
import datetime
from collections.abc import Iterable
from typing import Generic, TypeVar
from urllib.parse import urlencode

import msgspec

from lagoonflow.cli import commands
from lagoonflow.cli.environment import Environment
from lagoonflow.cli.exit_status import ExitStatus
from lagoonflow.cli.output import print_json, print_table, printable
from lagoonflow.cli.stream_session import read_stream
from lagoonflow.clients.exchange import HttpAnswer, HttpRequest
from lagoonflow.clients.http import HttpClient
from lagoonflow.results import Refusal
from lagoonflow.roster.state import RosterFold
from lagoonflow.streams.messages import Stream
from lagoonflow.telemetry.admin import ProcessStatus
from lagoonflow.telemetry.timeline import Event
from lagoonflow.wire.address import Address

OK = 200
MS_PER_S = 1000

NO_ANSWER = 'No answer from {name} at {address}: {reason}.'
PARTIAL_NOTICE = (
    'The output is partial: {missing} of {count} processes are missing.'
)
NO_PROCESSES = 'No processes are known. Add some with --process HOST:PORT.'
ROSTER_UNKNOWN = '{reason} Asking only the processes given by --process.'
CLOCK_NOTICE = (
    'Events are sorted by the clocks of their hosts, which can differ.'
)

STATUS_HEADER = (
    'PROCESS',
    'ROLE',
    'ZONE',
    'READY',
    'RELEASES',
    'ROSTER',
    'REJECTED',
    'BEHIND',
)
EVENT_HEADER = (
    'TIME',
    'PROCESS',
    'PART',
    'EVENT',
    'REQUEST',
    'MODEL',
    'HOST',
    'CAUSE',
    'DETAIL',
)

AnswerT = TypeVar('AnswerT')


@dataclasses.dataclass(frozen=True, slots=True)
class _ProcessAddress:
    name: str
    address: Address


@dataclasses.dataclass(frozen=True, slots=True)
class _FetchFailure:
    process: _ProcessAddress
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class _FetchResults(Generic[AnswerT]):
    answers: tuple[AnswerT, ...]
    failures: tuple[_FetchFailure, ...]


async def show_status(
    command: commands.ShowStatus, environment: Environment
) -> ExitStatus:
    """Print the status of all processes and which of them lag behind.

    :returns: ``PARTIAL_ANSWER`` when a process did not answer or none is
        known.
    """
    processes = await _find_processes(command.fleet, environment)
    results = await _fetch_all(
        processes, '/status', ProcessStatus, command.fleet.timeout_ms
    )
    if command.as_json:
        for status in results.answers:
            print_json(environment, status)
    else:
        print_table(environment, STATUS_HEADER, _status_rows(results.answers))
    return _report_failures(results, environment)


async def show_time_line(
    command: commands.ShowTimeLine, environment: Environment
) -> ExitStatus:
    """Print the events of all processes in one time line.

    :returns: ``PARTIAL_ANSWER`` when a process did not answer or none is
        known.
    """
    processes = await _find_processes(command.fleet, environment)
    query = urlencode(
        {
            'request': command.request,
            'model': command.model,
            'host': command.host,
            'since_ms': command.since_ms,
        }
    )
    results = await _fetch_all(
        processes,
        f'/timeline?{query}',
        tuple[Event, ...],
        command.fleet.timeout_ms,
    )
    events = [event for answer in results.answers for event in answer]
    events.sort(key=lambda event: event.at_ms)
    if command.as_json:
        for event in events:
            print_json(environment, event)
    else:
        print_table(environment, EVENT_HEADER, map(_event_row, events))
        environment.print_to_stderr(CLOCK_NOTICE)
    return _report_failures(results, environment)


async def _find_processes(
    fleet: commands.Fleet, environment: Environment
) -> tuple[_ProcessAddress, ...]:
    by_address = {
        address: _ProcessAddress(str(address), address)
        for address in fleet.processes
    }
    if not fleet.log_address:
        return tuple(by_address.values())
    roster = await read_stream(
        RosterFold(), fleet.log_address, fleet.timeout_ms
    )
    if isinstance(roster, Refusal):
        environment.print_to_stderr(ROSTER_UNKNOWN.format(reason=roster.reason))
        return tuple(by_address.values())
    for member in roster.members:
        address = Address(member.host, member.admin_port)
        by_address[address] = _ProcessAddress(member.name, address)
    return tuple(by_address.values())


async def _fetch_all(
    processes: Iterable[_ProcessAddress],
    target: str,
    answer_type: type[AnswerT],
    timeout_ms: int,
) -> _FetchResults[AnswerT]:
    results = await asyncio.gather(
        *(
            _fetch(process, target, answer_type, timeout_ms)
            for process in processes
        )
    )
    answers = [
        result for result in results if not isinstance(result, _FetchFailure)
    ]
    failures = [
        result for result in results if isinstance(result, _FetchFailure)
    ]
    return _FetchResults(tuple(answers), tuple(failures))


async def _fetch(
    process: _ProcessAddress,
    target: str,
    answer_type: type[AnswerT],
    timeout_ms: int,
) -> AnswerT | _FetchFailure:
    client = HttpClient(str(process.address))
    try:
        answer = await client.call(
            HttpRequest('GET', target, timeout_ms=timeout_ms),
        )
    finally:
        await client.aclose()
    if not isinstance(answer, HttpAnswer):
        return _FetchFailure(process, answer.reason)
    if answer.status != OK:
        return _FetchFailure(process, f'HTTP status {answer.status}')
    try:
        return msgspec.json.decode(answer.body, type=answer_type)
    except msgspec.MsgspecError as error:
        return _FetchFailure(process, str(error))


def _report_failures(
    results: _FetchResults, environment: Environment
) -> ExitStatus:
    for failure in results.failures:
        text = NO_ANSWER.format(
            name=failure.process.name,
            address=failure.process.address,
            reason=failure.reason,
        )
        environment.print_to_stderr(printable(text))
    missing = len(results.failures)
    count = missing + len(results.answers)
    if missing:
        environment.print_to_stderr(
            PARTIAL_NOTICE.format(missing=missing, count=count)
        )
        return ExitStatus.PARTIAL_ANSWER
    if not count:
        environment.print_to_stderr(NO_PROCESSES)
        return ExitStatus.PARTIAL_ANSWER
    return ExitStatus.SUCCESS


def _status_rows(
    statuses: tuple[ProcessStatus, ...],
) -> list[list[object]]:
    newest = {
        stream: max(_next_offset(status, stream) for status in statuses)
        for stream in (Stream.RELEASES, Stream.ROSTER)
        if statuses
    }
    return [
        _status_row(status, newest)
        for status in sorted(statuses, key=lambda status: status.process)
    ]


def _status_row(
    status: ProcessStatus, newest: dict[Stream, int]
) -> list[object]:
    lags = [
        f'{stream.value} by {offset - _next_offset(status, stream)}'
        for stream, offset in newest.items()
        if _next_offset(status, stream) < offset
    ]
    return [
        status.process,
        status.role,
        status.zone,
        'yes' if status.is_ready else f'no: {status.reason}',
        _next_offset(status, Stream.RELEASES),
        _next_offset(status, Stream.ROSTER),
        sum(stream.rejected for stream in status.streams.values()),
        ', '.join(lags) or '-',
    ]


def _next_offset(status: ProcessStatus, stream: Stream) -> int:
    stream_status = status.streams.get(stream.value)
    return stream_status.next_offset if stream_status else 0


def _event_row(event: Event) -> list[object]:
    event_time = datetime.datetime.fromtimestamp(
        event.at_ms / MS_PER_S, datetime.UTC
    )
    return [
        event_time.strftime('%H:%M:%S.%f')[:-3],
        event.process,
        event.part,
        event.event,
        event.request_id,
        event.model,
        event.host,
        event.cause,
        event.detail,
    ]
