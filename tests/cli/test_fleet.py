"""Operators look into a fleet of real processes."""

import pytest
from pytest_bdd import parsers, scenarios, then, when

from loopback.cluster import LOG
from tests.support.steps import within

scenarios('test_fleet.feature')

JOIN_LIMIT_S = 15


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
def run_status(cluster, runs, count):
    def has_all():
        return len(run(cluster, runs, 'status').stdout.splitlines()) > count

    within(JOIN_LIMIT_S, has_all)


@then(parsers.re(r'the program ends with status (?P<status>\d)$'))
def check_status(runs, status):
    assert runs[-1].returncode == int(status), runs[-1].stderr


@then(parsers.parse('it names {one} and {other}'))
def check_names(runs, one, other):
    assert one in runs[-1].stdout
    assert other in runs[-1].stdout


@then(parsers.parse('it says "{text}"'))
def check_text(runs, text):
    assert text in runs[-1].stderr
