"""Streams of answers, against the stand-in and a raw server."""

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

FIRST_MS = 2000
PROGRESS_MS = 500
PROMPT = 'close the main at Rua das Flores'
LOCAL = ('--local-checkpoints', 'm@1:memory', '--memory-load-ms', '1')


@pytest.fixture
def ready_engine(standin):
    """Return a function that starts an engine with a ready replica."""

    async def start(*flags):
        address = standin('engine', *LOCAL, *flags)
        client = EngineClient(address)
        await client.send_order(Order('o', 1, 'load', 'm', '1', 'm-1', 100))
        for _ in range(500):
            if (await client.fetch_listing()).replicas[0].state == 'ready':
                return address, client
            await asyncio.sleep(0.01)
        raise AssertionError('the replica is not ready')

    return start


def ask(max_tokens=20, **fields):
    defaults = {'request_id': 'r', 'model': 'm', 'version': '1'}
    values = {'prompt': PROMPT, **defaults, **fields}
    return GenerateRequest(max_tokens=max_tokens, **values)


async def collect(client, request, progress_ms=PROGRESS_MS):
    stream = client.generate(request, FIRST_MS, progress_ms)
    async with contextlib.aclosing(stream) as events:
        return [event async for event in events]


def text_of(events):
    return ''.join(one.text for one in events if isinstance(one, Chunk))


async def test_answer_is_whole(ready_engine):
    _, client = await ready_engine()
    events = await collect(client, ask(20))
    assert text_of(events) == expected_text('m', '1', '', '', PROMPT, 20)
    assert events[-1] == Finished('length', 20, count_tokens(PROMPT))


async def test_prompt_can_stop_early(ready_engine):
    _, client = await ready_engine()
    prompt = f'{PROMPT} [stop=5]'
    events = await collect(client, ask(20, prompt=prompt))
    assert text_of(events) == expected_text('m', '1', '', '', prompt, 20)
    assert events[-1].finish_reason == 'stop'
    assert events[-1].completion_tokens == 5


@pytest.mark.parametrize('tokens_per_s', ['50', '5000'])
async def test_resumed_answer_joins_without_a_seam(ready_engine, tokens_per_s):
    _, client = await ready_engine('--tokens-per-s', tokens_per_s)
    stream = client.generate(ask(40), FIRST_MS, PROGRESS_MS)
    text, next_index = '', 0
    async with contextlib.aclosing(stream) as events:
        async for event in events:
            assert event.index == next_index
            text += event.text
            next_index += event.tokens
            if next_index >= 10:
                break
    rest = await collect(client, ask(40, from_token=next_index))
    whole = expected_text('m', '1', '', '', PROMPT, 40)
    assert text + text_of(rest) == whole
    assert rest[-1].completion_tokens == 40


async def test_due_tokens_share_a_chunk(ready_engine):
    _, client = await ready_engine('--tokens-per-s', '10000')
    events = await collect(client, ask(1000))
    assert text_of(events) == expected_text('m', '1', '', '', PROMPT, 1000)
    assert len(events) < 200
    assert max(one.tokens for one in events[:-1]) > 5


async def test_batch_slows_beyond_its_size(ready_engine):
    _, client = await ready_engine('--batch-size', '2', '--first-token-ms', '0')

    async def timed(count):
        start_s = time.monotonic()
        requests = [ask(20, request_id=f'{one}') for one in range(count)]
        await asyncio.gather(*(collect(client, one) for one in requests))
        return time.monotonic() - start_s

    assert await timed(8) > 2 * await timed(2)


