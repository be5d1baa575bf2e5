"""lagoonflowctl status and timeline against real processes."""

import pytest
from pytest_bdd import parsers, scenarios, then, when

from loopback.cluster import LOG
from tests.support.steps import within

scenarios('test_fleet.feature')

JOIN_TIMEOUT_S = 15


@pytest.fixture
def runs():
    return []


def run(cluster, runs, command):
    url = f'--log-url=http://{cluster.address(LOG)}'
    runs.append(cluster.ctl(command, url))
    return runs[-1]


@when(parsers.re('an operator runs (?P<command>status|timeline)$'))
def run_command(cluster, runs, command):
    run(cluster, runs, command)


@when(parsers.parse('an operator runs status until {count:d} processes answer'))
def run_status_until_complete(cluster, runs, count):
    def has_all_processes():
        return len(run(cluster, runs, 'status').stdout.splitlines()) > count

    within(JOIN_TIMEOUT_S, has_all_processes)


@then(parsers.re(r'the program ends with status (?P<status>\d)$'))
def check_exit_status(runs, status):
    assert runs[-1].returncode == int(status), runs[-1].stderr


@then(parsers.parse('its output contains {first} and {second}'))
def check_output(runs, first, second):
    assert first in runs[-1].stdout
    assert second in runs[-1].stdout


@then(parsers.parse('its error output contains "{text}"'))
def check_error_output(runs, text):
    assert text in runs[-1].stderr
