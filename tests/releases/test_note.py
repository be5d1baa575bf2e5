"""Note files: all problems are reported at once, and keys are not shown."""

import re

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonflow.releases.messages import ModelSpec
from lagoonflow.releases.note import Note, note_schema, parse_note

KEY = 'lf_' + 'ab12' * 8
VALID_NOTE = """
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
INVALID_NOTE = """
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


def parse_text(text):
    return parse_note(text.encode())


def by_place(problems):
    return {(m.path, m.line): m for m in problems}


def test_valid_note_is_parsed():
    note = parse_text(VALID_NOTE)
    assert isinstance(note, Note)
    assert (note.note_id, note.author) == ('storm-7', 'ann')
    assert note.changes[0].spec() == ModelSpec('3', 'ck-3', 4000)


def test_all_problems_are_reported_with_path_line_and_hint():
    problems = by_place(parse_text(INVALID_NOTE))
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
def test_unreadable_file_is_reported_with_a_reason(text, expected):
    problems = parse_text(text)
    assert any(expected in problem.reason for problem in problems)


def test_file_that_is_not_utf8_is_reported():
    assert 'UTF-8' in parse_note(b'\xff\xfe')[0].reason


@pytest.mark.parametrize('number', ['.inf', '.nan', '0', '1e400', '"5"'])
def test_limits_must_be_finite_and_above_zero(number):
    text = (
        'changes: [{put: organisation, name: o, base: 0,'
        f' burst_tokens: 1, rate_tokens_per_s: {number}}}]'
    )
    assert parse_text(text)[0].path == 'changes[0].rate_tokens_per_s'


@pytest.mark.parametrize(
    'text',
    [
        VALID_NOTE.replace('ck-3', KEY),
        VALID_NOTE.replace('More replicas', KEY),
        VALID_NOTE.replace('memory_mb', KEY),
        VALID_NOTE.replace('news', KEY),
        VALID_NOTE + f'\n*{KEY}',
        VALID_NOTE + f'\n# {KEY}',
        VALID_NOTE.replace('model', KEY),
    ],
)
def test_note_with_a_key_is_rejected_without_showing_the_key(text):
    problems = parse_text(text)
    assert any('contains a key' in problem.reason for problem in problems)
    assert KEY not in str(problems)


TEXT_PIECES = st.sampled_from(
    [
        *re.findall(r'\s+|\S+', VALID_NOTE),
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


@given(st.lists(TEXT_PIECES, max_size=40).map(''.join))
def test_any_text_gives_a_note_or_problems_without_keys(text):
    result = parse_text(text)
    if isinstance(result, Note):
        return
    assert result
    assert KEY not in str(result)


@given(st.binary(max_size=60))
def test_any_bytes_give_a_note_or_problems(raw):
    assert parse_note(raw)


def test_schema_contains_changes_header_and_fields():
    schema = msgspec.json.encode(note_schema()).decode()
    for name in ('PutModel', 'WithdrawKey', 'NoteHeader', 'memory_mb'):
        assert name in schema
