"""Tests of answers with neither a length nor chunks."""

import asyncio

from tests.relay.harness import (
    RelayHarness,
    answer_events,
    answer_raw,
    encode_request,
    read_framed_answer,
)
from tests.support.sockets import reset

SEALED = b'HTTP/1.1 200 OK\r\nServer-Seal: s\r\n'
STREAM_HEAD = SEALED + b'Content-Type: text/event-stream\r\n\r\n'
EVENTS = b'id: 1\ndata: x1\n\nid: 2\ndata: x2\n\n'
FRAMING_HEADERS = {b'content-length', b'transfer-encoding'}


async def test_an_unframed_stream_is_not_forwarded_as_known_to_be_complete():
    answer = await ask('/once/x', answer_raw(STREAM_HEAD + EVENTS, ends=True))
    assert not FRAMING_HEADERS & answer.headers.keys()
    assert answer.headers[b'connection'] == b'close'
    assert answer.body == EVENTS
    assert answer.is_complete


async def test_an_unframed_answer_is_not_forwarded_as_known_to_be_complete():
    content = SEALED + b'\r\nfine'
    answer = await ask('/read/x', answer_raw(content, ends=True))
    assert not FRAMING_HEADERS & answer.headers.keys()
    assert answer.body == b'fine'
    assert answer.is_complete


async def test_a_reset_unframed_stream_does_not_look_complete():
    answer = await ask('/once/x', send_and_reset(STREAM_HEAD + EVENTS))
    assert not FRAMING_HEADERS & answer.headers.keys()
    assert not answer.is_complete


async def test_a_chunked_answer_resumed_unframed_does_not_look_complete():
    rest = STREAM_HEAD + b'id: 3\ndata: x3\n\n'
    answer = await ask(
        '/resume/x',
        answer_events(1, 2, ends=False),
        answer_raw(rest, ends=True),
    )
    assert answer.body.endswith(b'data: x3\n\n')
    assert not answer.is_complete


async def test_an_unframed_answer_resumed_in_chunks_is_complete():
    answer = await ask(
        '/resume/x', send_and_reset(STREAM_HEAD + EVENTS), answer_events(3, 4)
    )
    assert answer.body.endswith(b'data: x4\n\n')
    assert answer.is_complete


async def ask(path, *scripts):
    """Return the answer to one request, from servers with these scripts."""
    harness = RelayHarness()
    await harness.add_backends(*scripts)
    reader, writer = await harness.connect()
    writer.write(encode_request(path))
    return await read_framed_answer(reader)


def send_and_reset(content):
    """Return a script that sends bytes and resets the connection."""

    async def script(writer, _received) -> bool:
        writer.write(content)
        await writer.drain()
        # The bytes are read before the reset discards them.
        await asyncio.sleep(0.1)
        reset(writer)
        return False

    return script
