"""The scaffolding starts routers and agents and finds their addresses."""

from pytest_bdd import scenarios

scenarios('test_fleet.feature')
