"""Registrations of processes that have gone are removed from the store."""

import asyncio
import types

import msgspec

from lagoonflow.clock import boottime_ms
from lagoonflow.declared.records import KeyedRecord, RecordPage, StoreFailure
from lagoonflow.gossip.members import (
    RECLAIM_MS,
    SILENCE_TIMEOUT_MS,
    Members,
)
from lagoonflow.gossip.removals import TURN_MS
from lagoonflow.platform.store import MEMBERS_TOPIC
from lagoonflow.wiring import platform_members, platform_process
from lagoonflow.wiring.platform_feeds import MemberRecord, MembersFeed
from lagoonflow.wiring.platform_members import (
    AGENT_SILENCE_MS,
    RegistrationRemover,
)
from loopback.virtual_loop import run_virtually
from tests.support.positions import at

SETTINGS = types.SimpleNamespace(
    node='r1', ip_address='127.0.0.1', peer_port=7, zone=''
)


class MemoryStore:
    """Keeps the newest record of each key, as the metadata store does."""

    def __init__(self):
        self.newest = {}
        self.appends = 0
        self.is_down = False

    async def append(self, topic, key, value):
        assert topic == MEMBERS_TOPIC
        if self.is_down:
            return StoreFailure('down')
        self.appends += 1
        self.newest.pop(key, None)
        if value:
            self.newest[key] = value
        return at(self.appends - 1)


class SilentStore:
    """Never answers."""

    async def append(self, *_):
        await asyncio.sleep(3600)


def registration(name, address='127.0.0.1:7', role='router'):
    value = msgspec.json.encode(MemberRecord(role, address))
    return KeyedRecord(name, value)


def make_feed(*names):
    feed = MembersFeed(Members('r1'), 'router')
    records = tuple(registration(name) for name in names)
    feed.on_page(RecordPage(records, at(len(names))), True, at(0))
    return feed


def names_later(feed):
    later_ms = boottime_ms() + 2 * RECLAIM_MS
    return [one.name for one in feed._members.present(later_ms)]  # noqa: SLF001


def test_a_removal_takes_a_router_out_of_the_members():
    feed = make_feed('r2', 'r3')
    feed.on_page(RecordPage((KeyedRecord('r2', None),), at(3)), False, 0)
    assert names_later(feed) == ['r3']
    assert not feed.own_removed.is_set()


def test_a_whole_read_takes_out_routers_that_it_lacks():
    feed = make_feed('r1', 'r2', 'r3')
    records = (registration('r1'), registration('r3'))
    feed.on_page(RecordPage(records, at(9)), True, 0)
    assert names_later(feed) == ['r3']
    assert not feed.own_removed.is_set()


def test_a_running_router_learns_that_its_registration_was_removed():
    feed = make_feed('r1', 'r2')
    own = (KeyedRecord('r1', None), registration('r1'))
    feed.on_page(RecordPage(own, at(4)), False, 0)
    assert not feed.own_removed.is_set()
    feed.on_page(RecordPage(own[:1], at(5)), False, 0)
    assert feed.own_removed.is_set()


def test_a_running_router_learns_that_a_whole_read_lacks_it():
    feed = make_feed('r2')
    assert not feed.own_removed.is_set()
    feed.on_page(RecordPage((registration('r2'),), at(9)), True, 0)
    assert feed.own_removed.is_set()


async def test_a_thousand_routers_that_stop_leave_no_registrations():
    store = MemoryStore()
    for number in range(1000):
        node = types.SimpleNamespace(**{**vars(SETTINGS), 'node': f'r{number}'})
        await platform_process.register(store, node, 'router')
        await platform_process.remove_own_registration(store, node)
    assert (store.newest, store.appends) == ({}, 2000)


async def test_a_process_that_starts_again_after_its_removal_is_registered():
    store = MemoryStore()
    first = await platform_process.register(store, SETTINGS, 'agent')
    await platform_process.remove_own_registration(store, SETTINGS)
    second = await platform_process.register(store, SETTINGS, 'agent')
    assert list(store.newest) == ['r1']
    assert second.rank > first.rank


async def test_a_store_that_does_not_answer_hardly_delays_a_stop(monkeypatch):
    monkeypatch.setattr(platform_process, 'REMOVAL_LIMIT_MS', 20)
    async with asyncio.timeout(2):
        await platform_process.remove_own_registration(SilentStore(), SETTINGS)


