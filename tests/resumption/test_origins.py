"""Tests of the table of streams that callers may resume."""

from lagoonflow.resumption import origins as module
from lagoonflow.resumption.messages import StreamOrigin
from lagoonflow.resumption.origins import (
    REPEAT_INTERVAL_MS,
    REPEATS,
    StreamOrigins,
)


def origin(request_id, version='v1', expires_at_ms=10_000):
    return StreamOrigin(request_id, 'llm', version, expires_at_ms)


def test_a_stream_is_known_until_it_expires():
    table = StreamOrigins()
    table.learn(origin('a', expires_at_ms=500), 0)
    assert table.find('a', 499) == origin('a', expires_at_ms=500)
    assert table.find('a', 500) is None


def test_a_later_claim_does_not_change_the_version_of_a_stream():
    table = StreamOrigins()
    table.learn(origin('a', 'v1'), 0)
    table.learn(origin('a', 'v2'), 1)
    assert table.find('a', 2).software_version == 'v1'


def test_a_new_stream_is_sent_at_once_and_repeated():
    table = StreamOrigins()
    table.take_due(0)
    table.record(origin('a'), 10)
    assert table.take_due(10) == [origin('a')]
    assert not table.take_due(20)
    for number in range(1, REPEATS + 1):
        assert table.take_due(number * REPEAT_INTERVAL_MS) == [origin('a')]
    assert not table.take_due((REPEATS + 1) * REPEAT_INTERVAL_MS)


def test_streams_of_other_routers_are_not_sent():
    table = StreamOrigins()
    table.learn(origin('a'), 0)
    assert not table.take_due(REPEAT_INTERVAL_MS)


def test_expired_streams_are_neither_sent_nor_kept():
    table = StreamOrigins()
    table.record(origin('a', expires_at_ms=100), 0)
    assert not table.take_due(REPEAT_INTERVAL_MS)
    assert not len(table)


def test_the_oldest_streams_are_dropped_beyond_the_limit(monkeypatch):
    monkeypatch.setattr(module, 'MAX_ORIGINS', 2)
    table = StreamOrigins()
    for request_id in ('a', 'b', 'c'):
        table.record(origin(request_id), 0)
    assert table.find('a', 1) is None
    assert table.take_due(REPEAT_INTERVAL_MS) == [origin('b'), origin('c')]
