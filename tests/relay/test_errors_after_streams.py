"""Streams that break off, after which the next server answers with an error."""

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
    HEAD,
)

TEXT = b'an error of the server'
SEAL = b'Server-Seal: s\r\n'
EVENT_TYPE = b'Content-Type: text/event-stream\r\n'


def whole(status, *lines):
    length = b'Content-Length: %d\r\n' % len(TEXT)
    head = b'HTTP/1.1 ' + status + b'\r\n' + b''.join(lines)
    return head + length + b'\r\n' + TEXT


ERRORS = {
    'full': whole(b'503 Full', b'Not-Executed: 1\r\n'),
    'unavailable': whole(b'503 Full'),
    'other server': whole(b'421 Other'),
    'own error': whole(b'500 Error', SEAL),
    'error in events': whole(b'500 Error', SEAL, EVENT_TYPE),
    'timeout': whole(b'504 Timeout', SEAL),
    'not found': whole(b'404 Not Found', SEAL),
    'plain success': whole(b'200 OK', SEAL),
    'success without seal': whole(b'200 OK', EVENT_TYPE),
    'encoded success': whole(
        b'200 OK', SEAL, EVENT_TYPE, b'Content-Encoding: gzip\r\n'
    ),
    'redirect': whole(b'302 Found', SEAL, b'Location: /\r\n'),
    'until close': b'HTTP/1.1 500 Error\r\n' + SEAL + b'\r\n' + TEXT,
    'no response': b'\x00\x01' + TEXT,
    'cut head': b'HTTP/1.1 500 Error\r\nX-Text: ' + TEXT,
    'nothing': b'',
}


def assert_only_events(answer):
    """Check that nothing but the begun stream was delivered, without an end."""
    assert answer.status == 200
    assert (EVENTS + CUT_EVENT).startswith(answer.body)
    assert answer.body.startswith(EVENTS)
    assert not answer.is_complete


@pytest.mark.parametrize('framing', BROKEN_OFF_BY_FRAMING)
@pytest.mark.parametrize('error', ERRORS)
async def test_an_error_of_the_next_server_does_not_enter_a_stream(
    framing, error
):
    harness = RelayHarness()
    _, second = await harness.add_backends(
        answer_raw(BROKEN_OFF_BY_FRAMING[framing], ends=True),
        answer_raw(ERRORS[error], ends=True),
    )
    reader, writer = await harness.connect()
    writer.write(encode_request('/resume/x'))
    assert_only_events(await read_framed_answer(reader))
    assert len(second.requests) == 1


class SlowReader:
    """Reads a few bytes at a time, with pauses."""

    def __init__(self, reader):
        self._reader = reader

    async def read(self, _most):
        await asyncio.sleep(0.01)
        return await self._reader.read(7)


@pytest.mark.parametrize('error', ERRORS)
async def test_an_error_does_not_enter_the_stream_of_a_slow_caller(error):
    harness = RelayHarness()
    await harness.add_backends(
        answer_raw(BROKEN_OFF_BY_FRAMING['chunked'], ends=True),
        answer_raw(ERRORS[error], ends=True),
    )
    reader, writer = await harness.connect()
    writer.write(encode_request('/resume/x'))
    assert_only_events(await read_framed_answer(SlowReader(reader)))


@pytest.mark.parametrize('error', ERRORS)
async def test_a_caller_that_resumes_gets_events_or_a_status_of_its_own(error):
    harness = RelayHarness()
    await harness.add_backends(
        answer_raw(ERRORS[error], ends=True),
        answer_raw(
            HEAD + b'Content-Length: 16\r\n\r\nid: 3\ndata: x3\n\n', ends=True
        ),
    )
    reader, writer = await harness.connect()
    writer.write(encode_request('/resume/x', 'Last-Event-Id: 2'))
    answer = await read_framed_answer(reader)
    if answer.status == 200:
        assert answer.body == b'id: 3\ndata: x3\n\n'
        assert answer.is_complete
    else:
        assert EVENTS not in answer.body
