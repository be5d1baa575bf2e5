"""Following a topic through outages and compaction."""

import asyncio
import contextlib

from lagoonflow.declared.records import (
    HistoryExpired,
    KeyedRecord,
    RecordPage,
    StoreFailure,
)
from lagoonflow.declared.topic_follower import TopicFollower


class ScriptedStore:
    """Answers reads from a script, then waits for ever."""

    def __init__(self, *answers) -> None:
        self.asked: list[tuple] = []
        self._answers = list(answers)

    async def newest(self, topic):
        return await self._next('newest')

    async def read(self, topic, offset, wait_ms):
        return await self._next('read', offset, wait_ms)

    async def _next(self, *call):
        self.asked.append(call)
        if not self._answers:
            await asyncio.Event().wait()
        return self._answers.pop(0)


def page(offset, *keys):
    records = tuple(KeyedRecord(key, b'x') for key in keys)
    return RecordPage(records, offset)


async def follow(*answers, for_s=0.6):
    store = ScriptedStore(*answers)
    pages, failures = [], []
    follower = TopicFollower(
        store,
        'topic',
        900,
        10,
        lambda got, is_whole, _at: pages.append((got, is_whole)),
        failures.append,
    )
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(follower.run(), for_s)
    return store.asked, pages, failures


async def test_reads_the_newest_and_goes_on_from_there():
    asked, pages, _ = await follow(page(7, 'a'), page(8, 'b'))
    assert asked[:3] == [('newest',), ('read', 7, 900), ('read', 8, 900)]
    assert [is_whole for _, is_whole in pages] == [True, False]


async def test_lost_history_is_read_anew():
    asked, pages, _ = await follow(page(7), HistoryExpired(), page(20, 'a'))
    assert asked[:3] == [('newest',), ('read', 7, 900), ('newest',)]
    assert pages[-1][1]


async def test_a_failed_read_is_repeated_without_waiting_for_records():
    asked, _, failures = await follow(page(7), StoreFailure('down'), page(7))
    assert asked[2] == ('read', 7, 0)
    assert asked[3] == ('read', 7, 900)
    assert len(failures) == 1


async def test_records_are_not_gathered_for_long_after_a_start():
    """Servers that started together were seen a second late."""
    store = ScriptedStore(page(7, 'a'), page(8, 'b'), page(9, 'c'))
    pages = []
    follower = TopicFollower(
        store,
        'topic',
        900,
        5000,
        lambda got, _is_whole, _at: pages.append(got),
        lambda _failure: None,
    )
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(follower.run(), 1)
    assert len(pages) == 3
