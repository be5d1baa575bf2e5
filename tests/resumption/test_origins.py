"""Tests of the table of streams that callers may resume."""

from lagoonflow.resumption import origins as module
from lagoonflow.resumption.messages import StreamOrigin
from lagoonflow.resumption.origins import (
    MAX_SENT_ID_CHARS,
    REPEAT_INTERVAL_MS,
    REPEATS,
    StreamOrigins,
    size_bytes,
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


def pages(table, max_bytes, now_ms=0):
    """Return the ids of each page."""
    found, number, is_last = [], 0, False
    while not is_last:
        page = table.page_after(number, max_bytes, now_ms)
        found.append([one.request_id for one in page.origins])
        number, is_last = page.next_number, page.is_last
    return found


def test_the_table_is_told_page_by_page_in_order():
    table = StreamOrigins()
    for request_id in 'abcde':
        table.learn(origin(request_id), 0)
    two = 2 * size_bytes(origin('a'))
    assert pages(table, two) == [['a', 'b'], ['c', 'd'], ['e']]
    assert pages(table, 1) == [['a'], ['b'], ['c'], ['d'], ['e']]
    assert pages(StreamOrigins(), two) == [[]]


def test_a_page_goes_on_although_streams_before_it_have_expired():
    table = StreamOrigins()
    for number in range(6):
        table.learn(origin(f'{number}', expires_at_ms=100 + number), 0)
    first = table.page_after(0, 3 * size_bytes(origin('0')), 0)
    table.take_due(102)
    rest = table.page_after(first.next_number, 1000, 102)
    assert [one.request_id for one in rest.origins] == ['3', '4', '5']
    assert rest.is_last


def test_a_stream_that_begins_while_pages_are_told_is_on_the_last_one():
    table = StreamOrigins()
    table.learn(origin('a'), 0)
    table.learn(origin('b'), 0)
    first = table.page_after(0, 1, 0)
    table.learn(origin('c'), 0)
    rest = table.page_after(first.next_number, 1000, 0)
    assert [one.request_id for one in rest.origins] == ['b', 'c']


def test_a_long_id_keeps_no_other_streams_from_being_sent():
    """A message that is longer than a datagram is dropped as a whole."""
    table = StreamOrigins()
    table.take_due(0)
    table.record(origin('x' * (MAX_SENT_ID_CHARS + 1)), 0)
    table.record(origin('a'), 0)
    assert table.take_due(0) == [origin('a')]
    assert pages(table, 10_000) == [['a']]
    assert table.find('x' * (MAX_SENT_ID_CHARS + 1), 0) is not None


def test_own_streams_are_repeated_for_routers_that_were_not_reached():
    table = StreamOrigins()
    table.record(origin('a', expires_at_ms=90_000), 0)
    table.learn(origin('b', expires_at_ms=90_000), 0)
    for number in range(REPEATS + 2):
        table.take_due(number * REPEAT_INTERVAL_MS)
    table.repeat_own()
    now_ms = (REPEATS + 3) * REPEAT_INTERVAL_MS
    assert [one.request_id for one in table.take_due(now_ms)] == ['a']
