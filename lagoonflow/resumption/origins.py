"""Table of the streams that callers may resume."""

import collections
import dataclasses

from lagoonflow.resumption.messages import StreamOrigin

# Streams remembered at most; the oldest are dropped first.
MAX_ORIGINS = 20_000
# Own entries are repeated at this interval, in ms, for routers that missed the
# first message or have started since.
REPEAT_INTERVAL_MS = 1000
REPEATS = 3
# Entries in one message at most, so that it fits into a datagram.
MAX_SENT = 500
# Streams with longer ids are known to this router only: callers choose the ids,
# and one that is as long as a datagram would keep all others from being sent.
MAX_SENT_ID_CHARS = 256
# Bytes of one entry in a message beside its texts.
ENTRY_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class OriginPage:
    """Part of the table.

    :param next_number: number after which the next page begins.
    :param is_last: whether the table had no more entries.
    """

    origins: tuple[StreamOrigin, ...]
    next_number: int
    is_last: bool


class StreamOrigins:
    """Remembers which software version began each resumable stream.

    Entries come from this router's calls and from other routers.

    :ivar is_known: whether the streams that began before this router's start
        were learnt from another router, or can't be any more.
    """

    def __init__(self) -> None:
        """Start without streams."""
        self.is_known = True
        self._origins: collections.OrderedDict[str, StreamOrigin] = (
            collections.OrderedDict()
        )
        self._repeats_left: dict[str, int] = {}
        self._own: set[str] = set()
        self._unsent: list[StreamOrigin] = []
        self._repeated_at_ms = float('-inf')
        # Entries are numbered in the order in which they became known.
        self._ids: dict[int, str] = {}
        self._numbers: dict[str, int] = {}
        self._last_number = 0

    def __len__(self) -> int:
        """Return the number of remembered streams."""
        return len(self._origins)

    def record(self, origin: StreamOrigin, now_ms: float) -> None:
        """Add a stream of this router, to be sent to the others."""
        self.learn(origin, now_ms)
        if not is_sendable(origin):
            return
        self._own.add(origin.request_id)
        self._repeats_left[origin.request_id] = REPEATS
        self._unsent.append(origin)

    def learn(self, origin: StreamOrigin, now_ms: float) -> None:
        """Add a stream; the version that is already known is kept."""
        known = self._origins.get(origin.request_id)
        if known is None or known.expires_at_ms <= now_ms:
            self._drop(origin.request_id)
            self._add(origin)
        while len(self._origins) > MAX_ORIGINS:
            self._drop(next(iter(self._origins)))

    def find(self, request_id: str, now_ms: float) -> StreamOrigin | None:
        """Return the origin of a stream, unless it is unknown or expired."""
        origin = self._origins.get(request_id)
        if origin is None or origin.expires_at_ms <= now_ms:
            return None
        return origin

    def page_after(
        self, number: int, max_bytes: int, now_ms: float
    ) -> OriginPage:
        """Return entries in the order in which they became known.

        :param number: ``next_number`` of the page before; 0 for the first.
        :param max_bytes: size of the page, in bytes.
        """
        origins: list[StreamOrigin] = []
        left_bytes = max_bytes
        first = next(iter(self._ids), self._last_number + 1)
        number = max(number, first - 1)
        while number < self._last_number:
            request_id = self._ids.get(number + 1)
            origin = (
                None if request_id is None else self.find(request_id, now_ms)
            )
            if origin is not None and is_sendable(origin):
                left_bytes -= size_bytes(origin)
                if left_bytes < 0 and origins:
                    return OriginPage(tuple(origins), number, is_last=False)
                origins.append(origin)
            number += 1
        return OriginPage(tuple(origins), number, is_last=True)

    def repeat_own(self) -> None:
        """Send the streams of this router again, as others may lack them."""
        self._repeats_left.update(dict.fromkeys(self._own, REPEATS))

    def take_due(self, now_ms: float) -> list[StreamOrigin]:
        """Return the entries to send to the other routers now.

        These are new ones and, once per interval, those to be repeated.
        """
        due = self._unsent
        self._unsent = []
        if now_ms - self._repeated_at_ms >= REPEAT_INTERVAL_MS:
            self._repeated_at_ms = now_ms
            self._drop_expired(now_ms)
            due = self._take_repeats()
        return due[-MAX_SENT:]

    def _take_repeats(self) -> list[StreamOrigin]:
        repeats = [self._origins[one] for one in self._repeats_left]
        self._repeats_left = {
            request_id: left - 1
            for request_id, left in self._repeats_left.items()
            if left > 1
        }
        return repeats

    def _drop_expired(self, now_ms: float) -> None:
        expired = [
            origin.request_id
            for origin in self._origins.values()
            if origin.expires_at_ms <= now_ms
        ]
        for request_id in expired:
            self._drop(request_id)

    def _add(self, origin: StreamOrigin) -> None:
        self._origins[origin.request_id] = origin
        self._last_number += 1
        self._ids[self._last_number] = origin.request_id
        self._numbers[origin.request_id] = self._last_number

    def _drop(self, request_id: str) -> None:
        if self._origins.pop(request_id, None) is None:
            return
        self._ids.pop(self._numbers.pop(request_id))
        self._repeats_left.pop(request_id, None)
        self._own.discard(request_id)


def is_sendable(origin: StreamOrigin) -> bool:
    """Return whether other routers may be told of a stream."""
    return len(origin.request_id) <= MAX_SENT_ID_CHARS


def size_bytes(origin: StreamOrigin) -> int:
    """Return about how many bytes an entry takes in a message."""
    texts = origin.request_id, origin.service, origin.software_version
    return ENTRY_BYTES + sum(len(text.encode()) for text in texts)
