"""Checks of the settings of router and agent, in the process of the test."""

import io
import pathlib
import re

import pytest

from lagoonflow.cli import agent, router
from lagoonflow.cli.environment import Environment
from lagoonflow.cli.exit_status import ExitStatus
from lagoonflow.releases.note import Note, parse_note

ROOT = pathlib.Path(__file__).parents[2]
COMMON_FLAGS = (
    '--name=a',
    '--zone=z',
    '--log-url=http://127.0.0.1:1',
    '--hosts-url=http://127.0.0.1:2',
)


def run(program, *flags):
    stderr = io.StringIO()
    environment = Environment(stdout=io.StringIO(), stderr=stderr)
    status = program.main([*COMMON_FLAGS, *flags], environment)
    return status, stderr.getvalue()


@pytest.mark.parametrize(
    ('program', 'flags', 'named'),
    [
        (router, ['--address=nowhere'], '--address'),
        (router, ['--address=0.0.0.0:0'], '--address'),
        (router, ['--peer-address=10.0.0.1:0'], '--peer-address'),
        (router, ['--zone=Zone A'], '--zone'),
        (router, ['--max-body-bytes=-1'], '--max-body-bytes'),
        (router, ['--max-body-bytes=1MB'], '--max-body-bytes'),
        (router, ['--log-url=ftp://x'], '--log-url'),
        (router, ['--tls-key=missing.pem'], '--tls-certificate'),
        (router, ['--caller-key=missing.pem'], '--caller-certificate'),
        (router, ['--no-such-flag=1'], '--no-such-flag'),
        (agent, [], '--engine-url'),
        (agent, ['--service=s'], '--service-url'),
        (agent, ['--engine-url=http://x', '--max-running=0'], '--max-running'),
    ],
)
def test_invalid_setting_is_named_in_the_first_line(program, flags, named):
    status, error_output = run(program, *flags)
    assert status is ExitStatus.USAGE
    first, hint = error_output.strip().splitlines()
    assert named in first
    assert hint.startswith('Try lagoonflow-')


def test_note_in_the_readme_is_valid():
    text = (ROOT / 'README.md').read_text()
    (note,) = re.findall('```yaml\n(.*?)```', text, re.DOTALL)
    assert isinstance(parse_note(note.encode()), Note)
