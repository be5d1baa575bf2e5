"""Bodies of requests, long ones in parts of one size.

The load: many callers send bodies of some MB at once, again and again. Buffers
that grow side by side leave gaps on the heap into which later ones don't fit, so
that the process keeps several times the memory of its bodies.
"""

from collections.abc import Iterator

# Size of a part. Shorter bodies stay whole.
PART_BYTES = 65_536


class LongBody:
    """A body that is kept in parts, so that it is never copied as a whole."""

    def __init__(self) -> None:
        """Start with an empty body."""
        self._parts: list[bytearray] = []
        self._length_bytes = 0

    def __len__(self) -> int:
        """Return the length in bytes."""
        return self._length_bytes

    def __iter__(self) -> Iterator[bytearray]:
        """Return the parts in their order; all but the last have one size."""
        return iter(self._parts)

    def __bytes__(self) -> bytes:
        """Return a copy of the whole body."""
        return b''.join(self._parts)

    def clear(self) -> None:
        """Release the parts."""
        self._parts.clear()
        self._length_bytes = 0

    def append(self, received: bytes | bytearray) -> None:
        """Add bytes to the end."""
        self._length_bytes += len(received)
        rest = memoryview(received)
        while rest:
            if not self._parts or len(self._parts[-1]) >= PART_BYTES:
                self._parts.append(bytearray())
            room_bytes = PART_BYTES - len(self._parts[-1])
            self._parts[-1] += rest[:room_bytes]
            rest = rest[room_bytes:]


Body = bytes | LongBody


def parts_of(body: Body) -> Iterator[bytes | bytearray]:
    """Return the parts of a body; none of an empty one."""
    if isinstance(body, LongBody):
        yield from body
    elif body:
        yield body


def shortened(body: LongBody) -> Body:
    """Return a body that has been read; a short one as plain bytes."""
    return body if len(body) > PART_BYTES else bytes(body)
