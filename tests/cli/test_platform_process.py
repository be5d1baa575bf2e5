"""The command line of router and agent on the platform."""

import io
import signal
import subprocess
import sys

import pytest

from lagoonflow.cli.environment import Environment
from lagoonflow.cli.exit_status import ExitStatus
from lagoonflow.cli.platform_process import main


@pytest.fixture(autouse=True)
def keep_handler():
    before = signal.getsignal(signal.SIGTERM)
    yield
    signal.signal(signal.SIGTERM, before)


def run(arguments, variables):
    environment = Environment(
        stdout=io.StringIO(), stderr=io.StringIO(), variables=variables
    )
    return main(arguments, environment), environment.stderr.getvalue()


def test_names_the_roles():
    status, complaint = run(['neither'], {})
    assert status == ExitStatus.USAGE
    assert 'router' in complaint


def test_asks_for_the_settings_file():
    status, complaint = run(['router'], {})
    assert status == ExitStatus.USAGE
    assert 'LAGOONFLOW_BOOT' in complaint


def test_names_the_setting_that_is_wrong(tmp_path):
    path = tmp_path / 'boot.conf'
    path.write_text('node_name=a\nzone=z\nip=127.0.0.1\n')
    status, complaint = run(['agent'], {'LAGOONFLOW_BOOT': str(path)})
    assert status == ExitStatus.USAGE
    assert 'internal_ports is missing' in complaint


def test_a_stop_before_the_start_is_no_failure():
    code = (
        'import os, signal\n'
        'from lagoonflow.cli import platform_process as program\n'
        'def serve(*_): os.kill(os.getpid(), signal.SIGTERM)\n'
        'program.launch = serve\n'
        'raise SystemExit(program.main(["router"]))\n'
    )
    done = subprocess.run([sys.executable, '-c', code], check=False)
    assert done.returncode == 0
