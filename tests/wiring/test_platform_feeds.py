"""What the records of the metadata store change."""

import asyncio
import contextlib

import msgspec

from lagoonflow.declared.records import KeyedRecord, RecordPage
from lagoonflow.declared.topic_follower import TopicFollower
from lagoonflow.declared.view import DeclaredView
from lagoonflow.gossip.members import Members
from lagoonflow.platform.store import CONFIGURATION_KEY
from lagoonflow.wiring import platform_process
from lagoonflow.wiring.platform_feeds import (
    ConfigurationFeed,
    MemberRecord,
    MembersFeed,
)
from tests.support.positions import at

CONFIGURATION = b'{"version":3,"routes":[],"services":[],"limits":{}}'
RECORD = KeyedRecord(CONFIGURATION_KEY, CONFIGURATION)


def test_a_page_that_lacks_records_does_not_confirm_the_configuration():
    view = DeclaredView()
    feed = ConfigurationFeed(view, lambda: None)
    feed.on_page(RecordPage((RECORD,), at(3)), True, 1000)
    feed.on_page(RecordPage((), at(3), is_current=False), False, 2000)
    assert view.confirmed_at_ms == 1000
    feed.on_page(RecordPage((), at(3)), False, 3000)
    assert view.confirmed_at_ms == 3000


def test_a_configuration_is_applied_although_other_keys_can_not_be():
    """The next page would confirm the configuration before it."""

    def fail(*_):
        raise OverflowError

    view = DeclaredView()
    feed = ConfigurationFeed(view, lambda: None, fail)
    with contextlib.suppress(OverflowError):
        feed.on_page(RecordPage((RECORD,), at(3)), True, 1000)
    assert (view.version, view.confirmed_at_ms) == (3, 1000)


def test_a_registration_without_a_usable_address_is_ignored():
    members = Members('r1')
    feed = MembersFeed(members, 'router')
    addresses = {'r2': '127.0.0.1:99999', 'r3': 'a\0b:80', 'r4': '127.0.0.1:7'}
    records = tuple(
        KeyedRecord(name, msgspec.json.encode(MemberRecord('router', address)))
        for name, address in addresses.items()
    )
    feed.on_page(RecordPage(records, at(3)), True, 1000)
    assert [one.name for one in members.present(0)] == ['r4']


async def test_a_page_that_cannot_be_applied_does_not_end_the_reading():
    pages = []
    has_next = asyncio.Event()

    def on_page(page, _is_snapshot, _current_at_ms):
        pages.append(page)
        if len(pages) == 1:
            raise OverflowError
        has_next.set()

    class Store:
        async def newest(self, _topic, _max_late_ms):
            return RecordPage((RECORD,), at(1))

        async def read(self, _topic, position, _wait_ms, _options):
            await asyncio.sleep(0.01)
            return RecordPage((), position)

    follower = TopicFollower(Store(), 't', 10, 0, on_page, lambda _: None)
    reading = asyncio.create_task(follower.run())
    async with asyncio.timeout(2):
        await has_next.wait()
    reading.cancel()


async def test_a_failed_task_is_started_again(monkeypatch):
    monkeypatch.setattr(platform_process, 'RESTART_DELAY_MS', 1)
    starts = []

    async def run():
        starts.append(1)
        if len(starts) < 3:
            raise OverflowError

    async with asyncio.timeout(2):
        await platform_process.supervise(run)
    assert len(starts) == 3


async def test_a_task_whose_wait_was_cancelled_from_inside_is_started_again(
    monkeypatch,
):
    monkeypatch.setattr(platform_process, 'RESTART_DELAY_MS', 1)
    waits = []

    async def run():
        waits.append(asyncio.get_running_loop().create_future())
        await waits[-1]

    task = platform_process.supervise(run)
    async with asyncio.timeout(2):
        while len(waits) < 3:
            await asyncio.sleep(0)
            for wait in waits:
                wait.cancel()
        task.cancel()
        await asyncio.wait([task])
    assert task.cancelled()
