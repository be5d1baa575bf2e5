"""Answers that stop inside their head, in the ways that other tests leave out."""

import asyncio

import pytest

from tests.relay.harness import (
    RelayHarness,
    answer_raw,
    encode_request,
    read_framed_answer,
)
from tests.relay.test_broken_off_streams import (
    BROKEN_OFF_BY_FRAMING,
    CUT_EVENT,
    EVENTS,
)
from tests.support.sockets import reset

BODY = b'a body of some bytes'
PLAIN = (
    b'HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: a1\r\n'
    b'Content-Length: %d\r\n\r\n' % len(BODY)
)
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: a1\r\n'
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
)
HEADS = {
    'plain': PLAIN,
    'events': CHUNKED,
    'after continue': b'HTTP/1.1 100 Continue\r\n\r\n' + PLAIN,
    'after early hints': b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
    + PLAIN,
    'events after early hints': b'HTTP/1.1 103 Early Hints\r\n\r\n' + CHUNKED,
    'length in two fields': PLAIN.replace(
        b'Content-Length', b'Content-Length: 20\r\nContent-Length'
    ),
    'two lengths': PLAIN.replace(
        b'Content-Length', b'Content-Length: 4\r\nContent-Length'
    ),
}
SHARES = (0.1, 0.35, 0.6, 0.8, 0.95)
PATHS = ('/read/x', '/book/x', '/once/x', '/resume/x')


def cut(head, share):
    """Return a part of a head; the whole head without its last line at most."""
    return head[: min(round(len(head) * share), len(head) - 3)]


def stop_after(content, ending):
    """Return a script that sends bytes and ends the connection, or doesn't."""

    async def script(writer, _received):
        writer.write(content)
        await writer.drain()
        if ending == 'reset':
            await asyncio.sleep(0.02)
            reset(writer)
        if ending == 'silence':
            await asyncio.sleep(3)
        return False

    return script


async def ask(harness, path, *headers):
    """Send a request on a new connection; return its answer."""
    reader, writer = await harness.open_connection()
    writer.write(encode_request(path, *headers))
    answer = await read_framed_answer(reader)
    writer.close()
    return answer


@pytest.mark.parametrize('ending', ['close', 'reset'])
@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('name', HEADS)
async def test_a_cut_head_is_no_success(name, path, ending):
    for share in SHARES:
        harness = RelayHarness()
        await harness.add_backends(stop_after(cut(HEADS[name], share), ending))
        await harness.connect()
        assert (await ask(harness, path)).status == 502


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('name', ['plain', 'events', 'after early hints'])
async def test_silence_inside_a_head_is_no_success(name, path):
    harness = RelayHarness()
    await harness.add_backends(stop_after(cut(HEADS[name], 0.6), 'silence'))
    await harness.connect()
    assert (await ask(harness, path)).status in {502, 504}


@pytest.mark.parametrize('ending', ['close', 'reset'])
@pytest.mark.parametrize('path', PATHS)
async def test_a_cut_head_on_a_connection_that_served_a_call_is_no_success(
    path, ending
):
    for share in SHARES:
        harness = RelayHarness()
        (backend,) = await harness.add_backends(answer_raw(PLAIN + BODY))
        await harness.connect()
        assert (await ask(harness, '/read/x')).body == BODY
        backend.script = stop_after(cut(PLAIN, share), ending)
        assert (await ask(harness, path)).status == 502
        assert backend.connections >= 1
        assert len(backend.requests) >= 2


@pytest.mark.parametrize('ending', ['close', 'reset', 'silence'])
@pytest.mark.parametrize('name', HEADS)
@pytest.mark.parametrize('framing', BROKEN_OFF_BY_FRAMING)
async def test_a_cut_head_of_the_next_server_does_not_end_a_stream(
    framing, name, ending
):
    harness = RelayHarness()
    _, second = await harness.add_backends(
        answer_raw(BROKEN_OFF_BY_FRAMING[framing], ends=True),
        stop_after(cut(HEADS[name], 0.8), ending),
    )
    await harness.connect()
    answer = await ask(harness, '/resume/x')
    assert answer.status == 200
    assert (EVENTS + CUT_EVENT).startswith(answer.body)
    assert answer.body.startswith(EVENTS)
    assert not answer.is_complete
    assert len(second.requests) == 1
