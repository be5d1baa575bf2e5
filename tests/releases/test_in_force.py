"""Accepted release notes are in force in every process of a real fleet."""

import threading
import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from loopback import http
from tests.support.fleet_steps import (
    key_of,
    model_change,
    running_programs,
    split_names,
)
from tests.support.steps import step, within
from tests.support.version_watch import (
    MS_PER_S,
    VersionWatch,
    median_and_maximum,
)

scenarios('test_in_force.feature')

CLOCK_ROUNDING_MS = 1


@pytest.fixture
def watch(cluster):
    """Return a watch of the versions in force, closed after the test."""
    versions = VersionWatch(cluster)
    yield versions
    versions.close()


@pytest.fixture
def race():
    """Return the outcomes of notes that two operators publish at once."""
    return []


@when('the versions are watched', target_fixture='since_ms')
@given('the versions are watched', target_fixture='since_ms')
def start_watch(cluster, watch):
    for name in running_programs(cluster):
        watch.watch(name)
    return time.time() * MS_PER_S - CLOCK_ROUNDING_MS


@when(parsers.re(r'an operator publishes (?P<count>\d+) notes$'))
def publish(operator, count):
    for number in range(int(count)):
        name = f'model-{operator.count}-{number}'
        operator.publish_accepted([model_change(name)])


@when(
    parsers.re(
        r'two operators publish the models (?P<names>\w+ and \w+) at once$'
    )
)
def publish_at_once(operator, race, names):
    race.clear()
    threads = [
        threading.Thread(
            target=lambda version, name: race.append(
                operator.publish([model_change(name, version)])
            ),
            args=(f'v{version}', name),
        )
        for version, name in enumerate(split_names(names))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then(
    parsers.re(
        r'one note is accepted and the other is rejected because of base 0$'
    )
)
def check_one_accepted(race):
    accepted, rejected = sorted(race, key=lambda done: done.returncode)
    assert accepted.returncode == 0, accepted.stderr
    assert rejected.returncode != 0
    reason = rejected.stdout + rejected.stderr
    assert 'version 1 is in force' in reason, reason


@then('both notes are accepted')
def check_both_accepted(race):
    assert [done.returncode for done in race] == [0, 0], race


@then(
    parsers.re(r'every note was in force everywhere within (?P<limit>\d+) s$')
)
def check_in_force(cluster, watch, since_ms, limit, measured):
    limit_ms = int(limit) * MS_PER_S
    watch.read_append_times()
    names = running_programs(cluster)
    assert any(at_ms >= since_ms for at_ms in watch.append_times_ms.values())

    def slowest():
        return [max(watch.delays_ms(name, since_ms)) for name in names]

    try:
        within(limit, lambda: max(slowest()) < float('inf'))
    except AssertionError:
        print(dict(zip(names, slowest(), strict=True)))
        raise
    assert max(slowest()) <= limit_ms, dict(zip(names, slowest(), strict=True))
    for name in names:
        median_ms, most_ms = median_and_maximum(watch.delays_ms(name, since_ms))
        measured(f'{name}: in force, p50', median_ms, 'ms')
        measured(f'{name}: in force, max', most_ms, 'ms')


@then('no version decreased')
def check_no_version_decreased(cluster, watch):
    assert all(len(watch.polls[name]) > 1 for name in ('router 1', 'agent 1'))
    assert watch.find_decreases() == []


@then(step('PART lists the models (?P<names>.+)'))
def check_models(cluster, part, names):
    headers = {'authorization': f'Bearer {key_of("water")}'}
    address = cluster.address(part, '/v1/models')
    reply = http.request(address, 'GET', '/v1/models', headers=headers)
    assert reply.status == 200, reply
    assert set(split_names(names)) <= {
        one['id'] for one in reply.json()['data']
    }


@then(step('every request to PART received a complete answer'))
def check_complete_answers(traffic, part):
    traffic.finish()
    probes = traffic.outcomes(f'probe {part}')
    assert probes
    assert [one.describe() for one in probes if not one.is_complete] == []
