"""Bound on the memory of response bodies that are read whole."""

from lagoonflow.http1.messages import ExchangeError, ExchangeStage

# Each body may have this many bytes without counting, so that usual responses
# are read also while other servers send bytes without end.
FREE_BYTES = 65_536
# All larger bodies of the process together may have this many bytes.
SHARED_BYTES = 16_777_216


class BodyMemory:
    """Counts the bytes of large bodies, over all connections.

    :param shared_bytes: bytes that all bodies may have beyond their free ones.
    """

    def __init__(self, shared_bytes: int = SHARED_BYTES) -> None:
        """Start with no bodies."""
        self._left_bytes = shared_bytes

    def take(self, count: int) -> None:
        """Reserve memory for a part of a large body.

        :raises ExchangeError: when large bodies already use all memory.
        """
        if count > self._left_bytes:
            raise ExchangeError(
                ExchangeStage.ANSWERING, 'response bodies use too much memory'
            )
        self._left_bytes -= count

    def give_back(self, count: int) -> None:
        """Return memory that was reserved."""
        self._left_bytes += count


MEMORY = BodyMemory()


def reserve_part(body_bytes: int, part_bytes: int) -> int:
    """Reserve memory for a part of a body; return how much was reserved.

    :param body_bytes: bytes of the body, this part included.
    :raises ExchangeError: when large bodies already use all memory.
    """
    if body_bytes <= FREE_BYTES:
        return 0
    MEMORY.take(part_bytes)
    return part_bytes
