"""Splitting of an event stream into complete server-sent events."""

_TERMINATORS = (b'\n\n', b'\r\n\r\n')
_ID_FIELD = b'id:'


class EventSplitter:
    """Buffers a stream's bytes until they make up complete events.

    :ivar last_id: id of the last complete event, at first the one to start
        after; empty for none.
    """

    def __init__(self, last_id: str = '') -> None:
        """Start after the event ``last_id``, or at the beginning if empty."""
        self.last_id = last_id
        self._buffer = bytearray()

    @property
    def incomplete(self) -> bytes:
        """Bytes received after the last complete event."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events that they complete.

        Events that the caller already has are left out. These are events with
        a number up to ``last_id`` or, if ids are not numbers, with that id.
        """
        self._buffer += data
        out = bytearray()
        end = _event_end(self._buffer)
        while end is not None:
            event = bytes(self._buffer[:end])
            self._buffer = self._buffer[end:]
            end = _event_end(self._buffer)
            event_id = _event_id(event)
            if event_id and not _follows(event_id, self.last_id):
                continue
            self.last_id = event_id or self.last_id
            out += event
        return bytes(out)

    def discard_incomplete(self) -> None:
        """Discard the incomplete event at the end of a broken stream."""
        self._buffer.clear()


def _event_end(buffer: bytearray) -> int | None:
    ends = [
        start + len(terminator)
        for terminator in _TERMINATORS
        if (start := buffer.find(terminator)) >= 0
    ]
    return min(ends, default=None)


def _event_id(event: bytes) -> str:
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode('latin-1')
    return ''


def _follows(event_id: str, last_id: str) -> bool:
    if not last_id:
        return True
    if event_id.isdecimal() and last_id.isdecimal():
        return int(event_id) > int(last_id)
    return event_id != last_id
