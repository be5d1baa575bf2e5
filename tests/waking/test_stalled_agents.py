"""Tests of an agent whose event loop stands still."""

import pytest

from lagoonflow.waking.demand import (
    LOAD_REQUEST_TTL_MS,
    ROUTER_STATE_TTL_MS,
    Demand,
)
from tests.waking.builders import NOW_MS, load_request, router_state


@pytest.mark.parametrize('is_stalled', [False, True])
def test_routers_and_their_requests_are_kept_during_a_stall(is_stalled):
    stalled_ms = 0
    demand = Demand(lambda: stalled_ms)
    demand.record_state(router_state(load_request('m1')), NOW_MS)
    later_ms = NOW_MS + ROUTER_STATE_TTL_MS + 100
    stalled_ms = later_ms - NOW_MS if is_stalled else 0
    assert bool(demand.requested_loads(later_ms)) == is_stalled
    assert bool(demand.router_addresses(later_ms)) == is_stalled
    # What is silent after the stall is dropped as before.
    later_ms += LOAD_REQUEST_TTL_MS + 100
    assert not demand.requested_loads(later_ms)
