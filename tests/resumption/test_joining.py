"""What a router that starts learns of the streams that have begun."""

import asyncio

import pytest

from lagoonflow.resumption.joining import (
    MAX_PROBED,
    Joining,
    Neighbour,
    StreamsPage,
)
from lagoonflow.resumption.messages import StreamOrigin
from lagoonflow.resumption.origins import StreamOrigins, size_bytes
from loopback.virtual_loop import run_virtually

PAGE_BYTES = 300
PAGE_MS = 20
SILENT_MS = 500


def origin(name, version='v1', expires_at_ms=60_000):
    return StreamOrigin(name, 'llm', version, expires_at_ms)


def table(*origins):
    origins_known = StreamOrigins()
    for one in origins:
        origins_known.learn(one, 0)
    return origins_known


class Routers:
    """Routers with their tables, which answer questions.

    :ivar silent: routers that answer nothing.
    :ivar pages: pages that were asked for: router, number, and their size.
    """

    def __init__(self, loop, tables, whole=()):
        self.silent = set()
        self.pages = []
        self.restarts_after = {}
        self._loop = loop
        self._tables = tables
        self._whole = whole
        self._starts = dict.fromkeys(tables, 1)

    def names(self):
        return list(self._tables)

    async def probe(self, name):
        if not await self._is_answered(name):
            return None
        return Neighbour(
            name,
            self._starts[name],
            name in self._whole,
            len(self._tables[name]),
            is_near=True,
        )

    async def page(self, name, after):
        if not await self._is_answered(name):
            return None
        page = self._tables[name].page_after(
            after, PAGE_BYTES, self._loop.time_ms()
        )
        self.pages.append((name, after, sum(map(size_bytes, page.origins))))
        if len(self.pages) == self.restarts_after.get(name):
            self._starts[name] += 1
        return StreamsPage(
            self._starts[name], page.origins, page.next_number, page.is_last
        )

    async def _is_answered(self, name):
        is_silent = name in self.silent
        await asyncio.sleep((SILENT_MS if is_silent else PAGE_MS) / 1000)
        return not is_silent


def join(tables, whole=(), prepare=None):
    """Return what a router learns, the routers, and when it was done."""

    async def run(loop):
        routers = Routers(loop, tables, whole)
        if prepare is not None:
            prepare(routers)
        known = StreamOrigins()
        known_at_ms = []
        joining = Joining(
            known,
            routers,
            loop.time_ms,
            lambda: known_at_ms.append(loop.time_ms()),
        )
        assert not known.is_known
        have_all_answered = await joining.join()
        assert known.is_known
        return known, routers, joining, known_at_ms, have_all_answered

    return run_virtually(run)


def found(known, *names):
    return [known.find(name, 0) is not None for name in names]


def test_streams_from_before_the_start_are_learnt_from_a_neighbour():
    known, _, joining, _, _ = join({'r2': table(origin('a'))}, whole={'r2'})
    assert known.find('a', 0) == origin('a')
    assert joining.is_whole


def test_a_long_table_arrives_whole_in_pages_that_fit():
    names = [f'stream-{number:04d}' for number in range(1000)]
    long = table(*map(origin, names))
    known, routers, _, _, _ = join({'r2': long}, whole={'r2'})
    assert all(found(known, *names))
    assert max(size for _, _, size in routers.pages) <= PAGE_BYTES


def test_one_neighbour_that_knows_all_is_enough():
    tables = {f'r{number}': table(origin('a')) for number in range(20)}
    _, routers, _, _, _ = join(tables, whole=set(tables))
    assert len(routers.pages) == 1


def test_the_neighbour_that_knows_all_is_asked_first():
    tables = {
        'r2': table(origin('a'), origin('b')),
        'r3': table(origin('a'), origin('b'), origin('c')),
    }
    known, routers, _, _, _ = join(tables, whole={'r3'})
    assert {name for name, _, _ in routers.pages} == {'r3'}
    assert all(found(known, 'a', 'b', 'c'))


def test_streams_are_gathered_from_routers_of_which_none_knows_all():
    tables = {'r2': table(origin('a')), 'r3': table(origin('b'))}
    known, _, joining, _, _ = join(tables)
    assert all(found(known, 'a', 'b'))
    assert not joining.is_whole


def test_a_silent_neighbour_does_not_hold_up_what_the_others_know():
    tables = {f'r{number}': table(origin('a')) for number in range(MAX_PROBED)}
    known, _, _, (known_at_ms,), have_all_answered = join(
        tables,
        whole={'r5'},
        prepare=lambda routers: routers.silent.update(set(tables) - {'r5'}),
    )
    assert found(known, 'a') == [True]
    assert known_at_ms <= SILENT_MS + 2 * PAGE_MS
    assert not have_all_answered


def test_a_router_alone_knows_all_there_is_at_once():
    _, _, _, known_at_ms, have_all_answered = join({})
    assert known_at_ms == [0]
    assert have_all_answered


def test_nothing_is_concluded_from_the_table_of_a_router_that_started_again():
    """Its numbers begin anew, so the rest of the table would be skipped."""
    names = [f'stream-{number:04d}' for number in range(100)]

    def restart(routers):
        routers.restarts_after['r2'] = 2

    tables = {
        'r2': table(*map(origin, names)),
        'r3': table(*map(origin, names)),
    }
    known, _, joining, _, _ = join(tables, {'r2', 'r3'}, restart)
    assert joining.is_whole
    assert all(found(known, *names))


@pytest.mark.parametrize('next_number', [-1, 0, 1])
def test_pages_that_do_not_go_on_end(next_number):
    class Odd(Routers):
        async def page(self, name, after):
            await asyncio.sleep(0.001)
            return StreamsPage(1, (origin('a'),), next_number, is_last=False)

    async def run(loop):
        known = StreamOrigins()
        odd = Odd(loop, {'r2': table()}, {'r2'})
        joining = Joining(known, odd, loop.time_ms, list)
        await joining.join()
        return known.is_known, joining.is_whole

    assert run_virtually(run) == (True, False)
