"""The log client, against the log service stand-in."""

import asyncio
import time

from lagoonflow.clients.log import LogClient
from lagoonflow.clients.messages.common import Unavailable
from lagoonflow.clients.messages.log import (
    Appended,
    AppendRefused,
    AppendUnknown,
    Batch,
    Expired,
)
from loopback.http import set_faults


async def read_values(client, offset=0):
    batch = await client.read('s', offset, wait_ms=0)
    assert isinstance(batch, Batch), batch
    return [record.value for record in batch.records]


async def test_records_are_read_in_order(standin):
    client = LogClient(standin('log'))
    assert await client.append('s', ('a', 'b')) == Appended(0)
    assert await client.append('s', ('c',)) == Appended(2)
    assert await client.append('other', ('x',)) == Appended(0)
    batch = await client.read('s', 1, wait_ms=0, limit=1)
    assert [(record.offset, record.value) for record in batch.records] == [
        (1, 'b')
    ]
    assert (batch.earliest, batch.head) == (0, 3)
    assert await read_values(client) == ['a', 'b', 'c']


async def test_read_waits_for_the_next_record(standin):
    client = LogClient(standin('log'))
    read_task = asyncio.create_task(client.read('s', 0, wait_ms=5000))
    await asyncio.sleep(0.1)
    start_s = time.monotonic()
    await client.append('s', ('a',))
    batch = await read_task
    assert [record.value for record in batch.records] == ['a']
    assert time.monotonic() - start_s < 1


async def test_read_without_records_returns_after_its_wait(standin):
    client = LogClient(standin('log'))
    start_s = time.monotonic()
    assert await client.read('s', 0, wait_ms=200) == Batch((), 0, 0)
    assert 0.15 < time.monotonic() - start_s < 1.5


async def test_expired_offset_returns_the_bounds_of_the_stream(standin):
    address = standin('log')
    client = LogClient(address)
    await client.append('s', ('a', 'b'))
    set_faults(address, expire_all=True)
    assert await client.append('s', ('c',)) == Appended(2)
    assert await client.read('s', 1, wait_ms=0) == Expired(2, 3)
    assert await read_values(client, 2) == ['c']


async def test_retention_drops_old_records(standin):
    client = LogClient(standin('log', '--retention-s', '0.3'))
    await client.append('s', ('a',))
    await asyncio.sleep(0.5)
    assert await client.read('s', 0, wait_ms=0) == Expired(1, 1)


async def test_append_with_a_lost_answer_is_unknown_but_done(standin):
    address = standin('log')
    client = LogClient(address)
    set_faults(address, lose_append_answers=1)
    assert isinstance(await client.append('s', ('a',)), AppendUnknown)
    assert await read_values(client) == ['a']
    assert await client.append('s', ('b',)) == Appended(1)


async def test_append_over_the_rate_is_refused_with_a_delay(standin):
    client = LogClient(standin('log', '--appends-per-s', '1'))
    assert await client.append('s', ('a',)) == Appended(0)
    refused = await client.append('s', ('b',))
    assert isinstance(refused, AppendRefused)
    assert refused.retry_after_ms == 1000
    assert await read_values(client) == ['a']


async def test_append_to_a_silent_log_times_out_as_unknown(standin):
    address = standin('log')
    client = LogClient(address)
    set_faults(address, silent=True)
    start_s = time.monotonic()
    result = await client.append('s', ('a',), timeout_ms=200)
    assert isinstance(result, AppendUnknown)
    assert time.monotonic() - start_s < 1.5


async def test_outage_ends_a_waiting_read(standin):
    address = standin('log')
    client = LogClient(address)
    read_task = asyncio.create_task(client.read('s', 0, wait_ms=20_000))
    await asyncio.sleep(0.2)
    set_faults(address, outage=True)
    assert isinstance(await asyncio.wait_for(read_task, 2), Unavailable)
    assert isinstance(await client.append('s', ('a',)), AppendUnknown)
    set_faults(address, outage=False)
    assert await read_values(client) == []


async def test_append_to_a_stopped_log_is_refused(processes):
    process = processes.start('log', 'standins.log')
    process.wait_listening()
    client = LogClient(process.address)
    process.kill()
    assert isinstance(await client.append('s', ('a',)), AppendRefused)
    assert isinstance(await client.read('s', 0), Unavailable)
