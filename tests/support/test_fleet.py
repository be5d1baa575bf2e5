"""A cluster starts routers and agents, finds their addresses, ends them."""

from pytest_bdd import scenarios

scenarios('test_fleet.feature')