async def test_priority_starts_first(ready_engine):
    _, client = await ready_engine('--max-running', '1')
    ends = []

    async def run(name, priority):
        await collect(client, ask(5, request_id=name, priority=priority), 5000)
        ends.append(name)

    tasks = []
    for name, priority in (('first', 5), ('low', 5), ('high', 1)):
        tasks.append(asyncio.create_task(run(name, priority)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    assert ends == ['first', 'high', 'low']


async def test_absent_replica_is_not_ready(ready_engine):
    address, client = await ready_engine()
    events = await collect(client, ask(model='other'))
    assert [one.kind for one in events] == [GenerationFailure.NOT_READY]
    events = await collect(client, ask(adapter='a', adapter_version='1'))
    assert [one.kind for one in events] == [GenerationFailure.NOT_READY]
    assert counts(address)['executions'] == {}


async def test_engine_error_is_an_event(ready_engine):
    address, client = await ready_engine()
    set_faults(address, generate_error=1)
    events = await collect(client, ask())
    assert [one.kind for one in events] == [GenerationFailure.ENGINE_ERROR]
    assert isinstance((await collect(client, ask()))[-1], Finished)


async def running(client):
    report = await client.fetch_load_report()
    return report.running


async def test_closing_the_stream_stops_the_engine(ready_engine):
    _, client = await ready_engine('--report-lag-ms', '0')
    stream = client.generate(ask(5000), FIRST_MS, PROGRESS_MS)
    async with contextlib.aclosing(stream) as events:
        await anext(events)
        assert await running(client) == 1
    await asyncio.sleep(0.3)
    assert await running(client) == 0


async def test_cancelling_the_reader_stops_the_engine(ready_engine):
    _, client = await ready_engine('--report-lag-ms', '0')
    reading = asyncio.create_task(collect(client, ask(5000)))
    await asyncio.sleep(0.3)
    assert await running(client) == 1
    reading.cancel()
    with pytest.raises(asyncio.CancelledError):
        await reading
    await asyncio.sleep(0.3)
    assert await running(client) == 0


async def test_cancel_ends_the_stream(ready_engine):
    _, client = await ready_engine()
    reading = asyncio.create_task(collect(client, ask(5000)))
    await asyncio.sleep(0.3)
    assert await client.cancel('r') == Cancelled(was_known=True)
    events = await asyncio.wait_for(reading, 2)
    assert events[-1].finish_reason == 'cancelled'
    assert await client.cancel('r') == Cancelled(was_known=False)


async def test_frozen_stream_fails_in_time_and_new_ones_work(ready_engine):
    address, client = await ready_engine()
    reading = asyncio.create_task(collect(client, ask(5000), 300))
    await asyncio.sleep(0.3)
    set_faults(address, freeze_streams=True)
    start_s = time.monotonic()
    events = await reading
    assert time.monotonic() - start_s < 1.5
    assert events[-1].kind is GenerationFailure.NO_PROGRESS
    assert isinstance((await collect(client, ask(5)))[-1], Finished)


async def test_killed_engine_breaks_the_stream(processes):
    process = processes.start('engine', 'standins.engine', *LOCAL)
    process.wait_listening()
    client = EngineClient(process.address)
    await client.send_order(Order('o', 1, 'load', 'm', '1', 'm-1', 100))
    await asyncio.sleep(0.3)
    reading = asyncio.create_task(collect(client, ask(5000)))
    await asyncio.sleep(0.3)
    process.kill()
    events = await asyncio.wait_for(reading, 2)
    assert events[-1].kind is GenerationFailure.BROKEN
    events = await collect(client, ask())
    assert events[-1].kind is GenerationFailure.NOT_SENT


async def test_load_report_lags(ready_engine):
    _, client = await ready_engine('--report-lag-ms', '400')
    reading = asyncio.create_task(collect(client, ask(5000)))
    await asyncio.sleep(0.2)
    assert await running(client) == 0
    await asyncio.sleep(0.5)
    assert await running(client) == 1
    reading.cancel()


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
async def test_malformed_line_breaks_the_answer(serve, line):
    async def handle(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n')
        for piece in (b'{"index":0,"text":"a"}\n', line):
            if piece:
                writer.write(b'%x\r\n%s\r\n' % (len(piece), piece))
        writer.write(b'0\r\n\r\n')
        await writer.drain()

    async with serve(handle) as address:
        events = await collect(EngineClient(address), ask())
    assert events[0] == Chunk(0, 'a')
    assert isinstance(events[-1], GenerationFailed)
    assert events[-1].kind is GenerationFailure.BROKEN
    assert len(events) == 2


@pytest.mark.parametrize('size', [1, 7, 1000])
async def test_lines_may_be_cut_anywhere(serve, size):
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
        events = await collect(EngineClient(address), ask())
    assert text_of(events) == ''.join(f'ő{n}' for n in range(9))
    assert isinstance(events[-1], Finished)
