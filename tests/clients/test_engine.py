"""Orders, listing and reports of an engine, against the stand-in."""

import asyncio
import time

import pytest

from lagoonflow.clients.engine import EngineClient
from lagoonflow.clients.messages.common import Unavailable
from lagoonflow.clients.messages.listing import (
    ListedAdapter,
    ListedCheckpoint,
    Listing,
)
from lagoonflow.clients.messages.orders import (
    Order,
    OrderAccepted,
    OrderRefusal,
    OrderRefused,
    OrderUnknown,
)
from loopback.http import counts, set_faults

FAST = ('--disk-load-ms', '50', '--memory-load-ms', '20', '--memory-mb', '1000')


def load(order_id='o-1', fence=1, **fields):
    defaults = {
        'kind': 'load',
        'model': 'm',
        'version': '1',
        'checkpoint': 'm-1',
        'memory_mb': 600,
    }
    return Order(order_id=order_id, fence=fence, **{**defaults, **fields})


async def wait_state(client, state, model='m'):
    for _ in range(200):
        listing = await client.fetch_listing()
        states = {one.model: one.state for one in listing.replicas}
        if states.get(model) == state:
            return listing
        await asyncio.sleep(0.02)
    raise AssertionError(f'{model} is not {state}: {listing}')


async def test_load_from_disk_shows_in_the_listing(standin):
    address = standin('engine', *FAST, '--local-checkpoints', 'm@1:disk')
    client = EngineClient(address)
    assert await client.send_order(load()) == OrderAccepted('o-1')
    assert (await client.fetch_listing()).replicas[0].state == 'loading'
    listing = await wait_state(client, 'ready')
    assert isinstance(listing, Listing)
    assert listing.replicas[0].memory_mb == 600
    assert listing.checkpoints == (ListedCheckpoint('m', '1', 'disk'),)
    assert listing.fence == 1


async def test_remote_load_goes_through_the_store(standin):
    store = standin('store', '--fetch-ms', '200')
    address = standin('engine', *FAST, '--store', f'http://{store}')
    client = EngineClient(address)
    start_s = time.monotonic()
    await client.send_order(load())
    listing = await wait_state(client, 'ready')
    assert time.monotonic() - start_s > 0.25
    assert listing.checkpoints == (ListedCheckpoint('m', '1', 'disk'),)
    assert counts(store)['fetches'] == {'m-1': 1}


async def test_store_outage_fails_the_load(standin):
    store = standin('store')
    set_faults(store, outage=True)
    address = standin('engine', *FAST, '--store', f'http://{store}')
    client = EngineClient(address)
    await client.send_order(load())
    listing = await wait_state(client, 'failed')
    assert listing.replicas[0].memory_mb == 0


async def test_old_fence_is_refused(standin):
    client = EngineClient(standin('engine', *FAST))
    await client.send_order(load(fence=5))
    refused = await client.send_order(load('o-2', fence=4, kind='unload'))
    assert isinstance(refused, OrderRefused)
    assert refused.kind is OrderRefusal.CONFLICT
    assert 'fence' in refused.reason


async def test_engine_without_fencing_takes_old_orders(standin):
    client = EngineClient(standin('engine', *FAST, '--fencing', 'off'))
    await client.send_order(load(fence=5))
    unload = load('o-2', fence=4, kind='unload')
    assert await client.send_order(unload) == OrderAccepted('o-2')
    assert (await client.fetch_listing()).replicas == ()


async def test_overcommit_is_refused_and_counted(standin):
    address = standin('engine', *FAST, '--local-checkpoints', 'm@1:disk')
    client = EngineClient(address)
    await client.send_order(load())
    refused = await client.send_order(load('o-2', model='n'))
    assert refused.kind is OrderRefusal.OUT_OF_MEMORY
    assert counts(address)['overcommit_attempts'] == 1


async def test_repeated_order_has_one_effect(standin):
    address = standin('engine', *FAST, '--local-checkpoints', 'm@1:memory')
    client = EngineClient(address)
    for _ in range(3):
        assert await client.send_order(load()) == OrderAccepted('o-1')
    await wait_state(client, 'ready')
    assert counts(address)['loads'] == {'m': 1}
    assert len(counts(address)['orders']) == 1


async def test_lost_answer_is_unknown_and_took_effect(standin):
    address = standin('engine', *FAST, '--local-checkpoints', 'm@1:memory')
    client = EngineClient(address)
    set_faults(address, lose_order_answers=1)
    assert isinstance(await client.send_order(load()), OrderUnknown)
    await wait_state(client, 'ready')
    assert await client.send_order(load()) == OrderAccepted('o-1')
    assert counts(address)['loads'] == {'m': 1}


async def test_late_order_takes_effect_after_its_timeout(standin):
    address = standin('engine', *FAST, '--local-checkpoints', 'm@1:memory')
    client = EngineClient(address)
    set_faults(address, late_order_ms=500)
    assert isinstance(await client.send_order(load(), 100), OrderUnknown)
    assert (await client.fetch_listing()).replicas == ()
    await wait_state(client, 'ready')


async def test_refusing_engine_has_no_effect(standin):
    address = standin('engine', *FAST)
    client = EngineClient(address)
    set_faults(address, refuse_orders=True)
    assert (await client.send_order(load())).kind is OrderRefusal.REFUSED
    assert (await client.fetch_listing()).replicas == ()


async def test_failed_load_frees_its_memory(standin):
    address = standin('engine', *FAST, '--local-checkpoints', 'm@1:disk')
    client = EngineClient(address)
    set_faults(address, fail_loads=1)
    await client.send_order(load())
    await wait_state(client, 'failed')
    assert await client.send_order(load('o-2')) == OrderAccepted('o-2')
    await wait_state(client, 'ready')


async def test_adapter_needs_a_ready_replica(standin):
    address = standin('engine', *FAST, '--local-checkpoints', 'm@1:memory')
    client = EngineClient(address)
    adapter = load(
        'o-2',
        kind='load_adapter',
        memory_mb=10,
        adapter='a',
        adapter_version='7',
    )
    assert (await client.send_order(adapter)).kind is OrderRefusal.REFUSED
    await client.send_order(load())
    await wait_state(client, 'ready')
    assert await client.send_order(adapter) == OrderAccepted('o-2')
    await asyncio.sleep(0.2)
    replica = (await client.fetch_listing()).replicas[0]
    assert replica.adapters == (ListedAdapter('a', '7', 'ready', 10),)
    assert replica.memory_mb == 600


async def test_restart_changes_the_epoch(standin):
    first = await EngineClient(standin('engine')).fetch_listing()
    second = await EngineClient(standin('engine')).fetch_listing()
    assert first.epoch != second.epoch


@pytest.mark.parametrize('fault', ['outage', 'silent'])
async def test_unusable_engine_is_unavailable(standin, fault):
    address = standin('engine')
    client = EngineClient(address)
    set_faults(address, **{fault: True})
    assert isinstance(await client.fetch_listing(), Unavailable)
    assert isinstance(await client.send_order(load(), 200), OrderUnknown)


async def test_engine_that_is_gone_saw_nothing(processes):
    process = processes.start('engine', 'standins.engine')
    process.wait_listening()
    process.kill()
    refused = await EngineClient(process.address).send_order(load())
    assert refused.kind is OrderRefusal.NOT_SENT
