"""Streamed answers, against the engine stand-in and a raw TCP server."""

import asyncio
import contextlib
import time

import pytest

from lagoonflow.clients.engine import EngineClient
from lagoonflow.clients.messages.generation import (
    Cancelled,
    Chunk,
    Finished,
    GenerateRequest,
    GenerationFailed,
    GenerationFailure,
)
from lagoonflow.clients.messages.orders import Order
from loopback.http import counts, set_faults
from standins.tokens import count_tokens, expected_text

FIRST_CHUNK_TIMEOUT_MS = 2000
PROGRESS_TIMEOUT_MS = 500
PROMPT = 'close the main at Rua das Flores'
LOCAL_CHECKPOINT_FLAGS = (
    '--local-checkpoints',
    'm@1:memory',
    '--memory-load-ms',
    '1',
)


@pytest.fixture
def ready_engine(standin):
    """Return a function that starts an engine with a ready replica."""

    async def start(*flags):
        address = standin('engine', *LOCAL_CHECKPOINT_FLAGS, *flags)
        client = EngineClient(address)
        await client.send_order(Order('o', 1, 'load', 'm', '1', 'm-1', 100))
        for _ in range(500):
            if (await client.fetch_listing()).replicas[0].state == 'ready':
                return address, client
            await asyncio.sleep(0.01)
        raise AssertionError('the replica is not ready')

    return start


def make_request(max_tokens=20, **fields):
    defaults = {'request_id': 'r', 'model': 'm', 'version': '1'}
    values = {'prompt': PROMPT, **defaults, **fields}
    return GenerateRequest(max_tokens=max_tokens, **values)


async def collect_events(
    client, request, progress_timeout_ms=PROGRESS_TIMEOUT_MS
):
    stream = client.generate(
        request, FIRST_CHUNK_TIMEOUT_MS, progress_timeout_ms
    )
    async with contextlib.aclosing(stream) as events:
        return [event async for event in events]


def text_of(events):
    return ''.join(chunk.text for chunk in events if isinstance(chunk, Chunk))


async def test_answer_is_complete(ready_engine):
    _, client = await ready_engine()
    events = await collect_events(client, make_request(20))
    assert text_of(events) == expected_text('m', '1', '', '', PROMPT, 20)
    assert events[-1] == Finished('length', 20, count_tokens(PROMPT))


async def test_answer_can_stop_before_its_token_limit(ready_engine):
    _, client = await ready_engine()
    prompt = f'{PROMPT} [stop=5]'
    events = await collect_events(client, make_request(20, prompt=prompt))
    assert text_of(events) == expected_text('m', '1', '', '', prompt, 20)
    assert events[-1].finish_reason == 'stop'
    assert events[-1].completion_tokens == 5


@pytest.mark.parametrize('tokens_per_s', ['50', '5000'])
async def test_resumed_answer_continues_without_gap_or_overlap(
    ready_engine, tokens_per_s
):
    _, client = await ready_engine('--tokens-per-s', tokens_per_s)
    stream = client.generate(
        make_request(40), FIRST_CHUNK_TIMEOUT_MS, PROGRESS_TIMEOUT_MS
    )
    text, next_index = '', 0
    async with contextlib.aclosing(stream) as events:
        async for event in events:
            assert event.index == next_index
            text += event.text
            next_index += event.tokens
            if next_index >= 10:
                break
    rest = await collect_events(client, make_request(40, from_token=next_index))
    full_text = expected_text('m', '1', '', '', PROMPT, 40)
    assert text + text_of(rest) == full_text
    assert rest[-1].completion_tokens == 40


async def test_tokens_that_are_due_together_share_a_chunk(ready_engine):
    _, client = await ready_engine('--tokens-per-s', '10000')
    events = await collect_events(client, make_request(1000))
    assert text_of(events) == expected_text('m', '1', '', '', PROMPT, 1000)
    assert len(events) < 200
    assert max(chunk.tokens for chunk in events[:-1]) > 5


async def test_generation_slows_down_beyond_the_batch_size(ready_engine):
    _, client = await ready_engine('--batch-size', '2', '--first-token-ms', '0')

    async def measure_s(count):
        start_s = time.monotonic()
        requests = [
            make_request(20, request_id=f'{number}') for number in range(count)
        ]
        await asyncio.gather(
            *(collect_events(client, request) for request in requests)
        )
        return time.monotonic() - start_s

    assert await measure_s(8) > 2 * await measure_s(2)


