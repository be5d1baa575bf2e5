"""The metadata store comes back from an older copy, in a fleet of processes."""

import time

import pytest

from loopback.platform_fleet import (
    KEY,
    OTHER_KEY,
    PlatformFleet,
    configuration,
)
from loopback.processes import ProcessSet

pytestmark = pytest.mark.process

# A version must be in force, and a lost one known, within this time, in s.
APPLY_S = 2
UNAUTHORIZED = 401


@pytest.fixture
def fleet(tmp_path):
    processes = ProcessSet(tmp_path)
    running_fleet = PlatformFleet(processes)
    try:
        running_fleet.start(runners=1)
        yield running_fleet
    finally:
        processes.end_all()


def version(number, *keys):
    """Return a configuration in which only these keys are known."""
    body = configuration(number)
    body['tenants'][0]['api_keys'] = list(keys)
    return body


def with_both_keys(number):
    return version(number, KEY, OTHER_KEY)


def statuses(fleet, key):
    """Return what each router answers to a call with a key."""
    return [
        fleet.send_request(router, '/read/x', key=key).status
        for router in fleet.routers
    ]


def lose_two_versions(fleet, first):
    """Publish two versions that the store loses when it is restored."""
    fleet.copy_store()
    for number in (first, first + 1):
        fleet.publish(with_both_keys(number))
        time.sleep(0.3)
    time.sleep(APPLY_S)


@pytest.mark.parametrize('rewritten', [1, 2, 3])
def test_a_withdrawn_key_is_refused_after_the_store_lost_versions(
    fleet, rewritten
):
    """As many records as were lost take the offsets of those that were read."""
    lose_two_versions(fleet, 2)
    again = [with_both_keys(number) for number in (2, 3)][3 - rewritten :]
    fleet.restore_store(*again, version(4, KEY))
    time.sleep(APPLY_S)
    assert statuses(fleet, OTHER_KEY) == [UNAUTHORIZED] * 2
    assert statuses(fleet, KEY) == [200] * 2


def test_a_withdrawn_key_is_refused_after_two_restores_within_a_second(fleet):
    lose_two_versions(fleet, 2)
    fleet.restore_store(with_both_keys(3), with_both_keys(4))
    time.sleep(0.3)
    fleet.restore_store(with_both_keys(4), version(5, KEY))
    time.sleep(APPLY_S)
    assert statuses(fleet, OTHER_KEY) == [UNAUTHORIZED] * 2
    assert statuses(fleet, KEY) == [200] * 2


def test_a_router_that_starts_on_the_copy_knows_withdrawn_keys(fleet):
    """The copy is from before the withdrawal, which is not written again yet."""
    fleet.copy_store()
    fleet.publish(version(2, KEY))
    time.sleep(APPLY_S)
    fleet.restore_store()
    starting = fleet.add_router()
    fleet.routers.append(starting)
    time.sleep(APPLY_S + 1)
    assert 200 not in statuses(fleet, OTHER_KEY)
    fleet.publish(version(2, KEY))
    fleet.wait_ready(starting)
    time.sleep(0.5)
    assert statuses(fleet, OTHER_KEY) == [UNAUTHORIZED] * 3
    assert statuses(fleet, KEY) == [200] * 3


def test_keys_are_refused_while_the_store_lacks_the_configuration(fleet):
    """Another version may have been lost, which withdrew a key."""
    lose_two_versions(fleet, 2)
    fleet.restore_store()
    time.sleep(5)
    assert statuses(fleet, KEY) == [503] * 2
    fleet.publish(with_both_keys(3))
    time.sleep(0.5)
    assert statuses(fleet, KEY) == [200] * 2
