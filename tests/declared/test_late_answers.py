"""The age of the configuration's confirmation while answers come late."""

import asyncio
import random

import pytest

from lagoonflow.declared import topic_follower
from lagoonflow.declared.overdue_read import OverdueRead
from lagoonflow.declared.records import RecordPage, StoreFailure
from lagoonflow.declared.topic_follower import TopicFollower
from lagoonflow.relay.admission import CONFIRMATION_MARGIN_MS
from lagoonflow.wiring.platform_topics import CONFIGURATION_WAIT_MS
from loopback.virtual_loop import run_virtually
from tests.support.positions import at

# Keys are refused once the confirmation is older than this, in ms.
WITHDRAWAL_MS = 5000
MAX_AGE_MS = WITHDRAWAL_MS - CONFIRMATION_MARGIN_MS
ROUND_TRIP_MS = 5
RUN_S = 300
LOST = 10**9
# An outage of the store as long as this refuses no request, in ms.
OUTAGE_MS = 3000


class LateStore:
    """Answers some reads late, but never two in a row.

    :ivar reads: number of reads that were begun.
    :ivar is_silent: it doesn't answer during an outage; else it refuses.
    :ivar early_ms: answers come so much before the end of their wait.
    """

    def __init__(self, loop, seed, late_ms, share, outage_ms=()):
        self.reads = 0
        self.early_ms = 0
        self.is_silent = True
        self._outage_ms = outage_ms
        self._loop = loop
        self._random = random.Random(seed)
        self._late_ms = late_ms
        self._share = share
        self._was_late = False

    async def newest(self, topic, max_late_ms):
        return RecordPage((), at(0))

    async def read(self, topic, position, wait_ms, options):
        self.reads += 1
        self._was_late = (
            not self._was_late and self._random.random() < self._share
        )
        begins_ms = self._loop.time_ms()
        delay_ms = wait_ms + ROUND_TRIP_MS - self.early_ms
        if self._was_late:
            delay_ms += self._late_ms
        timeout_ms = wait_ms + options.max_late_ms
        if any(
            begins_ms < end_ms and begins_ms + delay_ms > start_ms
            for start_ms, end_ms in self._outage_ms
        ):
            if not self.is_silent:
                await asyncio.sleep(ROUND_TRIP_MS / 1000)
                return StoreFailure('status 503')
            delay_ms = LOST
        await asyncio.sleep(min(delay_ms, timeout_ms) / 1000)
        if delay_ms > timeout_ms:
            return StoreFailure('no answer in time')
        return RecordPage((), position)


def play(monkeypatch, late_ms, share, seed, outage_ms=(), is_silent=True):
    """Return the greatest age of the confirmation and the reads a second."""

    async def follow(loop):
        monkeypatch.setattr(topic_follower, 'boottime_ms', loop.time_ms)
        store = LateStore(loop, seed, late_ms, share, outage_ms)
        store.is_silent = is_silent
        ages_ms = []
        confirmed_at_ms = 0

        def on_page(page, is_whole, current_at_ms):
            nonlocal confirmed_at_ms
            ages_ms.append(loop.time_ms() - confirmed_at_ms)
            confirmed_at_ms = max(confirmed_at_ms, current_at_ms)

        follower = TopicFollower(
            store,
            'configuration',
            CONFIGURATION_WAIT_MS,
            20,
            on_page,
            lambda failure: None,
            is_urgent=True,
        )
        task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(RUN_S)
        task.cancel()
        return max(ages_ms), store.reads / RUN_S

    return run_virtually(follow)


@pytest.mark.parametrize('late_ms', [500, 1000, 2000, LOST])
@pytest.mark.parametrize('seed', range(5))
def test_one_late_or_lost_answer_refuses_no_request(monkeypatch, seed, late_ms):
    max_age_ms, _ = play(monkeypatch, late_ms, 0.3, seed)
    assert max_age_ms < MAX_AGE_MS


@pytest.mark.parametrize('is_silent', [True, False])
@pytest.mark.parametrize('phase_ms', range(0, 2000, 200))
def test_an_outage_of_seconds_refuses_no_request(
    monkeypatch, phase_ms, is_silent
):
    outages = [
        (start_ms + phase_ms, start_ms + phase_ms + OUTAGE_MS)
        for start_ms in (20_000, 60_000)
    ]
    max_age_ms, _ = play(monkeypatch, 0, 0, 1, outages, is_silent)
    assert max_age_ms < MAX_AGE_MS


def test_an_answer_before_the_end_of_the_wait_proves_no_more_than_its_read():
    """Another record may have been appended right after it was sent."""

    async def read(loop):
        store = LateStore(loop, 1, 0, 0)
        early = OverdueRead(store, 'configuration', 300, loop.time_ms)
        store.early_ms = 100
        return await early.read(0, 1000)

    assert run_virtually(read).current_at_ms == 0


def test_answers_in_time_cost_no_more_reads(monkeypatch):
    _, reads_per_s = play(monkeypatch, 0, 0, 1)
    assert reads_per_s <= 1000 / CONFIGURATION_WAIT_MS + 0.01


def test_a_stall_of_the_reader_is_not_silence_of_the_store():
    async def read(loop):
        store = LateStore(loop, 1, 400, 1)
        stalled_ms = 0
        reader = OverdueRead(
            store,
            'configuration',
            300,
            lambda: loop.time_ms() + stalled_ms,
            lambda: stalled_ms,
        )
        reading = asyncio.ensure_future(reader.read(0, 1000))
        await asyncio.sleep(0.9)
        stalled_ms = 20_000
        return await reading

    assert run_virtually(read).is_usable
