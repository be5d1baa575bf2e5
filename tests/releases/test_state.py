"""The fold of releases: versions, references, withdrawals, checkpoints."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonflow.releases.messages import ModelSpec
from lagoonflow.releases.state import ReleaseFold
from lagoonflow.streams.envelope import MAX_RECORD_CHARS
from lagoonflow.streams.messages import LogRecord
from tests.releases.notes import (
    adapter,
    folded,
    key,
    model,
    note,
    organisation,
    put,
    route,
    withdraw,
)


def reasons(fold, note_id):
    return [problem.reason for problem in fold.find_outcome(note_id).problems]


def test_accepted_note_puts_its_objects_in_force():
    fold = folded(note('n', adapter(), model(), organisation(), key()))
    assert fold.find_outcome('n').is_accepted
    assert fold.model('m') == ModelSpec('1', 'ck', 10)
    assert fold.adapter('a').model == 'm'
    assert fold.key('k').spec.organisation == 'o'
    assert fold.key_by_digest('0' * 63 + '1').key_id == 'k'


def test_note_is_accepted_as_a_whole_or_not_at_all():
    fold = folded(note('n', model('good'), adapter(of='absent')))
    assert not fold.find_outcome('n').is_accepted
    assert fold.model('good') is None
    assert fold.rejected_count == 0


def test_concurrent_notes_conflict_only_on_the_same_object():
    fold = folded(
        note('first', model('shared'), model('one')),
        note('second', model('two')),
        note('third', model('shared', version='9')),
    )
    assert fold.find_outcome('second').is_accepted
    assert not fold.find_outcome('third').is_accepted
    assert fold.model('shared').version == '1'
    assert 'version 1' in reasons(fold, 'third')[0]


def test_versions_go_on_counting_after_a_withdrawal():
    fold = folded(
        note('1', model()),
        note('2', withdraw('model', 'm', 1)),
        note('3', model(base=0)),
        note('4', model(base=2)),
    )
    assert not fold.find_outcome('3').is_accepted
    assert fold.find_outcome('4').is_accepted
    assert fold.find_outcome('4').versions[0].version == 3


def test_withdrawal_of_a_key_is_final_and_needs_no_base():
    fold = folded(
        note('1', organisation(), key()),
        note('2', key(base=1, digest=2)),
        note('3', withdraw('key', 'k')),
        note('4', withdraw('key', 'k')),
        note('5', key(base=3)),
        note('6', key('other', digest=2)),
    )
    assert fold.find_outcome('3').is_accepted
    assert fold.find_outcome('4').is_accepted
    assert not fold.find_outcome('5').is_accepted
    assert not fold.find_outcome('6').is_accepted
    assert fold.key('k').is_withdrawn
    assert fold.key_by_digest('0' * 63 + '2').is_withdrawn


@pytest.mark.parametrize(
    'change',
    [
        adapter(of='absent'),
        key('k2', of='absent', digest=7),
        key('k2', digest=1),
        route('r2'),
        withdraw('model', 'm', 1),
        withdraw('organisation', 'o', 1),
        withdraw('model', 'absent', 0),
        withdraw('key', 'absent'),
        model(base=5),
    ],
    ids=str,
)
def test_invalid_changes_are_rejected_with_one_problem(change):
    fold = folded(
        note('1', model(), adapter(), organisation(), key(), route()),
        note('2', change),
    )
    assert len(reasons(fold, '2')) == 1


def test_model_can_be_withdrawn_together_with_its_adapters():
    fold = folded(
        note('1', model(), adapter()),
        note('2', withdraw('model', 'm', 1), withdraw('adapter', 'a', 1)),
    )
    assert fold.find_outcome('2').is_accepted
    assert not fold.models()
    assert not fold.adapters()


def test_note_that_changes_an_object_twice_is_rejected():
    fold = folded(note('1', model(), model()))
    assert not fold.find_outcome('1').is_accepted


@pytest.mark.parametrize(
    ('path', 'name'),
    [
        ('/portal', 'outer'),
        ('/portal/', 'outer'),
        ('/portal/x', 'outer'),
        ('/portal/roster', 'inner'),
        ('/portal/roster/7', 'inner'),
        ('/portal/rosters', 'outer'),
        ('/portals', None),
        ('/', None),
        ('', None),
    ],
)
def test_route_with_the_longest_prefix_of_whole_segments_is_chosen(path, name):
    fold = folded(
        note(
            'n',
            route('outer', prefix='/portal'),
            route('inner', prefix='/portal/roster'),
        ),
    )
    found = fold.route_for(path)
    assert found == (fold.routes()[name] if name else None)


MALFORMED_CHANGES = [
    {},
    {'put': 'model'},
    {'put': 'nothing', 'name': 'x', 'base': 0},
    {'put': 'model', 'withdraw': 'model', 'name': 'x', 'base': 0},
    {**model(), 'memory_mb': -1},
    {**model(), 'memory_mb': 10**30},
    {**model(), 'name': '../x\n'},
    {**key(), 'digest': 'lf_not-a-digest'},
    put('organisation', 'o', rate_tokens_per_s=0, burst_tokens=1),
    route(prefix='/ends/'),
    route(prefix='portal'),
    'text',
    None,
]


@pytest.mark.parametrize('change', MALFORMED_CHANGES, ids=str)
def test_malformed_note_is_skipped_as_an_invalid_record(change):
    fold = folded(note('n', change), note('next', model()))
    assert fold.rejected_count == 1
    assert fold.find_outcome('n') is None
    assert fold.model('m')


changes = st.one_of(
    st.builds(
        model,
        st.sampled_from('mn'),
        st.integers(0, 3),
        version=st.sampled_from('12'),
    ),
    st.builds(
        adapter, st.sampled_from('ab'), st.integers(0, 2), st.sampled_from('mn')
    ),
    st.builds(organisation, st.sampled_from('op'), st.integers(0, 2)),
    st.builds(
        key,
        st.sampled_from('kl'),
        st.integers(0, 2),
        st.sampled_from('op'),
        st.integers(1, 3),
    ),
    st.builds(
        withdraw,
        st.sampled_from(['model', 'adapter', 'organisation', 'key', 'route']),
        st.sampled_from('mnabopkl'),
        st.integers(0, 3),
    ),
    st.sampled_from(MALFORMED_CHANGES),
)
notes = st.builds(
    lambda note_id, chosen: note(str(note_id), *chosen),
    st.integers(0, 60),
    st.lists(changes, min_size=1, max_size=4),
)


@given(st.lists(notes, max_size=30), st.data())
def test_restored_fold_agrees_with_a_full_fold(texts, data):
    cut = data.draw(st.integers(0, len(texts)))
    whole = folded(*texts)
    restarted = ReleaseFold()
    restarted.restore(folded(*texts[:cut]).checkpoint())
    for offset, text in enumerate(texts):
        restarted.apply(LogRecord(offset, text))
    assert restarted.checkpoint() == whole.checkpoint()
    assert restarted.outcomes == whole.outcomes
    assert restarted.models() == whole.models()


@given(st.lists(notes, max_size=30))
def test_references_stay_valid_and_keys_stay_withdrawn(texts):
    fold = ReleaseFold()
    withdrawn = set()
    for offset, text in enumerate(texts):
        fold.apply(LogRecord(offset, text))
        assert all(
            spec.model in fold.models() for spec in fold.adapters().values()
        )
        for name in 'kl':
            state = fold.key(name)
            if state and state.is_withdrawn:
                withdrawn.add((name, state.spec.digest))
            elif state:
                assert state.spec.organisation in fold.organisations()
        for name, digest in withdrawn:
            assert fold.key(name).is_withdrawn
            assert fold.key_by_digest(digest).is_withdrawn


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(
                    ['put', 'name', 'base', 'changes', 'spec', 'withdraw']
                ),
                inner,
            )
        ),
        max_leaves=12,
    )
)
def test_any_body_is_rejected_or_folded(body):
    text = json.dumps({'id': 'n', 'kind': 'note', 'body': body})
    fold = folded(text, note('next', model()))
    assert fold.next_offset == 2
    assert fold.model('m')


def test_checkpoints_stay_small_after_many_large_notes():
    texts = [
        note(f'n{number}', *(model(f'm{n}', number) for n in range(100)))
        for number in range(220)
    ]
    fold = folded(*texts)
    assert fold.model('m99')
    assert len(fold.checkpoint()) < MAX_RECORD_CHARS // 4
    assert fold.find_outcome('n0') is None
    assert fold.find_outcome('n219').object_count == 100
    assert len(fold.find_outcome('n219').versions) == 20
