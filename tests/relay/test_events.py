"""Tests of the boundaries of server-sent events."""

import pytest

from lagoonflow.relay.events import EventBoundary


@pytest.mark.parametrize(
    'stream',
    [
        b'',
        b'data: a\n\n',
        b'data: a\r\n\r\n',
        b'data: a\r\r',
        b'data: a\n\r\n',
        b'\n',
        b': ping\n\n\n',
    ],
)
def test_a_stream_ends_between_events_after_an_empty_line(stream):
    assert not _is_inside_event(stream)


@pytest.mark.parametrize(
    'stream',
    [b'd', b'data: a', b'data: a\n', b'data: a\r\n', b'a\n\nid: 2\n'],
)
def test_a_stream_without_an_empty_line_at_its_end_is_inside_an_event(stream):
    assert _is_inside_event(stream)


def _is_inside_event(stream: bytes) -> bool:
    """Feed a stream byte by byte, and once as a whole."""
    whole, single = EventBoundary(), EventBoundary()
    whole.feed(stream)
    for index in range(len(stream)):
        single.feed(stream[index : index + 1])
    assert whole.is_inside_event == single.is_inside_event
    return whole.is_inside_event
