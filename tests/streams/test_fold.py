"""Folds: repeats, poison records and checkpoints."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonflow.streams.fold import OffsetGapError
from lagoonflow.streams.messages import LogRecord
from tests.streams.list_fold import ListFold
from tests.streams.memory_log import record_text

POISON = [
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


def folded(texts):
    fold = ListFold()
    for offset, text in enumerate(texts):
        fold.apply(LogRecord(offset, text))
    return fold


def test_a_repeated_id_is_ignored():
    fold = folded([record_text('a'), record_text('a'), record_text('b')])
    assert fold.items == ['x', 'x']
    assert fold.next_offset == 3


@pytest.mark.parametrize('text', POISON)
def test_poison_is_counted_and_passed_over(text):
    fold = folded([record_text('a'), text, record_text('b')])
    assert fold.items == ['x', 'x']
    assert fold.rejected_count == 1
    assert fold.rejections[0].offset == 1


def test_a_record_out_of_order_is_an_error():
    with pytest.raises(OffsetGapError):
        ListFold().apply(LogRecord(1, record_text('a')))


def test_a_wrong_checkpoint_is_ignored_and_reported():
    honest = folded([record_text('a', 'one')]).checkpoint()
    wrong = honest.replace('"one"', '"two"')
    fold = folded([record_text('a', 'one'), wrong, record_text('b')])
    assert fold.items == ['one', 'x']
    assert fold.wrong_checkpoint_count == 1


def test_a_late_wrong_checkpoint_is_found_by_replay():
    honest = folded([record_text('a', 'one')]).checkpoint()
    texts = [record_text('a', 'one'), record_text('b'), honest]
    assert folded(texts).wrong_checkpoint_count == 0
    texts[2] = honest.replace('"one"', '"two"')
    assert folded(texts).wrong_checkpoint_count == 1


def test_a_checkpoint_of_the_future_is_reported():
    ahead = folded([record_text(str(n)) for n in range(9)]).checkpoint()
    fold = folded([record_text('a'), ahead])
    assert fold.items == ['x']
    assert fold.wrong_checkpoint_count == 1


def test_a_checkpoint_does_not_revert():
    old = folded([record_text('a')]).checkpoint()
    fold = folded([record_text('a'), record_text('b')])
    assert not fold.restore(old)
    assert fold.items == ['x', 'x']


@pytest.mark.parametrize(
    'state', ['null', '{}', '[1]', '"x"', '[' * 2000 + ']' * 2000]
)
def test_a_malformed_state_changes_nothing(state):
    text = json.dumps({'as_of': 5, 'state': 0}).replace('0', state)
    fold = folded([record_text('a')])
    assert not fold.restore(f'{{"id":"c","kind":"checkpoint","body":{text}}}')
    assert fold.items == ['x']
    assert fold.next_offset == 1


record_texts = st.one_of(
    st.builds(record_text, st.sampled_from('abcdefgh'), st.text(max_size=2)),
    st.sampled_from(POISON),
    st.text(max_size=30),
)


@given(st.lists(record_texts, max_size=30), st.data())
def test_a_restart_from_a_checkpoint_changes_nothing(texts, data):
    cut = data.draw(st.integers(0, len(texts)))
    whole = folded(texts)
    restarted = ListFold()
    restarted.restore(folded(texts[:cut]).checkpoint())
    for offset, text in enumerate(texts):
        restarted.apply(LogRecord(offset, text))
    assert restarted.checkpoint() == whole.checkpoint()
