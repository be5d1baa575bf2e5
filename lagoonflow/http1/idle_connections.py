"""Closes idle connections of callers, the longest idle first."""

import collections
import heapq
from collections.abc import Collection
from typing import Protocol

from lagoonflow.clock import boottime_ms

# A connection that has rested for less time is kept, as its next request may be
# on its way, in ms.
MIN_REST_MS = 300
# Connections that are found by one search, which looks at all of them.
FOUND_AT_ONCE = 64
# Time after a search without success in which none is made, in ms.
SEARCH_PAUSE_MS = 20


class CallerConnection(Protocol):
    """A connection that may be idle."""

    def rests_since_ms(self) -> float:
        """Return the boot time since which it rests; infinite if it doesn't."""

    def close_if_idle(self) -> bool:
        """Close it unless its caller has sent something; return whether."""


class IdleConnections:
    """Finds the connections that have rested longest.

    :param connections: all connections, which change meanwhile.
    """

    def __init__(self, connections: Collection[CallerConnection]) -> None:
        """Start without a search."""
        self._connections = connections
        self._found: collections.deque[CallerConnection] = collections.deque()
        self._search_again_at_ms: float = 0

    def close_one(self) -> bool:
        """Close the connection that rests longest; return whether one does."""
        now_ms = boottime_ms()
        if not self._found and now_ms >= self._search_again_at_ms:
            self._search(now_ms)
        while self._found:
            oldest = self._found.popleft()
            has_rested = oldest.rests_since_ms() <= now_ms - MIN_REST_MS
            if has_rested and oldest.close_if_idle():
                return True
        return False

    def _search(self, now_ms: float) -> None:
        oldest = heapq.nsmallest(
            FOUND_AT_ONCE,
            self._connections,
            key=lambda one: one.rests_since_ms(),
        )
        self._found.extend(
            one
            for one in oldest
            if one.rests_since_ms() <= now_ms - MIN_REST_MS
        )
        if not self._found:
            self._search_again_at_ms = now_ms + SEARCH_PAUSE_MS
