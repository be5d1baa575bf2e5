"""Boundaries of server-sent events in an event stream."""

# Longest event of a stream that can be resumed; it is kept until it is whole.
MAX_EVENT_BYTES = 262_144
_TERMINATORS = (b'\n\n', b'\r\n\r\n')
_ID_FIELD = b'id:'


_LINE_ENDS = (b'\r\n', b'\n', b'\r')


class EventBoundary:
    """Tells whether a stream's bytes so far end between two events.

    An event ends with an empty line.
    """

    def __init__(self) -> None:
        """Start at the beginning of a stream."""
        self._last_bytes = b'\n\n'

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes so far end inside an event."""
        return not _without_line_end(self._last_bytes).endswith(_LINE_ENDS)

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        # Two line ends have at most four bytes.
        self._last_bytes = (self._last_bytes + data[-4:])[-4:]


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

    @property
    def incomplete_bytes(self) -> int:
        """Number of bytes received after the last complete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events that they complete.

        Events that the caller already has are left out. These are events with
        a number up to ``last_id`` or, if ids are not numbers, with that id.
        """
        self._buffer += data
        out = bytearray()
        start = 0
        end = _event_end(self._buffer, start)
        while end is not None:
            event = bytes(self._buffer[start:end])
            start = end
            end = _event_end(self._buffer, start)
            event_id = _event_id(event)
            if event_id and not _follows(event_id, self.last_id):
                continue
            self.last_id = event_id or self.last_id
            out += event
        self._buffer = self._buffer[start:]
        return bytes(out)

    @property
    def is_too_long(self) -> bool:
        """Whether more bytes than an event may have came without its end."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def discard_incomplete(self) -> None:
        """Discard the incomplete event at the end of a broken stream."""
        self._buffer.clear()


def _event_end(buffer: bytearray, start: int) -> int | None:
    end: int | None = None
    for terminator in _TERMINATORS:
        # Only an earlier end matters, so the search stops at the known one.
        found = buffer.find(terminator, start, end)
        if found >= 0:
            end = found + len(terminator)
    return end


def _without_line_end(text: bytes) -> bytes:
    for line_end in _LINE_ENDS:
        if text.endswith(line_end):
            return text.removesuffix(line_end)
    return b''


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
