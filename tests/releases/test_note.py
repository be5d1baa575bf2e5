"""Note files: all mistakes at once, and never a key in the output."""

import re

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonflow.releases.messages import ModelSpec
from lagoonflow.releases.note import Note, note_schema, parse_note

KEY = 'lf_' + 'ab12' * 8
GOOD = """
note: {id: storm-7, author: ann, message: More replicas}
changes:
  - put: model
    name: news
    base: 0
    version: "3"
    checkpoint: ck-3
    memory_mb: 4000
  - {withdraw: key, name: k1}
"""
BAD = """
note: {autor: ann}
changes:
  - put: model
    name: has space
    base: -1
    version: 1.0
    checkpoint: ck
  - {withdraw: kee, name: k1}
  - put: adapter
    withdraw: adapter
  - text
  - put: key
    name: k
    base: 0
    organisation: o
    digest: abc
"""


def parsed(text):
    return parse_note(text.encode())


def shown(problems):
    return {(m.path, m.line): m for m in problems}


def test_a_good_note_is_read():
    note = parsed(GOOD)
    assert isinstance(note, Note)
    assert (note.note_id, note.author) == ('storm-7', 'ann')
    assert note.changes[0].spec() == ModelSpec('3', 'ck-3', 4000)


def test_all_mistakes_are_named_with_path_line_and_hint():
    problems = shown(parsed(BAD))
    assert set(problems) == {
        ('note.autor', 2),
        ('changes[0].name', 5),
        ('changes[0].base', 6),
        ('changes[0].version', 7),
        ('changes[0]', 4),
        ('changes[1].withdraw', 9),
        ('changes[2]', 10),
        ('changes[3]', 12),
        ('changes[4].digest', 17),
    }
    assert 'author' in problems['note.autor', 2].hint
    assert 'quotes' in problems['changes[0].version', 7].hint
    assert 'key new' in problems['changes[4].digest', 17].hint
    assert "'memory_mb' is missing" in problems['changes[0]', 4].reason


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('', 'mapping'),
        ('changes: []', 'nothing'),
        ('changes: {a: 1}', 'list'),
        ('changes: [', 'YAML'),
        ('a: 1\na: 2', 'twice'),
        ('a: &x 1\nb: *x', 'aliases'),
        ('a: !!python/object/apply:os.getcwd []', 'Tags'),
        ('a: !!python/name:os.getcwd x', 'can not be read'),
        ('? [a]\n: 1', 'key of a mapping'),
        ('[' * 1500 + ']' * 1500, 'nested'),
        ('x' * 300_000, 'larger'),
        ('a: 2026-99-99', 'can not be read'),
        ('a: .nan\n---\nb: 1', 'YAML'),
    ],
    ids=lambda text: text[:12],
)
def test_unusual_files_give_a_clear_mistake(text, expected):
    problems = parsed(text)
    assert any(expected in problem.reason for problem in problems)


def test_bytes_that_are_no_text():
    assert 'UTF-8' in parse_note(b'\xff\xfe')[0].reason


@pytest.mark.parametrize('number', ['.inf', '.nan', '0', '1e400', '"5"'])
def test_limits_have_to_be_numbers_above_zero(number):
    text = (
        'changes: [{put: organisation, name: o, base: 0,'
        f' burst_tokens: 1, rate_tokens_per_s: {number}}}]'
    )
    assert parsed(text)[0].path == 'changes[0].rate_tokens_per_s'


@pytest.mark.parametrize(
    'text',
    [
        GOOD.replace('ck-3', KEY),
        GOOD.replace('More replicas', KEY),
        GOOD.replace('memory_mb', KEY),
        GOOD.replace('news', KEY),
        GOOD + f'\n*{KEY}',
        GOOD + f'\n# {KEY}',
        GOOD.replace('model', KEY),
    ],
)
def test_a_key_in_a_note_is_refused_and_not_shown(text):
    problems = parsed(text)
    assert any('contains a key' in problem.reason for problem in problems)
    assert KEY not in str(problems)


PIECES = st.sampled_from(
    [
        *re.findall(r'\s+|\S+', GOOD),
        KEY,
        '&a',
        '*a',
        '!!set',
        '{',
        ']',
        '\t',
        '\x00',
        '\u2028',
        '<<: ',
        '? ',
        '- ',
        '0x7',
        '2026-01-01',
        '1_0',
        '~',
    ],
)


@given(st.lists(PIECES, max_size=40).map(''.join))
def test_any_text_gives_a_note_or_mistakes_without_keys(text):
    result = parsed(text)
    if isinstance(result, Note):
        return
    assert result
    assert KEY not in str(result)


@given(st.binary(max_size=60))
def test_any_bytes_give_a_note_or_mistakes(raw):
    assert parse_note(raw)


def test_the_schema_names_all_kinds():
    schema = msgspec.json.encode(note_schema()).decode()
    for name in ('PutModel', 'WithdrawKey', 'NoteHeader', 'memory_mb'):
        assert name in schema
