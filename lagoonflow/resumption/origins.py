"""Table of the streams that callers may resume."""

import collections

from lagoonflow.resumption.messages import StreamOrigin

# Streams remembered at most; the oldest are dropped first.
MAX_ORIGINS = 20_000
# Own entries are repeated at this interval, in ms, for routers that missed the
# first message or have started since.
REPEAT_INTERVAL_MS = 1000
REPEATS = 3
# Entries in one message at most, so that it fits into a datagram.
MAX_SENT = 500


class StreamOrigins:
    """Remembers which software version began each resumable stream.

    Entries come from this router's calls and from other routers.
    """

    def __init__(self) -> None:
        """Start without streams."""
        self._origins: collections.OrderedDict[str, StreamOrigin] = (
            collections.OrderedDict()
        )
        self._repeats_left: dict[str, int] = {}
        self._unsent: list[StreamOrigin] = []
        self._repeated_at_ms = float('-inf')

    def __len__(self) -> int:
        """Return the number of remembered streams."""
        return len(self._origins)

    def record(self, origin: StreamOrigin, now_ms: float) -> None:
        """Add a stream of this router, to be sent to the others."""
        self.learn(origin, now_ms)
        self._repeats_left[origin.request_id] = REPEATS
        self._unsent.append(origin)

    def learn(self, origin: StreamOrigin, now_ms: float) -> None:
        """Add a stream; the version that is already known is kept."""
        known = self._origins.get(origin.request_id)
        if known is None or known.expires_at_ms <= now_ms:
            self._origins[origin.request_id] = origin
            self._origins.move_to_end(origin.request_id)
        while len(self._origins) > MAX_ORIGINS:
            request_id, _ = self._origins.popitem(last=False)
            self._repeats_left.pop(request_id, None)

    def find(self, request_id: str, now_ms: float) -> StreamOrigin | None:
        """Return the origin of a stream, unless it is unknown or expired."""
        origin = self._origins.get(request_id)
        if origin is None or origin.expires_at_ms <= now_ms:
            return None
        return origin

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
            self._origins.pop(request_id)
            self._repeats_left.pop(request_id, None)
