"""The clients return a value for any answer, and never raise."""

import asyncio
import json
import typing

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lagoonflow.clients.exchange import (
    HttpAnswer,
    HttpFailure,
    HttpRequest,
    decode_json,
)
from lagoonflow.clients.generation import GenerationStream
from lagoonflow.clients.http import HttpClient
from lagoonflow.clients.log import LogClient
from lagoonflow.clients.messages.generation import (
    Chunk,
    Finished,
    GenerationFailed,
)
from lagoonflow.clients.messages.listing import Listing
from lagoonflow.clients.messages.log import (
    AppendResult,
    Batch,
    ReadResult,
    Record,
)

NESTING_DEPTH = 200_000
LOG_BODY = b'{"records":[{"offset":4,"value":"a","time_ms":1}]'
LOG_BODY += b',"earliest":0,"head":5}'
SIZED_HEAD = b'HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: %d\r\n\r\n' % len(
    LOG_BODY
)
CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
COMPLETE_ANSWERS = {
    'sized': SIZED_HEAD + LOG_BODY,
    'chunked': CHUNKED_HEAD
    + b'%x\r\n%s\r\n0\r\n\r\n' % (len(LOG_BODY), LOG_BODY),
}
END_LINE = {'done': True, 'finish_reason': 'stop', 'completion_tokens': 3}


class FakeStream:
    """An answer whose body consists of prepared pieces."""

    status = 200

    def __init__(self, pieces):
        self._pieces = list(pieces)

    async def read(self, timeout_ms):
        return self._pieces.pop(0) if self._pieces else b''

    async def aclose(self):
        self._pieces = []


class FakeHttp:
    """An HTTP client that always opens the same prepared answer."""

    def __init__(self, pieces):
        self._pieces = pieces

    async def open(self, request):
        return FakeStream(self._pieces)


def read_events(pieces):
    """Return all events of a streamed answer; fail if it does not end."""

    async def read():
        events = []
        async with GenerationStream(FakeHttp(pieces), 100) as stream:
            assert await stream.open(HttpRequest('POST', '/generate')) is None
            while not stream.is_over:
                events.append(await stream.next_event())
                assert len(events) < 10_000
        return events

    return asyncio.run(read())


def check_only_last_event_ends(events):
    assert all(isinstance(event, Chunk) for event in events[:-1])
    assert isinstance(events[-1], (Finished, GenerationFailed))


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
line_fields = st.fixed_dictionaries(
    {},
    optional={
        'done': st.booleans() | json_values,
        'index': st.integers() | json_values,
        'text': st.text() | json_values,
        'tokens': st.integers() | json_values,
        'finish_reason': st.sampled_from(['stop', 'length', 'x', '']),
        'completion_tokens': st.integers() | json_values,
        'prompt_tokens': st.integers(),
    },
)


@given(st.lists(st.binary(min_size=1)))
def test_stream_of_any_bytes_ends_once(pieces):
    check_only_last_event_ends(read_events(pieces))


@given(st.lists(line_fields | json_values))
def test_stream_of_any_json_lines_ends_once(lines):
    body = ''.join(f'{json.dumps(line)}\n' for line in lines)
    check_only_last_event_ends(read_events([body.encode()]))


@given(st.lists(st.text(min_size=1), min_size=1), st.data())
def test_lines_may_be_split_at_any_byte(texts, data):
    lines = [{'index': index, 'text': text} for index, text in enumerate(texts)]
    body = ''.join(
        f'{json.dumps(line)}\n' for line in [*lines, END_LINE]
    ).encode()
    positions = st.lists(st.integers(1, len(body) - 1), max_size=20)
    cuts = [0, *sorted(set(data.draw(positions))), len(body)]
    pieces = [
        body[start:end] for start, end in zip(cuts, cuts[1:], strict=False)
    ]
    events = read_events(pieces)
    assert [chunk.text for chunk in events[:-1]] == texts
    assert events[-1] == Finished('stop', 3, -1)


@given(
    st.binary() | json_values.map(lambda content: json.dumps(content).encode())
)
def test_any_body_is_decoded_or_a_failure(body):
    for body_type in (Batch, Listing):
        decoded = decode_json(body, body_type)
        assert isinstance(decoded, (body_type, HttpFailure))


@pytest.mark.parametrize('opening', [b'[', b'{"a":'])
def test_deep_nesting_is_a_failure(opening):
    body = b'{"earliest":0,"x":' + opening * NESTING_DEPTH
    assert isinstance(decode_json(body, Batch), HttpFailure)
    events = read_events([b'{"index":0,"x":', opening * NESTING_DEPTH, b'\n'])
    check_only_last_event_ends(events)


def test_invalid_utf8_is_a_failure():
    body = b'{"records":[],"earliest":0,"head":0,"\xff":1}'
    assert isinstance(decode_json(body, Batch), (Batch, HttpFailure))
    record = b'{"records":[{"offset":0,"value":"\xff","time_ms":1}]'
    body = record + b',"earliest":0,"head":1}'
    assert isinstance(decode_json(body, Batch), HttpFailure)
    events = read_events([b'{"index":0,"text":"\xff"}\n'])
    assert isinstance(events[0], GenerationFailed)


@pytest.mark.parametrize(
    'answer', COMPLETE_ANSWERS.values(), ids=COMPLETE_ANSWERS
)
async def test_answer_truncated_at_any_byte_is_a_failure(serve, answer):
    served = b''

    async def handle(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(served)
        await writer.drain()

    async with serve(handle) as address:
        client = HttpClient(address)
        for end in range(len(answer)):
            served = answer[:end]
            result = await client.call(HttpRequest('GET', '/'))
            assert isinstance(result, HttpFailure), (end, result)
        served = answer
        result = await client.call(HttpRequest('GET', '/'))
        assert isinstance(result, HttpAnswer)
        assert result.body == LOG_BODY


@pytest.mark.parametrize(
    'answer', COMPLETE_ANSWERS.values(), ids=COMPLETE_ANSWERS
)
@settings(
    deadline=None,
    max_examples=150,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(data=st.data())
def test_corrupted_answer_gives_a_result(serve, answer, data):
    served = bytearray(answer)
    for _ in range(data.draw(st.integers(1, 4))):
        position = data.draw(st.integers(0, len(served) - 1))
        served[position] = data.draw(st.integers(0, 255))

    async def handle(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(served)
        await writer.drain()

    async def run():
        async with serve(handle) as address:
            client = LogClient(address)
            read = await client.read('s', 0, wait_ms=0)
            appended = await client.append('s', ('a',), timeout_ms=500)
            return read, appended

    read, appended = asyncio.run(run())
    assert isinstance(read, typing.get_args(ReadResult))
    assert isinstance(appended, typing.get_args(AppendResult))
    if isinstance(read, Batch):
        assert all(isinstance(record, Record) for record in read.records)