async def test_lower_priority_number_starts_first(ready_engine):
    _, client = await ready_engine('--max-running', '1')
    finish_order = []

    async def run(name, priority):
        await collect_events(
            client, make_request(5, request_id=name, priority=priority), 5000
        )
        finish_order.append(name)

    tasks = []
    for name, priority in (('first', 5), ('low', 5), ('high', 1)):
        tasks.append(asyncio.create_task(run(name, priority)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    assert finish_order == ['first', 'high', 'low']


async def test_request_without_its_replica_is_not_ready(ready_engine):
    address, client = await ready_engine()
    events = await collect_events(client, make_request(model='other'))
    assert [event.kind for event in events] == [GenerationFailure.NOT_READY]
    events = await collect_events(
        client, make_request(adapter='a', adapter_version='1')
    )
    assert [event.kind for event in events] == [GenerationFailure.NOT_READY]
    assert counts(address)['executions'] == {}


async def test_engine_error_is_an_event(ready_engine):
    address, client = await ready_engine()
    set_faults(address, generate_error=1)
    events = await collect_events(client, make_request())
    assert [event.kind for event in events] == [GenerationFailure.ENGINE_ERROR]
    assert isinstance(
        (await collect_events(client, make_request()))[-1], Finished
    )


async def count_running(client):
    report = await client.fetch_load_report()
    return report.running


async def test_closing_the_stream_stops_the_generation(ready_engine):
    _, client = await ready_engine('--report-lag-ms', '0')
    stream = client.generate(
        make_request(5000), FIRST_CHUNK_TIMEOUT_MS, PROGRESS_TIMEOUT_MS
    )
    async with contextlib.aclosing(stream) as events:
        await anext(events)
        assert await count_running(client) == 1
    await asyncio.sleep(0.3)
    assert await count_running(client) == 0


async def test_cancelling_the_reader_stops_the_generation(ready_engine):
    _, client = await ready_engine('--report-lag-ms', '0')
    read_task = asyncio.create_task(collect_events(client, make_request(5000)))
    await asyncio.sleep(0.3)
    assert await count_running(client) == 1
    read_task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await read_task
    await asyncio.sleep(0.3)
    assert await count_running(client) == 0


async def test_cancel_ends_the_stream(ready_engine):
    _, client = await ready_engine()
    read_task = asyncio.create_task(collect_events(client, make_request(5000)))
    await asyncio.sleep(0.3)
    assert await client.cancel('r') == Cancelled(was_known=True)
    events = await asyncio.wait_for(read_task, 2)
    assert events[-1].finish_reason == 'cancelled'
    assert await client.cancel('r') == Cancelled(was_known=False)


async def test_stalled_stream_times_out_and_new_ones_work(ready_engine):
    address, client = await ready_engine()
    read_task = asyncio.create_task(
        collect_events(client, make_request(5000), 300)
    )
    await asyncio.sleep(0.3)
    set_faults(address, freeze_streams=True)
    start_s = time.monotonic()
    events = await read_task
    assert time.monotonic() - start_s < 1.5
    assert events[-1].kind is GenerationFailure.NO_PROGRESS
    assert isinstance(
        (await collect_events(client, make_request(5)))[-1], Finished
    )


async def test_killed_engine_breaks_the_stream(processes):
    process = processes.start(
        'engine', 'standins.engine', *LOCAL_CHECKPOINT_FLAGS
    )
    process.wait_listening()
    client = EngineClient(process.address)
    await client.send_order(Order('o', 1, 'load', 'm', '1', 'm-1', 100))
    await asyncio.sleep(0.3)
    read_task = asyncio.create_task(collect_events(client, make_request(5000)))
    await asyncio.sleep(0.3)
    process.kill()
    events = await asyncio.wait_for(read_task, 2)
    assert events[-1].kind is GenerationFailure.BROKEN
    events = await collect_events(client, make_request())
    assert events[-1].kind is GenerationFailure.NOT_SENT


async def test_load_report_lags(ready_engine):
    _, client = await ready_engine('--report-lag-ms', '400')
    read_task = asyncio.create_task(collect_events(client, make_request(5000)))
    await asyncio.sleep(0.2)
    assert await count_running(client) == 0
    await asyncio.sleep(0.5)
    assert await count_running(client) == 1
    read_task.cancel()


MALFORMED_LINES = {
    'not JSON': b'{"index":0,\n',
    'no index': b'{"text":"a"}\n',
    'end without a reason': b'{"done":true,"completion_tokens":1}\n',
    'end without a count': b'{"done":true,"finish_reason":"stop"}\n',
    'unknown reason': b'{"done":true,"finish_reason":"x"}\n',
    'no newline': b'{"index":0,"text":"a"}',
    'nothing': b'',
}


@pytest.mark.parametrize(
    'line', MALFORMED_LINES.values(), ids=list(MALFORMED_LINES)
)
async def test_malformed_line_fails_the_answer(serve, line):
    async def handle(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n')
        for piece in (b'{"index":0,"text":"a"}\n', line):
            if piece:
                writer.write(b'%x\r\n%s\r\n' % (len(piece), piece))
        writer.write(b'0\r\n\r\n')
        await writer.drain()

    async with serve(handle) as address:
        events = await collect_events(EngineClient(address), make_request())
    assert events[0] == Chunk(0, 'a')
    assert isinstance(events[-1], GenerationFailed)
    assert events[-1].kind is GenerationFailure.BROKEN
    assert len(events) == 2


@pytest.mark.parametrize('size', [1, 7, 1000])
async def test_lines_may_be_split_at_any_byte(serve, size):
    body = ''.join(f'{{"index":{n},"text":"ő{n}"}}\n' for n in range(9))
    body += '{"done":true,"finish_reason":"stop","completion_tokens":9}\n'
    raw = body.encode()

    async def handle(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n')
        for start in range(0, len(raw), size):
            piece = raw[start : start + size]
            writer.write(b'%x\r\n%s\r\n' % (len(piece), piece))
        writer.write(b'0\r\n\r\n')
        await writer.drain()

    async with serve(handle) as address:
        events = await collect_events(EngineClient(address), make_request())
    assert text_of(events) == ''.join(f'ő{n}' for n in range(9))
    assert isinstance(events[-1], Finished)
