"""Extents: which state prevails after records have expired."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonflow.clients.messages.log import Batch, Expired, Record
from lagoonflow.streams.extent import Extent, Gap
from lagoonflow.streams.messages import LogRecord
from lagoonflow.streams.stream_reader import StreamReader
from tests.streams.list_fold import ListFold
from tests.streams.memory_log import record_text


@pytest.mark.parametrize(
    ('more', 'less'),
    [
        (Extent(5), Extent(4)),
        (Extent(50, (Gap(5, 40),)), Extent(5)),
        (Extent(7), Extent(90, (Gap(5, 40),))),
        (Extent(45, (Gap(6, 40),)), Extent(90, (Gap(5, 40),))),
        (Extent(45, (Gap(5, 39),)), Extent(90, (Gap(5, 40),))),
        (
            Extent(90, (Gap(1, 2), Gap(60, 70))),
            Extent(95, (Gap(1, 2), Gap(50, 70))),
        ),
    ],
)
def test_the_extent_whose_first_missing_offset_is_higher_covers_more(
    more, less
):
    assert more.covers_more_than(less)
    assert not less.covers_more_than(more)


gaps = st.lists(st.integers(0, 60), max_size=6, unique=True).map(
    lambda cuts: tuple(
        Gap(first, end)
        for first, end in zip(*[iter(sorted(cuts))] * 2, strict=False)
    )
)
extents = st.builds(Extent, st.integers(61, 70), gaps)


@given(extents, extents, extents)
def test_the_order_is_total(one, other, third):
    assert one.covers_more_than(other) + other.covers_more_than(one) == (
        one != other
    )
    if one.covers_more_than(other) and other.covers_more_than(third):
        assert one.covers_more_than(third)


def reader_after_gap(known, earliest):
    """Return a reader that skipped the records from `known` to `earliest`."""
    reader = StreamReader(ListFold())
    for offset in range(known):
        reader.fold.apply(LogRecord(offset, record_text(f'{offset}')))
    reader.on_expired(Expired(earliest, earliest))
    reader.on_batch(Batch((), earliest, earliest))
    assert reader.skip_gap()
    return reader


def test_processes_that_skipped_a_gap_converge_on_the_longer_state():
    short, long = reader_after_gap(2, 10), reader_after_gap(4, 10)
    later_records = [
        LogRecord(10, record_text('new', 'new')),
        LogRecord(11, short.fold.checkpoint()),
        LogRecord(12, long.fold.checkpoint()),
        LogRecord(13, record_text('last', 'last')),
        LogRecord(14, record_text('new', 'repeated')),
    ]
    for record in later_records:
        short.fold.apply(record)
        long.fold.apply(record)
    assert short.fold.items == ['x', 'x', 'x', 'x', 'new', 'last']
    assert short.fold.checkpoint() == long.fold.checkpoint()
    restarted = ListFold()
    restarted.restore(short.fold.checkpoint())
    assert restarted.checkpoint() == long.fold.checkpoint()


def test_a_checkpoint_from_before_the_gap_is_applied_after_it():
    short, long = reader_after_gap(2, 10), reader_after_gap(4, 10)
    before_gap = ListFold()
    for offset in range(4):
        before_gap.apply(LogRecord(offset, record_text(f'{offset}')))
    for fold in (short.fold, long.fold):
        fold.apply(LogRecord(10, record_text('new', 'new')))
        fold.apply(LogRecord(11, before_gap.checkpoint()))
    assert short.fold.items == ['x', 'x', 'x', 'x', 'new']
    assert short.fold.checkpoint() == long.fold.checkpoint()


def test_a_repeated_checkpoint_is_ignored_after_it_was_applied():
    short, long = reader_after_gap(2, 10), reader_after_gap(4, 10)
    longer = long.fold.checkpoint()
    for fold in (short.fold, long.fold):
        fold.apply(LogRecord(10, record_text('new', 'new')))
        fold.apply(LogRecord(11, longer))
        fold.apply(LogRecord(12, longer))
    assert short.fold.checkpoint() == long.fold.checkpoint()


def test_a_checkpoint_from_before_the_earliest_record_is_passed_over():
    fold = ListFold()
    for offset in range(9):
        fold.apply(LogRecord(offset, record_text(str(offset))))
    early = ListFold()
    early.apply(LogRecord(0, record_text('0')))
    reader = StreamReader(ListFold())
    reader.on_expired(Expired(8, 10))
    reader.on_batch(Batch(_stored((8, early.checkpoint())), 8, 10))
    assert reader.is_waiting_for_checkpoint
    assert reader.fold.items == []
    reader.on_batch(Batch(_stored((9, fold.checkpoint())), 8, 10))
    assert reader.fold.items == ['x'] * 9


def _stored(*records):
    return tuple(Record(offset, text, 0) for offset, text in records)
