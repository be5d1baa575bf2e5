"""Withdrawal of keys, with real processes."""

from pytest_bdd import scenarios

scenarios('test_withdrawal.feature')
