"""Commands of lagoonflowctl that need no running fleet."""

import json
import pathlib

import pytest

from lagoonflow.cli.exit_status import ExitStatus
from lagoonflow.keys.state import digest
from lagoonflow.results import Result
from lagoonflow.results_text import EXPLANATIONS, results_table
from tests.cli.programs import ctl

ROOT = pathlib.Path(__file__).parents[2]
CLOSED_URL = 'http://127.0.0.1:9'
VALID_NOTE = 'changes: [{withdraw: key, name: k}]'
KEY = 'lf_' + '0123456789' * 3


@pytest.fixture
def note(tmp_path):
    path = tmp_path / 'note.yaml'
    path.write_text(VALID_NOTE)
    return path


def test_valid_note_is_accepted(note):
    run = ctl('release', 'validate', note)
    assert run.status == ExitStatus.SUCCESS
    assert 'valid, 1 changes' in run.stdout


def test_all_problems_are_printed_with_file_and_line(note):
    note.write_text('changes:\n- put: model\n  nam: x\n- {put: x}\n')
    run = ctl('release', 'validate', note)
    assert run.status == ExitStatus.NOTE_MALFORMED
    assert f"{note}:3: changes[0].nam: The field 'nam'" in run.stderr
    assert "Did you mean 'name'?" in run.stderr
    assert f'{note}:4: changes[1].put:' in run.stderr


def test_missing_note_file_is_reported(tmp_path):
    run = ctl('release', 'validate', tmp_path / 'absent')
    assert run.status == ExitStatus.NOTE_MALFORMED
    assert 'No such file' in run.stderr


def test_new_key_is_printed_with_its_digest():
    run = ctl('key', 'new')
    lines = dict(line.split(': ') for line in run.stdout.splitlines())
    assert digest(lines['key']) == lines['digest']
    assert lines['key'] not in run.stderr


def test_schema_is_printed_as_json():
    schema = json.loads(ctl('release', 'schema').stdout)
    assert schema['required'] == ['changes']


@pytest.mark.parametrize('code', ['602', 'NOT_HOME', 'not-home'])
def test_code_is_explained_by_number_or_name(code):
    run = ctl('explain', code)
    assert run.stdout.startswith('602 NOT_HOME')
    assert run.status == ExitStatus.SUCCESS


def test_every_code_is_explained_and_documented():
    assert set(EXPLANATIONS) == set(Result)
    documented = (ROOT / 'docs' / 'RESULTS.md').read_text()
    assert documented == results_table()


@pytest.mark.parametrize(
    ('arguments', 'named'),
    [
        (('explain', '999'), '999'),
        (('relase',), 'Did you mean "release"'),
        (('release', 'show'), '--log-url'),
        (('release', 'show', '--log-url', 'x'), '--log-url'),
        (('release', 'show', 'planet', '--log-url', CLOSED_URL), 'KIND'),
        (
            ('status', '--process', CLOSED_URL[7:], '--timeout-s', '0'),
            '--timeout-s',
        ),
        (('status',), '--log-url'),
        (('status', '--process', 'nowhere'), '--process'),
        (('timeline', '--since-ms', 'noon'), '--since-ms'),
    ],
)
def test_invalid_arguments_print_an_error_and_a_hint(arguments, named):
    run = ctl(*arguments)
    assert run.status == ExitStatus.USAGE
    assert named in run.stderr
    assert len(run.stderr.splitlines()) == 2
    assert not run.stdout


def test_keys_are_redacted_in_error_messages():
    assert KEY not in ctl('explain', KEY).stderr
    assert KEY not in ctl('release', 'show', '--log-url', KEY).stderr


@pytest.mark.parametrize('command', ['plan', 'publish'])
def test_plan_and_publish_fail_without_a_log_service(command, note):
    run = ctl(
        'release',
        command,
        note,
        '--timeout-s',
        1,
        LAGOONFLOW_LOG_URL=CLOSED_URL,
    )
    assert run.status == ExitStatus.LOG_UNAVAILABLE
    assert '127.0.0.1:9' in run.stderr
    assert '704' in run.stderr
