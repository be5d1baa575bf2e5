"""Bound on the memory of request bodies, over all connections of a process.

The load: many callers send large bodies at once, or servers take them slowly.
Bodies beyond the bound are refused while they are read, so that the requests
have not run and their callers can use another router.
"""

# Memory limit of the smallest hosts; assumed where none is stated.
SMALLEST_MEMORY_BYTES = 200_000_000
# Memory for everything else: 50 MB for the program and a large configuration,
# 40 MB for answers that wait for their callers, 35 MB for input that 60 callers
# have sent and that isn't parsed yet, the rest for objects of calls.
RESERVED_BYTES = 160_000_000
# A process may hold a few of the largest bodies however little memory it has.
MIN_TOTAL_BYTES = 16_777_216
# So much of each body doesn't count, so that usual requests are served also
# while large ones use all memory.
FREE_BYTES = 4096


class BodiesTooLargeError(Exception):
    """The bodies of all requests together use too much memory."""


def bodies_bound(memory_bytes: int) -> int:
    """Return how many bytes the bodies of all requests may have together.

    :param memory_bytes: memory limit of the process; 0 when it isn't known.
    """
    rest_bytes = (memory_bytes or SMALLEST_MEMORY_BYTES) - RESERVED_BYTES
    return max(rest_bytes, MIN_TOTAL_BYTES)


class RequestBodies:
    """Counts the bytes of the bodies of requests that have not ended.

    :param total_bytes: bytes that all bodies may have beyond their free ones.
    """

    def __init__(self, total_bytes: int) -> None:
        """Start with no bodies."""
        self._left_bytes = total_bytes

    def try_take(self, count: int) -> bool:
        """Reserve memory; return whether there was enough."""
        if count > self._left_bytes:
            return False
        self._left_bytes -= count
        return True

    def give_back(self, count: int) -> None:
        """Return memory that was reserved."""
        self._left_bytes += count


class HeldBody:
    """Memory of the body of the current request of a connection."""

    def __init__(self, bodies: RequestBodies) -> None:
        """Start with no body."""
        self._bodies = bodies
        self._taken_bytes = 0

    def grow(self, body_bytes: int) -> None:
        """Reserve memory for a body that was read up to a length.

        :raises BodiesTooLargeError: when all bodies use too much memory.
        """
        count = max(body_bytes - FREE_BYTES, 0) - self._taken_bytes
        if count <= 0:
            return
        if not self._bodies.try_take(count):
            raise BodiesTooLargeError
        self._taken_bytes += count

    def release(self) -> None:
        """Return the memory, as the request has ended."""
        self._bodies.give_back(self._taken_bytes)
        self._taken_bytes = 0
