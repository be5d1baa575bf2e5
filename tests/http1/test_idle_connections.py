"""Tests of the order in which idle connections are closed."""

from math import inf

from lagoonflow.clock import boottime_ms
from lagoonflow.http1.idle_connections import MIN_REST_MS, IdleConnections


class Connection:
    """A connection that counts how often it is looked at."""

    looks = 0

    def __init__(self, since_ms, *, has_input=False):
        self.since_ms = since_ms
        self._has_input = has_input

    def rests_since_ms(self):
        Connection.looks += 1
        return self.since_ms

    def close_if_idle(self):
        if not self._has_input:
            self.since_ms = inf
        return not self._has_input


def test_only_callers_that_wait_for_nothing_lose_their_connections_in_order():
    now_ms = boottime_ms()
    old, older = Connection(now_ms - 5000), Connection(now_ms - 9000)
    asking = Connection(now_ms - 9999, has_input=True)
    recent = Connection(now_ms - MIN_REST_MS / 10)
    idle = IdleConnections({Connection(inf), old, asking, recent, older})
    assert idle.close_one()
    assert older.since_ms == inf
    assert idle.close_one()
    assert old.since_ms == inf
    assert not idle.close_one()
    assert recent.since_ms < inf


def test_many_busy_connections_are_not_searched_for_each_new_one():
    Connection.looks = 0
    idle = IdleConnections({Connection(inf) for _ in range(3000)})
    assert not any(idle.close_one() for _ in range(100))
    assert Connection.looks < 20_000


def test_many_idle_connections_are_not_searched_for_each_new_one():
    Connection.looks = 0
    idle = IdleConnections({Connection(0) for _ in range(3000)})
    assert all(idle.close_one() for _ in range(500))
    assert Connection.looks < 50_000