class Survivor:
    """A router with its view of two others, of which r9 is gone."""

    def __init__(self, name, store, now_ms):
        self.members = Members(name, withdrawal_ms=5000)
        self.agents = Members(name)
        self.feed = MembersFeed(self.members, 'router', {'agent': self.agents})
        records = tuple(registration(one) for one in ('r1', 'r2', 'r9'))
        self.feed.on_page(RecordPage(records, at(3)), True, 0)
        self.other = 'r2' if name == 'r1' else 'r1'
        self.remover = RegistrationRemover(
            store, self.feed, self.members, self.agents
        )
        self.now_ms = now_ms

    async def run(self, duration_ms):
        for _ in range(int(duration_ms / 1000)):
            self.now_ms += 1000
            self.members.record_message(
                self.other, self.now_ms, is_leaving=False
            )
            await self.remover.remove_due(self.now_ms)


async def test_one_of_the_others_removes_a_killed_router():
    store = MemoryStore()
    for name in ('r1', 'r2', 'r9'):
        await store.append(MEMBERS_TOPIC, name, registration(name).value)
    now_ms = boottime_ms()
    survivors = [Survivor(name, store, now_ms) for name in ('r1', 'r2')]
    for survivor in survivors:
        await survivor.run(SILENCE_TIMEOUT_MS + TURN_MS - 1000)
    assert list(store.newest) == ['r1', 'r2']
    assert store.appends == 4


async def test_a_killed_router_is_removed_when_the_store_is_back():
    store = MemoryStore()
    await store.append(MEMBERS_TOPIC, 'r9', registration('r9').value)
    store.is_down = True
    survivor = Survivor('r1', store, boottime_ms())
    await survivor.run(4 * RECLAIM_MS)
    assert list(store.newest) == ['r9']
    store.is_down = False
    await survivor.run(2000)
    assert (store.newest, store.appends) == ({}, 2)


async def survive_agent(message_at_ms, duration_ms, *records):
    """Run a router that once hears the agent a1; return the store."""
    store = MemoryStore()
    a1 = registration('a1', role='agent')
    await store.append(MEMBERS_TOPIC, 'a1', a1.value)
    now_ms = boottime_ms()
    survivor = Survivor('r1', store, now_ms)
    survivor.feed.on_page(RecordPage((a1, *records), at(4)), False, 0)
    await survivor.run(message_at_ms)
    survivor.agents.record_message('a1', survivor.now_ms, is_leaving=False)
    await survivor.run(duration_ms)
    return store


async def test_the_registration_of_a_killed_agent_is_removed():
    store = await survive_agent(60_000, AGENT_SILENCE_MS + 2 * TURN_MS)
    assert 'a1' not in store.newest


async def test_the_registration_of_an_agent_that_runs_stays():
    store = await survive_agent(AGENT_SILENCE_MS - 2000, 60_000)
    assert 'a1' in store.newest


async def test_a_name_that_became_a_router_is_not_removed_as_an_agent():
    router = registration('a1', address='127.0.0.1:8')
    store = MemoryStore()
    survivor = Survivor('r1', store, boottime_ms())
    agent = registration('a1', role='agent')
    survivor.feed.on_page(RecordPage((agent, router), at(5)), False, 0)
    assert not survivor.agents.silences(boottime_ms())


async def test_a_removal_never_lowers_the_fencing_token_of_an_agent():
    store = MemoryStore()
    tokens = []
    for _ in range(5):
        registered = await platform_process.register(store, SETTINGS, 'agent')
        tokens.append(registered.rank)
        await platform_process.remove_registration(store, SETTINGS.node)
    assert tokens == sorted(set(tokens))


class SlowStore(MemoryStore):
    """Fails each call after some time.

    :ivar calls: number of calls.
    """

    calls = 0

    async def append(self, topic, key, value):
        self.calls += 1
        await asyncio.sleep(1.4)
        return await super().append(topic, key, value)


def test_an_outage_of_the_store_is_met_with_few_calls(monkeypatch):
    store = SlowStore()
    store.is_down = True
    start_ms = boottime_ms()
    survivor = Survivor('r1', store, start_ms)

    async def run(loop):
        monkeypatch.setattr(
            platform_members, 'boottime_ms', lambda: start_ms + loop.time_ms()
        )
        task = loop.create_task(survivor.remover.run())
        await asyncio.sleep(120)
        calls = store.calls
        store.is_down = False
        await asyncio.sleep(10)
        task.cancel()
        return calls

    # Both others are gone, so that nobody is heard.
    assert run_virtually(run) <= 25
    assert store.appends == 2
