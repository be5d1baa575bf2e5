"""Requests that the other routers have in flight, as they state themselves.

Handles load that many routers send to the same servers at the same moment:
without it, a router learns of the others' requests only by the load reports
in its own answers, which are rarer than requests end.
"""

import collections
import dataclasses
import functools
from collections.abc import Mapping

import xxhash

# A router that was not heard from for this long is no longer counted. Routers
# repeat unchanged counts more often than twice in this time.
PEER_FRESH_MS = 1000
# Routers remembered at most; further ones are ignored.
MAX_PEERS = 1024
# Servers that one router may count at most; more is not plausible.
MAX_COUNTS = 512
MAX_CACHED_IDS = 4096


@functools.lru_cache(maxsize=MAX_CACHED_IDS)
def short_id(instance: str) -> int:
    """Return a 32-bit id of a server, which keeps datagrams small."""
    return xxhash.xxh32_intdigest(instance.encode())


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerCounts:
    """What a router stated last.

    :param order: start of the router and number of the statement.
    """

    order: tuple[int, int]
    received_ms: float
    counts: Mapping[int, int]


class PeerLoads:
    """Adds up the requests that the other routers have in flight."""

    def __init__(self) -> None:
        """Start without other routers."""
        self._peers: dict[str, _PeerCounts] = {}
        self._totals: collections.Counter[int] = collections.Counter()

    def hear(
        self,
        router: str,
        order: tuple[int, int],
        counts: Mapping[int, int],
        now_ms: float,
    ) -> bool:
        """Replace what a router has stated; tell whether it was accepted.

        Statements that arrive out of order, and implausible ones, are ignored.

        :param order: start of the router and number of the statement.
        :param counts: its requests in flight by :func:`short_id`.
        """
        known = self._peers.get(router)
        if known is None and len(self._peers) >= MAX_PEERS:
            return False
        if known is not None and order <= known.order:
            return False
        if len(counts) > MAX_COUNTS or any(
            count < 0 for count in counts.values()
        ):
            return False
        self._forget(router)
        self._peers[router] = _PeerCounts(order, now_ms, counts)
        self._totals.update(counts)
        return True

    def drop_silent(self, now_ms: float) -> list[str]:
        """Stop counting routers that have fallen silent; return them."""
        silent = [
            router
            for router, known in self._peers.items()
            if now_ms - known.received_ms > PEER_FRESH_MS
        ]
        for router in silent:
            self._forget(router)
        return silent

    def total(self, instance: str) -> int:
        """Return the other routers' requests in flight at a server."""
        return self._totals[short_id(instance)]

    def _forget(self, router: str) -> None:
        known = self._peers.pop(router, None)
        if known is None:
            return
        self._totals.subtract(known.counts)
        for server in known.counts:
            if not self._totals[server]:
                self._totals.pop(server)
