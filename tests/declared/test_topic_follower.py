"""Tests reading a topic through outages and compaction."""

import asyncio
import contextlib

from lagoonflow.declared.records import (
    HistoryExpired,
    HistoryTooLong,
    KeyedRecord,
    RecordCut,
    RecordPage,
    StoreFailure,
)
from lagoonflow.declared.topic_follower import TopicFollower
from tests.support.positions import at


class ScriptedStore:
    """Returns the given answers in order, then blocks for ever."""

    def __init__(self, *answers) -> None:
        self.calls: list[tuple] = []
        self._answers = list(answers)

    async def newest(self, topic, max_late_ms):
        return await self._next('newest')

    async def read(self, topic, position, wait_ms, options):
        return await self._next('read', position.offset, wait_ms)

    async def _next(self, *call):
        self.calls.append(call)
        if not self._answers:
            await asyncio.Event().wait()
        return self._answers.pop(0)


def page(offset, *keys):
    records = tuple(KeyedRecord(key, b'x') for key in keys)
    return RecordPage(records, at(offset))


async def follow(*answers, for_s=0.6):
    store = ScriptedStore(*answers)
    pages, failures = [], []
    follower = TopicFollower(
        store,
        'topic',
        900,
        10,
        lambda read_page, is_whole, _at: pages.append((read_page, is_whole)),
        failures.append,
    )
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(follower.run(), for_s)
    return store.calls, pages, failures


async def test_reads_the_newest_records_then_the_changes():
    calls, pages, _ = await follow(page(7, 'a'), page(8, 'b'))
    assert calls[:3] == [('newest',), ('read', 7, 900), ('read', 8, 900)]
    assert [is_whole for _, is_whole in pages] == [True, False]


async def test_an_expired_history_is_read_from_the_newest_records():
    calls, pages, _ = await follow(page(7), HistoryExpired(), page(20, 'a'))
    assert calls[:3] == [('newest',), ('read', 7, 900), ('newest',)]
    assert pages[-1][1]


async def test_a_failed_read_is_retried_without_waiting_for_records():
    calls, _, failures = await follow(page(7), StoreFailure('down'), page(7))
    assert calls[2] == ('read', 7, 0)
    assert calls[3] == ('read', 7, 900)
    assert len(failures) == 1


async def test_the_pause_after_a_page_is_short_after_a_start():
    """Otherwise servers that start together are seen a second late."""
    store = ScriptedStore(page(7, 'a'), page(8, 'b'), page(9, 'c'))
    pages = []
    follower = TopicFollower(
        store,
        'topic',
        900,
        5000,
        lambda read_page, _is_whole, _at: pages.append(read_page),
        lambda _failure: None,
    )
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(follower.run(), 1)
    assert len(pages) == 3


async def test_a_topic_is_read_at_once_when_that_is_wanted():
    """A call waits for the proof that nothing has been written until now."""
    store = ScriptedStore(page(7, 'a'), page(8, 'b'), page(9))
    follower = TopicFollower(
        store, 'topic', 900, 5000, lambda *_: None, lambda _: None
    )
    reading = asyncio.create_task(follower.run())
    await asyncio.sleep(0.3)
    calls = len(store.calls)
    follower.read_wanted.set()
    await asyncio.sleep(0.05)
    assert store.calls[calls] == ('read', 8, 0)
    reading.cancel()


async def test_a_history_that_is_too_long_is_replaced_by_the_newest_records():
    calls, pages, failures = await follow(
        page(7), HistoryTooLong(), page(20, 'a'), page(20)
    )
    assert calls[:4] == [
        ('newest',),
        ('read', 7, 900),
        ('newest',),
        ('read', 20, 900),
    ]
    assert pages[1][1]
    assert not failures


async def test_a_history_is_read_after_all_if_the_newest_records_can_not_be():
    calls, pages, _ = await follow(
        page(7), HistoryTooLong(), StoreFailure('cut'), page(9, 'a'), page(9)
    )
    assert calls[3] == ('read', 7, 0)
    assert not pages[1][1]


async def test_a_record_that_was_cut_is_read_again_without_a_failure():
    calls, pages, failures = await follow(
        page(7), RecordCut(5000), page(8, 'a'), page(8)
    )
    assert calls[2][:2] == ('read', 7)
    assert len(pages) >= 2
    assert not failures
