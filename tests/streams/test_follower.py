"""Followers and appenders on an in-memory log that simulates faults."""

import asyncio
import contextlib
import random

import pytest

from lagoonflow.clients.messages.log import Appended
from lagoonflow.results import Refusal, Result
from lagoonflow.streams.appender import StreamAppender
from lagoonflow.streams.envelope import Record
from lagoonflow.streams.follower import StreamFollower
from lagoonflow.streams.follower_logic import FollowerSettings
from lagoonflow.streams.messages import Stream, Versions
from tests.streams.list_fold import ListFold
from tests.streams.memory_log import MemoryLog, record_text

SETTINGS = FollowerSettings(
    wait_ms=200,
    skip_gap_after_ms=30,
    checkpoint_interval_ms=100_000,
    republish_within_ms=30,
)
WAIT_MS = 3_000


@contextlib.asynccontextmanager
async def running(*tasks):
    started = [asyncio.create_task(task.run()) for task in tasks]
    try:
        yield
    finally:
        for task in started:
            task.cancel()
        await asyncio.gather(*started, return_exceptions=True)


@pytest.fixture
def log():
    return MemoryLog()


def make_follower(log, **options):
    fold = ListFold()
    appender = StreamAppender(
        Stream.RELEASES, log, lambda: fold.next_offset, rng=random.Random(1)
    )
    follower = StreamFollower(
        fold,
        log,
        settings=SETTINGS,
        appender=appender,
        rng=random.Random(2),
        **options,
    )
    return follower, appender


async def test_a_record_is_appended_and_read_back(log):
    follower, appender = make_follower(log)
    async with running(follower, appender):
        outcome = await appender.append(Record('a', 'item', 'x'))
        assert outcome == Appended(0)
        assert await follower.wait_for(1, WAIT_MS)
    assert follower.fold.items == ['x']


async def test_concurrent_records_share_appends(log):
    _, appender = make_follower(log)
    async with running(appender):
        await asyncio.gather(
            *(
                appender.append(Record(str(number), 'item', 'x'))
                for number in range(50)
            )
        )
    assert len(log.records) == 50
    assert log.append_count <= 3


@pytest.mark.parametrize('fault', ['lose_answers', 'drop_appends', 'refusals'])
async def test_a_record_is_stored_once_despite_a_fault(log, fault):
    setattr(log, fault, 2)
    follower, appender = make_follower(log)
    async with running(follower, appender):
        outcome = await appender.append(Record('a', 'item', 'x'), WAIT_MS)
        assert outcome == Appended(0)
    assert len(log.records) == 1


async def test_an_outage_ends_in_a_refusal_that_says_not_run(log):
    log.is_down = True
    follower, appender = make_follower(log)
    async with running(follower, appender):
        outcome = await appender.append(Record('a', 'item', 'x'), 100)
        log.is_down = False
        await appender.append(Record('b', 'item', 'y'), WAIT_MS)
    assert isinstance(outcome, Refusal)
    assert outcome.code == Result.LOG_UNAVAILABLE
    assert outcome.not_run
    assert len(log.records) == 1


async def test_a_follower_continues_after_an_outage(log):
    follower, _ = make_follower(log)
    async with running(follower):
        log.put(record_text('a', 'one'))
        assert await follower.wait_for(1, WAIT_MS)
        log.is_down = True
        log.put(record_text('b', 'two'))
        await asyncio.sleep(0.3)
        assert not follower.is_log_available
        log.is_down = False
        assert await follower.wait_for(2, WAIT_MS)
    assert follower.fold.items == ['one', 'two']


async def test_missing_records_are_pulled_from_a_peer(log):
    peer, _ = make_follower(log)
    cut_off_log = MemoryLog()
    cut_off_log.is_down = True
    follower, _ = make_follower(cut_off_log)

    async def pull(request):
        return peer.serve_pull(request)

    for number in range(1200):
        log.put(record_text(str(number), str(number)))
    async with running(peer, follower):
        assert await peer.wait_for(1200, WAIT_MS)
        assert follower.pull_if_behind(Versions(releases=1200), pull)
        assert await follower.wait_for(1200, WAIT_MS)
        assert not follower.pull_if_behind(Versions(releases=1200), pull)
    assert follower.fold.checkpoint() == peer.fold.checkpoint()


async def test_live_processes_append_a_checkpoint_after_all_records_expired(
    log,
):
    follower, appender = make_follower(log)
    async with running(follower, appender):
        log.put(record_text('a', 'one'), record_text('b', 'two'))
        assert await follower.wait_for(2, WAIT_MS)
        log.is_down = True
        log.put(record_text('lost', 'nobody read this'))
        log.expire_to(log.head)
        await asyncio.sleep(0.1)
        log.is_down = False
        new_follower, _ = make_follower(log)
        async with running(new_follower):
            assert await new_follower.wait_for(3, WAIT_MS)
            log.put(record_text('c', 'three'))
            assert await new_follower.wait_for(log.head, WAIT_MS)
            assert await follower.wait_for(log.head, WAIT_MS)
    assert new_follower.fold.items == ['one', 'two', 'three']
    assert follower.fold.checkpoint() == new_follower.fold.checkpoint()


async def test_a_new_process_without_state_waits_for_a_checkpoint(log):
    log.put(record_text('a'), record_text('b'))
    log.expire_to(1)
    new_follower, appender = make_follower(log)
    async with running(new_follower, appender):
        assert not await new_follower.wait_until_current(300)
    assert new_follower.is_waiting_for_checkpoint
    assert new_follower.fold.items == []
    assert len(log.records) == 1


async def test_a_checkpoint_is_appended_in_time(log):
    fold = ListFold()
    appender = StreamAppender(Stream.RELEASES, log, lambda: fold.next_offset)
    settings = FollowerSettings(wait_ms=50, checkpoint_interval_ms=60)
    follower = StreamFollower(fold, log, settings=settings, appender=appender)
    async with running(follower, appender):
        log.put(record_text('a', 'one'))
        assert await follower.wait_for(3, WAIT_MS)
    assert '"checkpoint"' in log.records[1].value
    assert fold.wrong_checkpoint_count == 0
    assert fold.items == ['one']


async def test_a_fleet_without_any_state_starts_empty_after_a_wait(log):
    log.put(record_text('a'), record_text('b'))
    log.expire_to(2)
    settings = FollowerSettings(
        wait_ms=50,
        skip_gap_after_ms=10,
        start_empty_after_ms=50,
        republish_within_ms=20,
    )
    followers = []
    tasks = []
    for seed in range(3):
        fold = ListFold()
        appender = StreamAppender(
            Stream.RELEASES, log, lambda fold=fold: fold.next_offset
        )
        follower = StreamFollower(
            fold,
            log,
            settings=settings,
            appender=appender,
            rng=random.Random(seed),
        )
        followers.append(follower)
        tasks += [follower, appender]
    async with running(*tasks):
        for follower in followers:
            assert await follower.wait_for(3, WAIT_MS)
        log.put(record_text('c', 'three'))
        for follower in followers:
            assert await follower.wait_for(log.head, WAIT_MS)
    assert len({one.fold.checkpoint() for one in followers}) == 1
    assert followers[0].fold.items == ['three']


async def test_reads_request_fewer_records_when_answers_are_too_long(log):
    log.max_records = 3
    for number in range(40):
        log.put(record_text(str(number), str(number)))
    follower, _ = make_follower(log)
    async with running(follower):
        assert await follower.wait_for(40, 10_000)
    assert len(follower.fold.items) == 40
    assert min(log.limits) == 3
