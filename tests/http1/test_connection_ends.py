"""Reasons that are logged for connections that end without an answer."""

import asyncio

import h11
import pytest
import structlog.testing

from lagoonflow.http1.channel import Channel, ConnectionClosedError
from lagoonflow.http1.connection_ends import (
    ConnectionEnd,
    cancellation_end,
    closed_end,
)
from tests.http1.test_server import GET, Harness


async def wait_long(_request, _reply) -> None:
    await asyncio.sleep(10)


async def test_a_cancelled_task_of_a_connection_is_logged_as_a_stop():
    harness = Harness(wait_long)
    reader, writer = await harness.connect()
    writer.write(GET)
    await asyncio.sleep(0.05)
    (connection,) = harness.server._connections
    with structlog.testing.capture_logs() as logs:
        connection.task.cancel()
        assert await reader.read() == b''
    assert [line['reason'] for line in logs] == [ConnectionEnd.PROCESS_STOP]
    assert harness.server.unanswered_by_end == {ConnectionEnd.PROCESS_STOP: 1}


@pytest.mark.parametrize(
    ('is_own', 'is_cut', 'end'),
    [
        (True, False, ConnectionEnd.CALLER_CLOSED),
        (True, True, ConnectionEnd.CALLER_CUT),
        (False, False, ConnectionEnd.OTHER_CONNECTION),
        (False, True, ConnectionEnd.OTHER_CONNECTION),
    ],
)
@pytest.mark.parametrize('has_peer_closed', [False, True])
async def test_ends_from_inside_are_told_from_those_of_the_caller(
    has_peer_closed, is_own, is_cut, end
):
    channel = Channel(h11.SERVER, 100)
    channel.has_peer_closed = has_peer_closed
    error = ConnectionClosedError('closed', channel if is_own else None)
    assert closed_end(error, channel, is_cut=is_cut) is end
    cancelled = cancellation_end(channel, is_idle=False)
    assert cancelled is ConnectionEnd.CANCELLED_INSIDE
