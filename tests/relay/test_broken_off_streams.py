"""Tests of streams that a backend server breaks off inside an event."""

import pytest

from tests.relay.harness import (
    RelayHarness,
    answer_events,
    answer_raw,
    encode_request,
    read_framed_answer,
)

EVENTS = b'id: 1\ndata: x1\n\nid: 2\ndata: x2\n\n'
CUT_EVENT = b'id: 3\nda'
HEAD = (
    b'HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\n'
)
BROKEN_OFF = EVENTS + CUT_EVENT
BROKEN_OFF_BY_FRAMING = {
    'until_close': HEAD + b'\r\n' + BROKEN_OFF,
    'http_1_0': HEAD.replace(b'1.1', b'1.0') + b'\r\n' + BROKEN_OFF,
    'chunked': HEAD
    + b'Transfer-Encoding: chunked\r\n\r\n'
    + b'%x\r\n%s\r\n0\r\n\r\n' % (len(BROKEN_OFF), BROKEN_OFF),
    'length': HEAD
    + b'Content-Length: %d\r\n\r\n' % len(BROKEN_OFF)
    + BROKEN_OFF,
}
each_framing = pytest.mark.parametrize('framing', BROKEN_OFF_BY_FRAMING)


@each_framing
async def test_a_stream_that_ends_inside_an_event_does_not_look_complete(
    framing,
):
    harness = RelayHarness()
    await harness.add_backends(
        answer_raw(BROKEN_OFF_BY_FRAMING[framing], ends=True)
    )
    reader, writer = await harness.connect()
    writer.write(encode_request('/once/x'))
    answer = await read_framed_answer(reader)
    assert answer.body.startswith(EVENTS)
    assert not answer.is_complete


@each_framing
async def test_a_stream_that_ends_inside_an_event_is_resumed(framing):
    harness = RelayHarness()
    _, second = await harness.add_backends(
        answer_raw(BROKEN_OFF_BY_FRAMING[framing], ends=True),
        answer_events(3, 4),
    )
    reader, writer = await harness.connect()
    writer.write(encode_request('/resume/x'))
    answer = await read_framed_answer(reader)
    assert answer.body == EVENTS + b'id: 3\ndata: x3\n\nid: 4\ndata: x4\n\n'
    assert answer.is_complete
    assert second.requests[0].headers['last-event-id'] == '2'


async def test_a_resumed_stream_does_not_keep_the_length_of_its_first_answer():
    harness = RelayHarness()
    first = HEAD + b'Content-Length: 900\r\n\r\n' + BROKEN_OFF
    await harness.add_backends(
        answer_raw(first, ends=True), answer_events(3, 4)
    )
    reader, writer = await harness.connect()
    writer.write(encode_request('/resume/x'))
    answer = await read_framed_answer(reader)
    assert answer.body.endswith(b'data: x4\n\n')
    assert answer.is_complete
