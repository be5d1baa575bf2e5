"""Routers of a zone read the metadata store for each other, in virtual time."""

import asyncio

import pytest

from lagoonflow.declared.overdue_read import TimedAnswer, read_timed
from lagoonflow.declared.records import KeyedRecord, RecordPage, StoreFailure
from lagoonflow.declared.shared_reads import (
    AllRecords,
    Readers,
    ReadHistory,
    SharedReads,
    SharingLimits,
)
from loopback.virtual_loop import run_virtually
from tests.support.positions import at

WAIT_MS = 1200
MAX_AGE_MS = 1700
RUN_MS = 20_000
NAMES = tuple(f'r{number}' for number in range(7))


class Store:
    """A topic; each read waits for the first record."""

    def __init__(self, loop):
        self.reads = 0
        self.records = []
        self.is_down_for = frozenset()
        self._loop = loop

    async def read(self, topic, position, wait_ms, options):
        self.reads += 1
        for _ in range(wait_ms // 5):
            if len(self.records) > position.offset:
                break
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.004)
        records = tuple(self.records[position.offset :])
        return RecordPage(records, at(len(self.records)))


class Zone:
    """Routers that ask each other without a network.

    :ivar silent: routers that answer nobody, such as frozen ones.
    :ivar seen: records and newest proof of each router.
    """

    def __init__(self, loop, names=NAMES):
        self.loop = loop
        self.store = Store(loop)
        self.silent = set()
        self.cut_off = set()
        self.delay_ms = 1
        self.seen = {name: ([], [0.0]) for name in names}
        self._histories = {name: ReadHistory(AllRecords()) for name in names}
        self._names = names

    async def follow(self, name):
        reads = SharedReads(
            'topic',
            Readers('topic', name),
            self._histories[name],
            SharingLimits(MAX_AGE_MS, 250),
            self._ask,
            lambda: [one for one in self._names if one != name],
            self.loop.time_ms,
        )

        async def read_store(position, wait_ms):
            if name in self.cut_off:
                await asyncio.sleep(10**6)
            return await read_timed(
                self.store, 'topic', position, wait_ms, self.loop.time_ms
            )

        position = at(0)
        records, proofs = self.seen[name]
        while True:
            timed = await reads.read(position, WAIT_MS, read_store)
            position = timed.answer.next_position
            records.extend(timed.answer.records)
            proofs.append(max(proofs[-1], timed.current_at_ms))

    async def _ask(self, router, topic, position):
        if router in self.silent:
            await asyncio.sleep(0.3)
            return None
        await asyncio.sleep(self.delay_ms / 1000)
        page = self._histories[router].after(position, self.loop.time_ms())
        await asyncio.sleep(self.delay_ms / 1000)
        return page


def play(script, names=NAMES):
    async def main(loop):
        zone = Zone(loop, names)
        tasks = [asyncio.create_task(zone.follow(name)) for name in names]
        await script(zone)
        for task in tasks:
            task.cancel()
        return zone

    return run_virtually(main)


def reader_of(names=NAMES):
    picked = {Readers('topic', name).pick(names, 0) for name in names}
    return (picked - {None}).pop()


def oldest_proof_ms(zone, without=()):
    return max(
        zone.loop.time_ms() - proofs[-1]
        for name, (_, proofs) in zone.seen.items()
        if name not in without
    )


async def _write_and_check(zone):
    for number in range(10):
        await asyncio.sleep(2)
        zone.store.records.append(KeyedRecord(f'k{number}', b'v'))
        await asyncio.sleep(0.6)
        for records, _ in zone.seen.values():
            assert len(records) == number + 1
        assert oldest_proof_ms(zone) < WAIT_MS + MAX_AGE_MS


def test_one_router_reads_for_the_zone_and_all_learn_in_time():
    """Guards against records that followers miss or learn late."""
    zone = play(_write_and_check)
    alone = play(_write_and_check, NAMES[:1])
    assert zone.store.reads <= 1.5 * alone.store.reads


def test_two_routers_read_each_for_itself():
    zone = play(_write_and_check, NAMES[:2])
    alone = play(_write_and_check, NAMES[:1])
    assert zone.store.reads >= 1.9 * alone.store.reads


@pytest.mark.parametrize('is_cut_off', [True, False])
def test_a_lost_reader_is_replaced_before_a_proof_is_too_old(is_cut_off):
    """Guards against followers that wait for a reader without the store."""
    reader = reader_of()

    async def script(zone):
        await asyncio.sleep(3.1)
        zone.silent.update(() if is_cut_off else (reader,))
        zone.cut_off.add(reader)
        for _ in range(200):
            await asyncio.sleep(0.05)
            assert oldest_proof_ms(zone, {reader}) < 3300
        zone.store.records.append(KeyedRecord('k', b'v'))
        await asyncio.sleep(0.6)
        found = {name for name, seen in zone.seen.items() if seen[0]}
        assert found >= set(NAMES) - {reader}

    play(script)


def test_late_answers_prove_no_more_than_when_they_were_asked_for():
    """Guards against a proof that a late datagram makes look new."""

    async def script(zone):
        await asyncio.sleep(2)
        zone.delay_ms = 400
        for _ in range(40):
            zone.store.records.append(KeyedRecord('k', b'v'))
            written_at_ms = zone.loop.time_ms()
            await asyncio.sleep(0.13)
            for records, proofs in zone.seen.values():
                if len(records) < len(zone.store.records):
                    assert proofs[-1] <= written_at_ms

    play(script)


def test_a_router_that_lags_behind_reads_the_store():
    history = ReadHistory(AllRecords())
    record = KeyedRecord('k', b'v')
    for offset in range(100):
        page = RecordPage((record,), at(offset + 1))
        history.note(at(offset), TimedAnswer(page, offset))
    assert not history.after(at(0), 100).is_whole
    assert history.after(at(90), 100).records == (record,)
    large = RecordPage((KeyedRecord('l', b'v' * 20_000),), at(101))
    history.note(at(100), TimedAnswer(large, 100))
    assert not history.after(at(100), 100).is_whole
    history.note(at(101), TimedAnswer(StoreFailure('down'), 101))
    assert history.after(at(101), 102).age_ms == 2
