"""Recent record ids, for ignoring repeated records."""

from collections.abc import Iterable

import xxhash

MAX_SEEN_IDS = 1024


class SeenIds:
    """Stores digests of the most recent record ids.

    :param digests: digests to start with, oldest first.
    """

    def __init__(self, digests: Iterable[str] = ()) -> None:
        self._digests = dict.fromkeys(digests)

    def add(self, record_id: str) -> bool:
        """Store an id.

        :returns: false when it is stored already.
        """
        digest = xxhash.xxh64_hexdigest(record_id.encode())
        if digest in self._digests:
            return False
        self._digests[digest] = None
        if len(self._digests) > MAX_SEEN_IDS:
            self._digests.pop(next(iter(self._digests)))
        return True

    def digests(self) -> tuple[str, ...]:
        """Return the stored digests, oldest first."""
        return tuple(self._digests)
