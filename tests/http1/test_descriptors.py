"""Tests of the marks beyond which connections are closed or refused."""

from math import inf

import pytest

from lagoonflow.http1 import descriptors
from lagoonflow.http1.descriptors import Descriptors, process_descriptors


@pytest.mark.parametrize('limit', [64, 1024, 4100, 1_048_576])
def test_callers_leave_descriptors_to_servers_and_these_to_control(limit):
    marks = Descriptors(limit)
    numbers = range(0, limit, max(limit // 1000, 1))
    callers = [one for one in numbers if not marks.is_beyond_callers(one)]
    accepted = [one for one in numbers if not marks.must_pause_accepting(one)]
    assert limit / 2 < max(callers) < max(accepted) < limit * 0.95


def test_callers_are_not_refused_where_numbers_are_not_used_again(monkeypatch):
    numbers = iter(range(5000))
    monkeypatch.setattr(descriptors, 'lowest_free', lambda: next(numbers))
    marks = process_descriptors(stated=64)
    assert not marks.is_beyond_callers(4000)
    assert marks.has_one_for_servers()


def test_a_pause_begins_where_no_descriptor_is_left():
    assert Descriptors().must_pause_accepting(inf)
