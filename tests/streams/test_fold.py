"""Folds: repeated and invalid records, and checkpoints."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonflow.streams.fold import OffsetGapError
from lagoonflow.streams.messages import LogRecord
from tests.streams.list_fold import ListFold
from tests.streams.memory_log import record_text

INVALID_TEXTS = [
    '',
    '{',
    'null',
    '[]',
    '{"id": "", "kind": "item", "body": 1}',
    '{"id": "p1", "kind": "item"}',
    '{"id": "p2", "kind": "item", "body": 17}',
    '{"id": "p3", "kind": "no-such-kind", "body": {}}',
    '{"id": "p4", "kind": "item", "body": ' + '[' * 5000 + ']' * 5000 + '}',
    '\udcff',
]


def fold_texts(texts):
    fold = ListFold()
    for offset, text in enumerate(texts):
        fold.apply(LogRecord(offset, text))
    return fold


def test_a_repeated_id_is_ignored():
    fold = fold_texts([record_text('a'), record_text('a'), record_text('b')])
    assert fold.items == ['x', 'x']
    assert fold.next_offset == 3


@pytest.mark.parametrize('text', INVALID_TEXTS)
def test_invalid_records_are_counted_and_skipped(text):
    fold = fold_texts([record_text('a'), text, record_text('b')])
    assert fold.items == ['x', 'x']
    assert fold.rejected_count == 1
    assert fold.rejections[0].offset == 1


def test_a_record_out_of_order_is_an_error():
    with pytest.raises(OffsetGapError):
        ListFold().apply(LogRecord(1, record_text('a')))


def test_a_wrong_checkpoint_is_ignored_and_reported():
    correct = fold_texts([record_text('a', 'one')]).checkpoint()
    wrong = correct.replace('"one"', '"two"')
    fold = fold_texts([record_text('a', 'one'), wrong, record_text('b')])
    assert fold.items == ['one', 'x']
    assert fold.wrong_checkpoint_count == 1


def test_a_wrong_checkpoint_of_earlier_records_is_found_by_replay():
    correct = fold_texts([record_text('a', 'one')]).checkpoint()
    texts = [record_text('a', 'one'), record_text('b'), correct]
    assert fold_texts(texts).wrong_checkpoint_count == 0
    texts[2] = correct.replace('"one"', '"two"')
    assert fold_texts(texts).wrong_checkpoint_count == 1


def test_a_checkpoint_of_later_records_is_reported():
    ahead = fold_texts([record_text(str(n)) for n in range(9)]).checkpoint()
    fold = fold_texts([record_text('a'), ahead])
    assert fold.items == ['x']
    assert fold.wrong_checkpoint_count == 1


def test_an_older_checkpoint_is_not_restored():
    old = fold_texts([record_text('a')]).checkpoint()
    fold = fold_texts([record_text('a'), record_text('b')])
    assert not fold.restore(old)
    assert fold.items == ['x', 'x']


@pytest.mark.parametrize(
    'state', ['null', '{}', '[1]', '"x"', '[' * 2000 + ']' * 2000]
)
def test_a_malformed_state_changes_nothing(state):
    text = json.dumps({'as_of': 5, 'state': 0}).replace('0', state)
    fold = fold_texts([record_text('a')])
    assert not fold.restore(f'{{"id":"c","kind":"checkpoint","body":{text}}}')
    assert fold.items == ['x']
    assert fold.next_offset == 1


record_texts = st.one_of(
    st.builds(record_text, st.sampled_from('abcdefgh'), st.text(max_size=2)),
    st.sampled_from(INVALID_TEXTS),
    st.text(max_size=30),
)


@given(st.lists(record_texts, max_size=30), st.data())
def test_a_restart_from_a_checkpoint_gives_the_same_state(texts, data):
    cut = data.draw(st.integers(0, len(texts)))
    continuous = fold_texts(texts)
    restarted = ListFold()
    restarted.restore(fold_texts(texts[:cut]).checkpoint())
    for offset, text in enumerate(texts):
        restarted.apply(LogRecord(offset, text))
    assert restarted.checkpoint() == continuous.checkpoint()
