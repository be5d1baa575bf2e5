"""Large configurations arrive over thin links and from slow stores."""

import asyncio
import contextlib
import time

import pytest

from tests.wiring.thin_link import (
    PAUSE_BYTES,
    Reader,
    ThinLinkStore,
    configuration,
    mbit,
)

FAST_LINK = mbit(1000)
# Longest time to notice that an answer was lost, and to read again, in s.
REPETITION_S = 0.8
# Keys are refused once the confirmation is older than this, in ms.
MAX_PROOF_AGE_MS = 4500


def allowed_s(size_bytes, bytes_per_s):
    """Return twice the time that the link alone needs, and a margin."""
    return 2 * size_bytes / bytes_per_s + 0.4


@contextlib.asynccontextmanager
async def reading(store):
    """Read a first, small configuration; then wait for the next poll."""
    store.write(configuration(1, 5))
    reader = Reader(store.address)
    try:
        assert await reader.wait_for(1, 3)
        store.polled.clear()
        await store.polled.wait()
        yield reader
    finally:
        await reader.stop()


async def in_force_after_s(store, reader, version, raw, allowed):
    """Write a configuration; return the time until it is in force."""
    store.write(raw)
    written_at_s = time.monotonic()
    assert await reader.wait_for(version, allowed), (
        f'version {version} not in force after {allowed:.2f} s; '
        f'{store.sent_bytes} bytes sent, {store.reads} reads'
    )
    return reader.in_force_at_s[version] - written_at_s


@pytest.mark.parametrize('written_into_poll_s', [0.3, 0.9, 1.15])
@pytest.mark.parametrize(
    ('route_count', 'rate'),
    [(1440, mbit(5)), (2840, mbit(10)), (5000, mbit(20))],
)
async def test_large_configurations_over_a_thin_link_are_in_force_in_time(
    route_count, rate, written_into_poll_s
):
    async with ThinLinkStore(rate) as store, reading(store) as reader:
        await asyncio.sleep(written_into_poll_s)
        sent_before = store.sent_bytes
        first = configuration(2, route_count)
        second = configuration(3, route_count)
        allowed = allowed_s(len(first), rate)
        took_s = await in_force_after_s(store, reader, 2, first, allowed)
        await asyncio.sleep(max(2 - took_s, 0))
        await in_force_after_s(store, reader, 3, second, allowed)
        sent = store.sent_bytes - sent_before
        assert sent <= 2 * (len(first) + len(second)) + 20_000
        assert reader.proof_age_ms < MAX_PROOF_AGE_MS


@pytest.mark.parametrize(
    ('route_count', 'rate'), [(2840, mbit(5)), (1440, mbit(2.5))]
)
async def test_a_router_that_starts_reads_a_large_configuration(
    route_count, rate
):
    raw = configuration(1, route_count)
    async with ThinLinkStore(rate) as store:
        store.write(raw)
        reader = Reader(store.address)
        assert await reader.wait_for(1, allowed_s(len(raw), rate))
        await reader.stop()
        assert store.sent_bytes <= 2 * len(raw) + 20_000


async def test_a_record_larger_than_a_read_arrives():
    async with ThinLinkStore(FAST_LINK) as store, reading(store) as reader:
        raw = configuration(2, 5000)
        sent_before = store.sent_bytes
        await in_force_after_s(store, reader, 2, raw, 1.5)
        assert store.sent_bytes - sent_before <= 2 * len(raw) + 20_000


@pytest.mark.parametrize('answers_stop_half_way', [False, True])
async def test_one_lost_answer_delays_a_large_configuration_little(
    answers_stop_half_way,
):
    rate = mbit(10)
    async with ThinLinkStore(rate) as store, reading(store) as reader:
        await asyncio.sleep(0.6)
        if answers_stop_half_way:
            store.stalls = 1
        else:
            store.lost_answers = 1
        raw = configuration(2, 2840)
        # Lost answers with records are noticed at the end of the wait.
        allowed = 1.2 - 0.6 + REPETITION_S + allowed_s(len(raw), rate)
        await in_force_after_s(store, reader, 2, raw, allowed)
        assert reader.proof_age_ms < MAX_PROOF_AGE_MS


async def test_a_transfer_with_pauses_is_not_begun_anew_at_each_pause():
    rate = mbit(10)
    async with ThinLinkStore(rate) as store, reading(store) as reader:
        store.pause_s = 0.45
        raw = configuration(2, 2840)
        sent_before = store.sent_bytes
        pauses_s = len(raw) / PAUSE_BYTES * store.pause_s
        allowed = pauses_s + allowed_s(len(raw), rate)
        await in_force_after_s(store, reader, 2, raw, allowed)
        assert store.sent_bytes - sent_before <= 2 * len(raw) + 20_000


async def test_versions_written_during_an_outage_are_not_all_transferred():
    rate = mbit(5)
    async with ThinLinkStore(rate) as store, reading(store) as reader:
        store.is_down = True
        store.break_connections()
        raw = [configuration(number, 1440) for number in range(2, 6)]
        for one in raw[:-1]:
            store.write(one)
        await asyncio.sleep(2.5)
        store.is_down = False
        sent_before = store.sent_bytes
        allowed = REPETITION_S + allowed_s(len(raw[-1]), rate)
        await in_force_after_s(store, reader, 5, raw[-1], allowed)
        assert store.sent_bytes - sent_before <= 2 * len(raw[-1]) + 60_000


@pytest.mark.parametrize('route_count', [5, 2840])
async def test_late_answers_are_taken_and_asked_for_few_times(route_count):
    async with ThinLinkStore(FAST_LINK) as store, reading(store) as reader:
        await asyncio.sleep(1)
        store.late_ms = 1300
        for version in (2, 3, 4):
            raw = configuration(version, route_count)
            reads = store.reads
            # A record may have to wait for an answer that is on its way.
            await in_force_after_s(store, reader, version, raw, 3.2)
            assert store.reads - reads <= 6
            await asyncio.sleep(0.9)


async def test_many_routers_read_a_large_configuration_at_once():
    rate = 20_000_000
    async with ThinLinkStore(rate, chunk_bytes=32_768) as store:
        store.write(configuration(1, 5))
        readers = [Reader(store.address, decodes=False) for _ in range(26)]
        for reader in readers:
            assert await reader.wait_for(1, 5)
        await asyncio.sleep(0.7)
        raw = configuration(2, 5000)
        sent_before = store.sent_bytes
        store.write(raw)
        needed_s = 26 * len(raw) / rate
        until_s = time.monotonic() + 2 * needed_s + 1
        for reader in readers:
            left_s = max(until_s - time.monotonic(), 0)
            assert await reader.wait_for(2, left_s)
        for reader in readers:
            await reader.stop()
        assert store.sent_bytes - sent_before <= 2 * 26 * len(raw)
