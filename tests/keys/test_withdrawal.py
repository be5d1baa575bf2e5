"""Withdrawal of keys in a fleet of real processes."""

from pytest_bdd import scenarios

scenarios('test_withdrawal.feature')
