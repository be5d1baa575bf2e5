"""Tests of servers that are leaving, and of those that ask for a pause."""

import asyncio

import pytest

from lagoonflow.clock import boottime_ms
from tests.relay.harness import (
    RelayHarness,
    answer_events,
    answer_raw,
    answer_with,
    encode_request,
    read_framed_answer,
)

OK_ANSWER = answer_with('200 OK', 'fine')
LEAVING = 'Server-Leaving: 1'
PAUSE_MS = 700


def full(*headers):
    """Return a script that rejects the request as not run."""
    lines = ''.join(f'{line}\r\n' for line in headers)
    return answer_raw(
        f'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n{lines}'
        'Content-Length: 0\r\n\r\n'.encode()
    )


@pytest.mark.parametrize(
    'script',
    [
        answer_with('200 OK', 'fine', LEAVING),
        answer_with('404 Not Found', 'none', LEAVING),
        answer_with('500 Failed', 'failed', LEAVING),
        full(LEAVING),
    ],
)
async def test_a_server_gets_nothing_after_any_answer_that_says_it_leaves(
    script,
):
    harness = RelayHarness()
    leaving, other = await harness.add_backends(script, OK_ANSWER)
    await harness.send_request('/read/x')
    for _ in range(5):
        status, _, _ = await ask(harness, '/read/x')
        assert status == 200
    assert len(leaving.requests) == 1
    assert len(other.requests) >= 5


async def test_a_server_that_leaves_in_a_streams_head_gets_nothing_during_it():
    async def stream(writer, _received) -> bool:
        writer.write(
            b'HTTP/1.1 200 OK\r\nServer-Seal: s\r\nServer-Leaving: 1\r\n'
            b'Content-Type: text/event-stream\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n5\r\na: b\n\r\n'
        )
        await asyncio.sleep(1)
        return True

    harness = RelayHarness()
    leaving, other = await harness.add_backends(stream, OK_ANSWER)
    reader, writer = await harness.connect()
    writer.write(encode_request('/once/x'))
    await reader.readuntil(b'a: b')
    assert (await ask(harness, '/read/x'))[0] == 200
    assert len(leaving.requests) == 1
    assert len(other.requests) == 1


async def test_a_stream_is_not_resumed_at_a_server_that_said_it_leaves():
    harness = RelayHarness()
    leaving, _, other = await harness.add_backends(
        answer_with('200 OK', 'fine', LEAVING),
        answer_events(1, 2, ends=False),
        answer_events(3, 4),
    )
    await harness.send_request('/read/x')
    reader, writer = await open_again(harness)
    writer.write(encode_request('/resume/x'))
    assert (await read_framed_answer(reader)).is_complete
    assert len(leaving.requests) == 1
    assert len(other.requests) == 1


async def test_a_call_that_was_placed_is_not_sent_to_a_leaving_server():
    harness = RelayHarness()
    leaving, other = await harness.add_backends(OK_ANSWER, OK_ANSWER)
    connect = harness.sender.pools.connect

    async def connect_while_it_leaves(*details):
        connection = await connect(*details)
        harness.fleet.availability.note_leaving('i-0', 1)
        return connection

    harness.sender.pools.connect = connect_while_it_leaves
    status, _, _ = await harness.send_request('/read/x')
    assert status == 200
    assert (len(leaving.requests), len(other.requests)) == (0, 1)


async def test_a_server_that_asked_for_a_pause_gets_nothing_until_its_end():
    harness = RelayHarness()
    paused, other = await harness.add_backends(
        full(f'Retry-After: {PAUSE_MS / 1000}'), OK_ANSWER
    )
    await harness.send_request('/read/x')
    asked_ms = paused.requests[0].arrived_ms
    while boottime_ms() - asked_ms < PAUSE_MS + 200:
        assert (await ask(harness, '/read/x'))[0] == 200
    arrived_ms = [one.arrived_ms - asked_ms for one in paused.requests[1:]]
    assert not [after_ms for after_ms in arrived_ms if after_ms < PAUSE_MS]
    during = [
        one for one in other.requests if one.arrived_ms < asked_ms + PAUSE_MS
    ]
    assert len(during) > 5


async def test_callers_learn_the_earliest_end_of_the_pauses_at_once():
    harness = RelayHarness()
    await harness.add_backends(
        full('Retry-After: 30'), full('Retry-After: 2.5')
    )
    await harness.send_request('/book/x')
    began_ms = boottime_ms()
    status, headers, _ = await ask(harness, '/book/x')
    assert boottime_ms() - began_ms < 200
    assert status == 503
    assert 2 < float(headers['retry-after']) <= 2.5


@pytest.mark.parametrize('value', ['-1', 'soon', 'nan', '1e400', ''])
async def test_an_unreadable_pause_is_ignored(value):
    harness = RelayHarness()
    (backend,) = await harness.add_backends(full(f'Retry-After: {value}'))
    await harness.send_request('/book/x')
    sent = len(backend.requests)
    await ask(harness, '/book/x')
    assert len(backend.requests) > sent


async def test_servers_that_leave_one_by_one_during_a_flood_get_nothing_more():
    harness = RelayHarness()
    servers = 20
    backends = await harness.add_backends(*(OK_ANSWER for _ in range(servers)))
    left: dict[int, int] = {}

    async def flood() -> None:
        while len(left) < servers - 1:
            assert (await ask(harness, '/read/x'))[0] == 200

    async def leave() -> None:
        for index in range(servers - 1):
            harness.fleet.availability.note_leaving(f'i-{index}', 1)
            await asyncio.sleep(0.02)
            left[index] = len(backends[index].requests)

    await asyncio.gather(leave(), *(flood() for _ in range(8)))
    for index, count in left.items():
        assert len(backends[index].requests) == count


async def ask(harness, path):
    """Send a request on a new connection to a harness that listens."""
    reader, writer = await open_again(harness)
    writer.write(encode_request(path))
    answer = await read_framed_answer(reader)
    writer.close()
    headers = {
        name.decode(): text.decode() for name, text in answer.headers.items()
    }
    return answer.status, headers, answer.body


async def open_again(harness):
    if harness.http._server is None:
        return await harness.connect()
    port = harness.http._server.sockets[0].getsockname()[1]
    return await asyncio.open_connection('127.0.0.1', port)
