"""Leaving hosts and planned stops in a fleet of real processes."""

import functools
import time

import pytest
from pytest_bdd import parsers, scenarios, then, when

from loopback import http
from loopback.program_flags import ADMIN
from tests.support.steps import is_answered, within

scenarios('test_leaving.feature')

STOP_TIMEOUT_S = 30
SETTLE_S = 1
# Time until every process knows the state of a host: the host list lags, and
# each process reads it once a second.
NOTICE_DELAY_S = 4


@pytest.fixture
def stopped():
    """Return what the scenario stopped, and when, by name of the fact."""
    return {}


@when('the host of the agent that runs news is listed as leaving')
def list_as_leaving(cluster, stopped):
    name = _agent_that_runs(cluster)
    cluster.list_host(name, 'leaving')
    stopped['leaving'] = name
    stopped['since_ms'] = (time.time() + NOTICE_DELAY_S) * 1000


@when('the agent that runs news is stopped')
def stop_agent(cluster, stopped):
    _stop(cluster, stopped, _agent_that_runs(cluster))


@when('router 1 is stopped')
def stop_router(cluster, stopped):
    _stop(cluster, stopped, 'router 1')


@when('each agent and router is stopped and started again')
def replace_all(cluster):
    for name in ('agent 1', 'agent 2', 'agent 3', 'router 1', 'router 2'):
        process = cluster.process(name)
        process.terminate()
        assert process.wait(STOP_TIMEOUT_S) == 0, process.logs()
        cluster.restart(name)
        ready = (cluster.process(name).addresses[ADMIN], '/ready', 200)
        within(20, functools.partial(is_answered, *ready))
        time.sleep(SETTLE_S)


@then('the leaving agent has started no more work')
def check_no_more_work(cluster, stopped):
    events = _events(cluster, stopped['leaving'])
    late = [
        event
        for event in events
        if event['event'] == 'started' and event['at_ms'] > stopped['since_ms']
    ]
    assert not late, late


@then('the stopped process has ended with status 0')
def check_status(stopped, measured):
    process = stopped['process']
    assert process.wait(STOP_TIMEOUT_S) == 0, process.logs()
    measured('graceful stop', stopped['took_ms'](), 'ms')


@then('every probe is answered whole')
def check_probes(traffic):
    traffic.finish()
    _check(traffic, allow_refused_connections=False)


@then(parsers.re('every probe is answered whole or its connection is refused$'))
def check_probes_elsewhere(traffic):
    traffic.finish()
    _check(traffic, allow_refused_connections=True)


def _check(traffic, allow_refused_connections):
    probes = [
        *traffic.outcomes('probe router 1'),
        *traffic.outcomes('probe router 2'),
    ]
    assert probes
    failed = [
        probe.describe()
        for probe in probes
        if not probe.is_complete
        and not (
            allow_refused_connections
            and probe.failure == 'no router accepted the connection'
        )
    ]
    assert not failed, (len(probes), failed)


def _stop(cluster, stopped, name):
    process = cluster.process(name)
    begun_s = time.monotonic()
    process.terminate()

    def took_ms():
        process.wait(STOP_TIMEOUT_S)
        return round((time.monotonic() - begun_s) * 1000)

    stopped['process'] = process
    stopped['took_ms'] = took_ms


def _events(cluster, name):
    address = cluster.process(name).addresses[ADMIN]
    return http.request(address, 'GET', '/timeline').json()


def _agent_that_runs(cluster):
    for name in cluster.running_names():
        if name.startswith('agent') and any(
            event['event'] == 'started' and event['model'] == 'news'
            for event in _events(cluster, name)
        ):
            return name
    raise AssertionError('no agent runs news')
