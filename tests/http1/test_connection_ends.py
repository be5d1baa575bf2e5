"""Reasons that are logged for connections that end without an answer."""

import asyncio
import types

import h11
import pytest
import structlog.testing

from lagoonflow.http1.channel import Channel
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
    ('has_peer_closed', 'is_open', 'is_cut', 'by_cancellation', 'by_close'),
    [
        (False, True, False, 'CANCELLED_INSIDE', 'OTHER_CONNECTION'),
        (True, True, False, 'CALLER_CLOSED', 'CALLER_CLOSED'),
        (False, False, False, 'CANCELLED_INSIDE', 'CALLER_CLOSED'),
        (False, False, True, 'CANCELLED_INSIDE', 'CALLER_CUT'),
    ],
)
async def test_ends_from_inside_are_told_from_those_of_the_caller(
    has_peer_closed, is_open, is_cut, by_cancellation, by_close
):
    channel = Channel(h11.SERVER, 100)
    channel.transport = types.SimpleNamespace(is_closing=lambda: False)
    channel.has_peer_closed, channel.is_open = has_peer_closed, is_open
    end = cancellation_end(channel, is_idle=False)
    assert end is ConnectionEnd[by_cancellation]
    assert closed_end(channel, is_cut=is_cut) is ConnectionEnd[by_close]
