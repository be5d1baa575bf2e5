"""What routers spend of the time until a leaving server must get no requests.

From the store's acknowledgement on: the pause of the reader, a read that is
lost, its repetition, and, where routers read for each other, the question.
"""

import asyncio
import itertools
import random

import pytest

from lagoonflow.backends.store_outages import SEND_MARGIN_MS
from lagoonflow.declared import topic_follower
from lagoonflow.declared.records import (
    DEFAULT_OPTIONS,
    KeyedRecord,
    RecordPage,
    StoreFailure,
)
from lagoonflow.declared.shared_reads import (
    AllRecords,
    Readers,
    ReadHistory,
    SharedReads,
    SharingLimits,
)
from lagoonflow.declared.topic_follower import TopicFollower
from lagoonflow.wiring.platform_shared_reads import (
    ANSWER_TIMEOUT_MS,
    POLL_INTERVAL_MS,
)
from lagoonflow.wiring.platform_topics import (
    MIN_SHARED_GATHER_MS,
    PROOF_MARGIN_MS,
    SERVERS_WAIT_MS,
    gather_time_ms,
)
from loopback.virtual_loop import run_virtually
from tests.support.positions import at

GONE = KeyedRecord('gone', None)
SETTLED_MS = 6000
# Times of the removal within a period of the readers, and of the lost read.
PHASES_MS = range(0, 1400, 233)
LOST_BEFORE_MS = (1500, 1100, 700, 300, 0)


class Store:
    """A topic with heartbeats, of which one read gets no answer.

    :param lost: router whose first read from a time on is lost, and that time.
    """

    def __init__(self, loop, lost):
        self.records = []
        self._loop = loop
        self._lost = lost

    def reader(self, name):
        return _Reader(self, name)

    async def read(self, name, position, wait_ms, options):
        begun_ms = self._loop.time_ms()
        if self._lost is not None and self._is_lost(name, begun_ms):
            self._lost = None
            await asyncio.sleep((wait_ms + options.max_late_ms) / 1000)
            return StoreFailure('no answer')
        for _ in range(wait_ms // 5):
            if len(self.records) > position.offset:
                break
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.004)
        records = tuple(self.records[position.offset :])
        return RecordPage(records, at(len(self.records)))

    def _is_lost(self, name, begun_ms):
        return name == self._lost[0] and begun_ms >= self._lost[1]


class _Reader:
    def __init__(self, store, name):
        self._store = store
        self._name = name

    async def newest(self, topic, max_late_ms):
        await asyncio.sleep(0.004)
        return RecordPage((), at(len(self._store.records)))

    async def read(self, topic, position, wait_ms, options=DEFAULT_OPTIONS):
        return await self._store.read(self._name, position, wait_ms, options)


class Zone:
    """Routers of one availability zone, which read the list of servers."""

    def __init__(self, loop, names, drain_ms, lost, slow_ask):
        self.store = Store(loop, lost)
        self.noticed_at_ms = {}
        self._loop = loop
        self._names = names
        self._drain_ms = drain_ms
        self._slow_ask = slow_ask
        self._histories = {name: ReadHistory(AllRecords()) for name in names}

    def follow(self, name):
        gather_ms = gather_time_ms(self._drain_ms)
        shared = None
        if gather_ms >= MIN_SHARED_GATHER_MS:
            shared = SharedReads(
                't',
                Readers('t', name),
                self._histories[name],
                SharingLimits(
                    SERVERS_WAIT_MS + gather_ms + PROOF_MARGIN_MS,
                    POLL_INTERVAL_MS,
                ),
                self._ask,
                lambda: [one for one in self._names if one != name],
                self._loop.time_ms,
            )

        def note(page, _is_whole, _current_at_ms):
            if GONE in page.records:
                self.noticed_at_ms.setdefault(name, self._loop.time_ms())

        return TopicFollower(
            self.store.reader(name),
            't',
            SERVERS_WAIT_MS,
            gather_ms,
            note,
            lambda failure: None,
            shared_reads=shared,
        )

    async def beat(self):
        for number in itertools.count():
            self.store.records.append(KeyedRecord(f'{number % 20}', b'x'))
            await asyncio.sleep(0.06)

    async def _ask(self, router, topic, position):
        # One datagram is lost, so that it is sent once more.
        await asyncio.sleep((ANSWER_TIMEOUT_MS if self._slow_ask else 1) / 1000)
        return self._histories[router].after(position, self._loop.time_ms())


def notice(monkeypatch, drain_ms, routers, phase_ms, lost_before_ms, slow_ask):
    """Return after how long each router has noticed a removal, in ms."""
    names = [f'r{number}' for number in range(routers)]
    readers = {
        Readers('t', name).pick([one for one in names if one != name], 0)
        for name in names
    }
    reader = next(iter(readers - {None}), names[0])
    removed_at_ms = SETTLED_MS + phase_ms
    lost = None
    if lost_before_ms is not None:
        lost = (reader, removed_at_ms - lost_before_ms)

    async def run(loop):
        monkeypatch.setattr(topic_follower, 'boottime_ms', loop.time_ms)
        random.seed(phase_ms)
        zone = Zone(loop, names, drain_ms, lost, slow_ask)
        coroutines = [zone.follow(name).run() for name in names]
        tasks = [
            asyncio.ensure_future(one) for one in (*coroutines, zone.beat())
        ]
        await asyncio.sleep(removed_at_ms / 1000)
        zone.store.records.append(GONE)
        await asyncio.sleep(1.2 * drain_ms / 1000)
        for task in tasks:
            task.cancel()
        return [
            zone.noticed_at_ms.get(name, float('inf')) - removed_at_ms
            for name in names
        ]

    return run_virtually(run)


@pytest.mark.parametrize('routers', [2, 5])
@pytest.mark.parametrize('drain_ms', [2000, 3000, 10_000])
def test_every_router_notices_a_removal_in_time_for_its_last_sends(
    monkeypatch, drain_ms, routers
):
    limit_ms = drain_ms - SEND_MARGIN_MS
    for phase_ms in PHASES_MS:
        for lost_before_ms in (None, *LOST_BEFORE_MS):
            for slow_ask in (False, True):
                noticed_ms = notice(
                    monkeypatch,
                    drain_ms,
                    routers,
                    phase_ms,
                    lost_before_ms,
                    slow_ask,
                )
                assert max(noticed_ms) <= limit_ms
