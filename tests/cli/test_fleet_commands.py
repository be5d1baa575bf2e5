"""Status and time line of several processes, some of them unreachable."""

import asyncio
import contextlib
import json
import socket

import msgspec
import prometheus_client
import pytest
import uvicorn

from lagoonflow.cli.exit_status import ExitStatus
from lagoonflow.telemetry.admin import AdminApp, ProcessStatus, StreamStatus
from lagoonflow.telemetry.timeline import TimeLine
from tests.cli.programs import ctl

CLOSED_ADDRESS = '127.0.0.1:9'


def build_admin_app(name, next_release_offset, at_ms):
    streams = {
        'releases': StreamStatus(next_release_offset, rejected=0),
        'roster': StreamStatus(4, rejected=1),
    }
    status = ProcessStatus(name, 'agent', 'zone-a', True, '', '1', streams)
    times = iter(range(at_ms, at_ms + 1000, 10))
    timeline = TimeLine(name, clock_ms=lambda: float(next(times)))
    timeline.record('placement', 'decided', model='m', request_id='r1')
    timeline.record('runners', 'ready', model='m', cause='d-1\x1b[2J')
    return AdminApp(
        prometheus_client.CollectorRegistry(), timeline, lambda: status
    ).build()


@contextlib.asynccontextmanager
async def serve_app(app):
    listener = socket.create_server(('127.0.0.1', 0))
    config = uvicorn.Config(app, log_level='error', lifespan='off')
    server = uvicorn.Server(config)
    task = asyncio.create_task(server.serve(sockets=[listener]))
    yield f'127.0.0.1:{listener.getsockname()[1]}'
    server.should_exit = True
    await task


@pytest.fixture
async def addresses():
    async with (
        serve_app(build_admin_app('agent-1', 9, 1000)) as first,
        serve_app(build_admin_app('agent-2', 7, 1005)) as second,
    ):
        yield first, second


async def run(*arguments):
    return await asyncio.to_thread(ctl, *arguments, '--timeout-s', 2)


async def test_status_shows_which_process_lags_behind(addresses):
    first, second = addresses
    result = await run('status', '--process', first, '--process', second)
    assert result.status == ExitStatus.SUCCESS
    lines = result.stdout.splitlines()
    assert lines[1].split()[:5] == ['agent-1', 'agent', 'zone-a', 'yes', '9']
    assert lines[2].endswith('releases by 2')


async def test_process_without_an_answer_is_reported(addresses):
    result = await run(
        'status',
        '--process',
        addresses[0],
        '--process',
        CLOSED_ADDRESS,
        '--json',
    )
    assert result.status == ExitStatus.PARTIAL_ANSWER
    assert json.loads(result.stdout)['process'] == 'agent-1'
    assert f'No answer from {CLOSED_ADDRESS}' in result.stderr
    assert '1 of 2 processes are missing' in result.stderr


async def test_time_line_merges_events_in_time_order(addresses):
    first, second = addresses
    result = await run(
        'timeline', '--process', first, '--process', second, '--json'
    )
    events = [json.loads(line) for line in result.stdout.splitlines()]
    assert [event['process'] for event in events] == ['agent-1', 'agent-2'] * 2
    assert msgspec.convert(events[0]['at_ms'], float) == 1000


async def test_time_line_is_filtered_and_escapes_control_characters(addresses):
    address = ('--process', addresses[0])
    result = await run('timeline', *address, '--request', 'r1')
    assert len(result.stdout.splitlines()) == 2
    result = await run('timeline', *address, '--model', 'm')
    assert len(result.stdout.splitlines()) == 3
    assert '\x1b' not in result.stdout
