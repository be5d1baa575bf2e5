"""Positions of a store that comes back from copies, in virtual time."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonflow.declared import topic_follower, view
from lagoonflow.declared.positions import MAX_ERA, EraTracker, Position
from lagoonflow.declared.records import (
    EraChanged,
    HistoryExpired,
    KeyedRecord,
    RecordPage,
    StoreFailure,
)
from lagoonflow.declared.topic_follower import TopicFollower
from lagoonflow.declared.view import DeclaredView
from lagoonflow.platform.store import CONFIGURATION_KEY
from lagoonflow.wiring.platform_feeds import ConfigurationFeed
from loopback.virtual_loop import run_virtually
from tests.support.positions import at

WAIT_MS = 1200
SETTLE_S = 8


def test_positions_of_two_eras_include_nothing_of_each_other():
    assert at(5, era=2).includes(at(3, era=2))
    assert not at(3, era=2).includes(at(5, era=2))
    assert not at(5, era=3).includes(at(3, era=2))
    assert not at(5, era=2).includes(at(3, era=3))


@pytest.mark.parametrize('era', [0, 1, 7, MAX_ERA - 1])
def test_a_later_era_ranks_above_every_offset_of_the_one_before(era):
    assert at(0, era=era + 1).rank > at(2**32 - 1, era=era).rank
    assert at(2**32 - 1, era=MAX_ERA).rank < 2**53


def test_a_late_answer_of_a_past_era_is_not_current():
    eras = EraTracker()
    assert eras.is_current(1, eras.begin_request())
    begun = eras.begin_request()
    assert eras.is_current(2, eras.begin_request())
    assert not eras.is_current(1, begun)
    assert eras.is_current(2, begun)


def test_an_era_that_was_stated_wrong_once_does_not_end_all_reads():
    eras = EraTracker()
    eras.is_current(1, eras.begin_request())
    eras.is_current(900, eras.begin_request())
    assert eras.is_current(1, eras.begin_request())
    assert eras.is_current(2, eras.begin_request())


class RestorableStore:
    """One topic, whose answers may be late and which may lose records.

    :ivar acknowledged: versions with the times at which they were written.
    """

    def __init__(self, loop, latency_ms):
        self.era = 1
        self.records = []
        self.latency_ms = latency_ms
        self.acknowledged = []
        self._loop = loop
        self._eras = EraTracker()

    def append(self, version):
        self.records.append(version)
        self.acknowledged.append((self._loop.time_ms(), version))

    def restore(self, lost, again):
        """Lose the last records, and write the newest ones again."""
        self.era += 1
        written = list(self.records)
        del self.records[max(len(written) - lost, 0) :]
        kept_ms = self._loop.time_ms()
        self.acknowledged = [
            (at_ms, version)
            for at_ms, version in self.acknowledged
            if version in self.records
        ]
        for version in written[max(len(written) - again, 0) :]:
            self.records.append(version)
            self.acknowledged.append((kept_ms, version))

    async def newest(self, topic, max_late_ms):
        begun = self._eras.begin_request()
        era, end = self.era, len(self.records)
        records = tuple(map(record, self.records[-1:]))
        await self._answer_late()
        if not self._eras.is_current(era, begun):
            return StoreFailure('an answer of a past era')
        return RecordPage(records, Position(era, end))

    async def read(self, topic, position, wait_ms, options):
        begun = self._eras.begin_request()
        for _ in range(wait_ms // 5):
            if Position(self.era, len(self.records)) != position:
                break
            await asyncio.sleep(0.005)
        era, records = self.era, list(self.records)
        await self._answer_late()
        if not self._eras.is_current(era, begun):
            return StoreFailure('an answer of a past era')
        if era != position.era:
            return EraChanged()
        if position.offset > len(records):
            return HistoryExpired()
        changed = tuple(map(record, records[position.offset :]))
        return RecordPage(changed, position.at(len(records)))

    async def _answer_late(self):
        await asyncio.sleep(next(self.latency_ms) / 1000)


def record(version):
    text = b'{"version":%d,"routes":[],"services":[],"limits":{}}' % version
    return KeyedRecord(CONFIGURATION_KEY, text)


STEPS = st.one_of(
    st.just(('write',)),
    st.tuples(st.just('restore'), st.integers(0, 4), st.integers(0, 4)),
    st.tuples(st.just('pause'), st.integers(1, 2500)),
)


def check_proof(store, declared):
    """Nothing newer was in the store at the time of the proof."""
    for at_ms, version in store.acknowledged:
        if at_ms <= declared.confirmed_at_ms:
            assert version <= declared.version


def play(monkeypatch, steps, latencies_ms):
    async def follow(loop):
        monkeypatch.setattr(topic_follower, 'boottime_ms', loop.time_ms)
        monkeypatch.setattr(view, 'boottime_ms', loop.time_ms)
        index = iter(range(10**9))
        latency_ms = (
            latencies_ms[number % len(latencies_ms)] for number in index
        )
        store = RestorableStore(loop, latency_ms)
        store.append(1)
        declared = DeclaredView()
        feed = ConfigurationFeed(declared, lambda: None)
        follower = TopicFollower(
            store, 't', WAIT_MS, 20, feed.on_page, feed.on_failure
        )
        task = asyncio.ensure_future(follower.run())
        version = 1
        for step in steps:
            match step:
                case ('write',):
                    version += 1
                    store.append(version)
                case ('restore', lost, again):
                    store.restore(lost, again)
                case ('pause', pause_ms):
                    await asyncio.sleep(pause_ms / 1000)
            check_proof(store, declared)
        await asyncio.sleep(SETTLE_S)
        check_proof(store, declared)
        assert not task.done()
        task.cancel()
        is_there = store.records and store.records[-1] >= declared.version
        if is_there:
            assert declared.version == store.records[-1]
            assert loop.time_ms() - declared.confirmed_at_ms < 2 * WAIT_MS
        else:
            assert loop.time_ms() - declared.confirmed_at_ms > SETTLE_S * 900

    run_virtually(follow)


@given(
    steps=st.lists(STEPS, max_size=12),
    latencies_ms=st.lists(st.integers(1, 600), min_size=1, max_size=5),
)
@settings(deadline=None, max_examples=60, derandomize=True)
def test_a_version_is_known_and_proven_over_all_eras(steps, latencies_ms):
    with pytest.MonkeyPatch.context() as monkeypatch:
        play(monkeypatch, steps, latencies_ms)


@pytest.mark.parametrize('again', [1, 2, 3])
@pytest.mark.parametrize('pause_ms', [1, 30, 600, 1300])
def test_lost_records_are_read_however_many_are_written_again(
    monkeypatch, again, pause_ms
):
    steps = [('pause', 2000), ('write',), ('write',), ('pause', 2000)]
    steps += [('pause', pause_ms), ('restore', 2, again), ('write',)]
    play(monkeypatch, steps, [4])
