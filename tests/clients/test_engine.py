"""The engine client's orders and listing, against the engine stand-in."""

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

FAST_ENGINE_FLAGS = (
    '--disk-load-ms',
    '50',
    '--memory-load-ms',
    '20',
    '--memory-mb',
    '1000',
)


def make_order(order_id='o-1', fence=1, **fields):
    defaults = {
        'kind': 'load',
        'model': 'm',
        'version': '1',
        'checkpoint': 'm-1',
        'memory_mb': 600,
    }
    return Order(order_id=order_id, fence=fence, **{**defaults, **fields})


async def wait_for_state(client, state, model='m'):
    for _ in range(200):
        listing = await client.fetch_listing()
        states = {replica.model: replica.state for replica in listing.replicas}
        if states.get(model) == state:
            return listing
        await asyncio.sleep(0.02)
    raise AssertionError(f'{model} is not {state}: {listing}')


async def test_load_from_disk_shows_in_the_listing(standin):
    address = standin(
        'engine', *FAST_ENGINE_FLAGS, '--local-checkpoints', 'm@1:disk'
    )
    client = EngineClient(address)
    assert await client.send_order(make_order()) == OrderAccepted('o-1')
    assert (await client.fetch_listing()).replicas[0].state == 'loading'
    listing = await wait_for_state(client, 'ready')
    assert isinstance(listing, Listing)
    assert listing.replicas[0].memory_mb == 600
    assert listing.checkpoints == (ListedCheckpoint('m', '1', 'disk'),)
    assert listing.fence == 1


async def test_remote_load_fetches_the_checkpoint_from_the_store(standin):
    store = standin('store', '--fetch-ms', '200')
    address = standin(
        'engine', *FAST_ENGINE_FLAGS, '--store', f'http://{store}'
    )
    client = EngineClient(address)
    start_s = time.monotonic()
    await client.send_order(make_order())
    listing = await wait_for_state(client, 'ready')
    assert time.monotonic() - start_s > 0.25
    assert listing.checkpoints == (ListedCheckpoint('m', '1', 'disk'),)
    assert counts(store)['fetches'] == {'m-1': 1}


async def test_store_outage_fails_the_load(standin):
    store = standin('store')
    set_faults(store, outage=True)
    address = standin(
        'engine', *FAST_ENGINE_FLAGS, '--store', f'http://{store}'
    )
    client = EngineClient(address)
    await client.send_order(make_order())
    listing = await wait_for_state(client, 'failed')
    assert listing.replicas[0].memory_mb == 0


async def test_old_fence_is_refused(standin):
    client = EngineClient(standin('engine', *FAST_ENGINE_FLAGS))
    await client.send_order(make_order(fence=5))
    refused = await client.send_order(make_order('o-2', fence=4, kind='unload'))
    assert isinstance(refused, OrderRefused)
    assert refused.kind is OrderRefusal.CONFLICT
    assert 'fence' in refused.reason


async def test_engine_without_fencing_accepts_an_old_fence(standin):
    client = EngineClient(
        standin('engine', *FAST_ENGINE_FLAGS, '--fencing', 'off')
    )
    await client.send_order(make_order(fence=5))
    unload = make_order('o-2', fence=4, kind='unload')
    assert await client.send_order(unload) == OrderAccepted('o-2')
    assert (await client.fetch_listing()).replicas == ()


async def test_overcommit_is_refused_and_counted(standin):
    address = standin(
        'engine', *FAST_ENGINE_FLAGS, '--local-checkpoints', 'm@1:disk'
    )
    client = EngineClient(address)
    await client.send_order(make_order())
    refused = await client.send_order(make_order('o-2', model='n'))
    assert refused.kind is OrderRefusal.OUT_OF_MEMORY
    assert counts(address)['overcommit_attempts'] == 1


async def test_repeated_order_is_executed_once(standin):
    address = standin(
        'engine', *FAST_ENGINE_FLAGS, '--local-checkpoints', 'm@1:memory'
    )
    client = EngineClient(address)
    for _ in range(3):
        assert await client.send_order(make_order()) == OrderAccepted('o-1')
    await wait_for_state(client, 'ready')
    assert counts(address)['loads'] == {'m': 1}
    assert len(counts(address)['orders']) == 1


async def test_order_with_a_lost_answer_is_unknown_but_executed(standin):
    address = standin(
        'engine', *FAST_ENGINE_FLAGS, '--local-checkpoints', 'm@1:memory'
    )
    client = EngineClient(address)
    set_faults(address, lose_order_answers=1)
    assert isinstance(await client.send_order(make_order()), OrderUnknown)
    await wait_for_state(client, 'ready')
    assert await client.send_order(make_order()) == OrderAccepted('o-1')
    assert counts(address)['loads'] == {'m': 1}


async def test_order_that_timed_out_is_executed_later(standin):
    address = standin(
        'engine', *FAST_ENGINE_FLAGS, '--local-checkpoints', 'm@1:memory'
    )
    client = EngineClient(address)
    set_faults(address, late_order_ms=500)
    assert isinstance(await client.send_order(make_order(), 100), OrderUnknown)
    assert (await client.fetch_listing()).replicas == ()
    await wait_for_state(client, 'ready')


async def test_refused_order_has_no_effect(standin):
    address = standin('engine', *FAST_ENGINE_FLAGS)
    client = EngineClient(address)
    set_faults(address, refuse_orders=True)
    assert (await client.send_order(make_order())).kind is OrderRefusal.REFUSED
    assert (await client.fetch_listing()).replicas == ()


async def test_failed_load_frees_its_memory(standin):
    address = standin(
        'engine', *FAST_ENGINE_FLAGS, '--local-checkpoints', 'm@1:disk'
    )
    client = EngineClient(address)
    set_faults(address, fail_loads=1)
    await client.send_order(make_order())
    await wait_for_state(client, 'failed')
    assert await client.send_order(make_order('o-2')) == OrderAccepted('o-2')
    await wait_for_state(client, 'ready')


async def test_adapter_load_needs_a_ready_replica(standin):
    address = standin(
        'engine', *FAST_ENGINE_FLAGS, '--local-checkpoints', 'm@1:memory'
    )
    client = EngineClient(address)
    adapter = make_order(
        'o-2',
        kind='load_adapter',
        memory_mb=10,
        adapter='a',
        adapter_version='7',
    )
    assert (await client.send_order(adapter)).kind is OrderRefusal.REFUSED
    await client.send_order(make_order())
    await wait_for_state(client, 'ready')
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
async def test_failing_engine_is_unavailable_and_its_orders_unknown(
    standin, fault
):
    address = standin('engine')
    client = EngineClient(address)
    set_faults(address, **{fault: True})
    assert isinstance(await client.fetch_listing(), Unavailable)
    assert isinstance(await client.send_order(make_order(), 200), OrderUnknown)


async def test_order_to_a_stopped_engine_is_not_sent(processes):
    process = processes.start('engine', 'standins.engine')
    process.wait_listening()
    process.kill()
    refused = await EngineClient(process.address).send_order(make_order())
    assert refused.kind is OrderRefusal.NOT_SENT
