"""Bounds on the bytes of requests that each server holds, over all routers.

The load: many routers send requests with large bodies to the same server, which
reads or answers them slowly and crashes when their bytes exceed its memory. Half
of the bound is divided evenly among the routers. Bodies that exceed such a share
use the other half: a few routers, chosen for each server by rendezvous hashing,
may each send one at a time.
"""

import contextlib
import dataclasses
from collections.abc import Iterable, Iterator

import structlog

from lagoonflow.clock import Clock
from lagoonflow.waking.copies import rendezvous_weight

# Bytes of requests that a server holds at most: bodies have 4 MB at most, and
# no server states its memory.
SERVER_BYTES = 33_554_432
# Each request takes this much at a server beside its body.
REQUEST_BYTES = 1024
# Longest request that may exceed its router's share; three routers may each
# send one to a server at the same time.
MAX_LARGE_BYTES = 4_194_304 + REQUEST_BYTES
# Number of routers that is assumed until the other routers are known: as many
# as the largest fleets have.
UNKNOWN_ROUTERS = 100
# A server at its bound costs at least this wait, so that any other server that
# has room is preferred, in ms.
MIN_WAIT_MS = 50
MAX_WAIT_MS = 5000
# Weight of the latest request in the mean time for which requests are held.
NEWEST_WEIGHT = 0.1
# Time for which a request is held before one was seen to end, in ms.
FIRST_MEAN_MS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    """A request that a server holds, and since when."""

    size_bytes: int
    is_large: bool
    began_ms: float


@dataclasses.dataclass(slots=True)
class _ServerRequests:
    """Requests of this router that one server holds."""

    held: dict[int, _Held] = dataclasses.field(default_factory=dict)
    mean_ms: float = FIRST_MEAN_MS
    is_full: bool = False

    def held_bytes(self, *, is_large: bool) -> int:
        """Return the bytes of the large or the other requests."""
        return sum(
            one.size_bytes
            for one in self.held.values()
            if one.is_large == is_large
        )

    def room_in_ms(self, now_ms: float, *, is_large: bool) -> float:
        """Estimate when the oldest request ends, in ms."""
        oldest_ms = min(
            one.began_ms
            for one in self.held.values()
            if one.is_large == is_large
        )
        left_ms = oldest_ms + self.mean_ms - now_ms
        return min(max(left_ms, MIN_WAIT_MS), MAX_WAIT_MS)


class HeldBytes:
    """Counts the bytes of requests that servers hold for this router.

    Without a bound it lets everything pass.

    :param own_name: name of this router.
    """

    def __init__(self, own_name: str = '') -> None:
        """Start without a bound, with as many routers as there may be."""
        self._own_name = own_name
        self._server_bytes = float('inf')
        self._routers: tuple[str, ...] = ()
        self._servers: dict[str, _ServerRequests] = {}
        self._log = structlog.get_logger(part='servers')

    def set_bound(
        self, own_name: str, server_bytes: float = SERVER_BYTES
    ) -> None:
        """Bound what each server holds of all routers together."""
        self._own_name = own_name
        self._server_bytes = server_bytes

    def update_routers(self, others: Iterable[str]) -> None:
        """Set the other routers, once they are known."""
        self._routers = (self._own_name, *others)

    @property
    def most_bytes(self) -> int:
        """Bytes that the server with most of this router's requests holds."""
        return max(
            (
                requests.held_bytes(is_large=False)
                + requests.held_bytes(is_large=True)
                for requests in self._servers.values()
            ),
            default=0,
        )

    def call_count(self, instance: str) -> int:
        """Return how many calls a server has, each from its choice on."""
        requests = self._servers.get(instance)
        return 0 if requests is None else len(requests.held)

    def wait_ms(self, instance: str, body_bytes: int, now_ms: float) -> float:
        """Return the time until a server has room for a request, in ms.

        It is an estimate, except 0 for room now, and infinity where this
        router may not send a request of the size.
        """
        if self._server_bytes == float('inf'):
            return 0
        requests = self._servers.get(instance, _ServerRequests())
        size_bytes = body_bytes + REQUEST_BYTES
        share_bytes = self._share_bytes()
        if size_bytes <= share_bytes:
            held_bytes = requests.held_bytes(is_large=False)
            has_room = held_bytes + size_bytes <= share_bytes
            is_large = False
        else:
            if not self._may_send_large(instance, size_bytes):
                return float('inf')
            has_room = not requests.held_bytes(is_large=True)
            is_large = True
        if has_room:
            return 0
        if not requests.is_full:
            requests.is_full = True
            self._log.info(
                'server holds its share of request bytes',
                server=instance,
                held_bytes=requests.held_bytes(is_large=is_large),
                share_bytes=int(share_bytes),
                routers=len(self._routers) or UNKNOWN_ROUTERS,
            )
        if not requests.held_bytes(is_large=is_large):
            return MIN_WAIT_MS
        return requests.room_in_ms(now_ms, is_large=is_large)

    def take(
        self, instance: str, call_id: int, body_bytes: int, now_ms: float
    ) -> None:
        """Count a request that is about to be sent to a server."""
        requests = self._servers.setdefault(instance, _ServerRequests())
        size_bytes = body_bytes + REQUEST_BYTES
        is_large = size_bytes > self._share_bytes()
        requests.held[call_id] = _Held(size_bytes, is_large, now_ms)

    @contextlib.contextmanager
    def sending(
        self, instance: str, call_id: int, clock: Clock
    ) -> Iterator[None]:
        """Stop counting a request at the end of the context."""
        try:
            yield
        finally:
            self.release(instance, call_id, clock())

    def release(self, instance: str, call_id: int, now_ms: float) -> None:
        """Stop counting a request that has ended."""
        requests = self._servers.get(instance)
        held = None if requests is None else requests.held.pop(call_id, None)
        if held is None:
            return
        took_ms = now_ms - held.began_ms
        requests.mean_ms += NEWEST_WEIGHT * (took_ms - requests.mean_ms)
        if requests.is_full and not requests.held:
            requests.is_full = False
            self._log.info('server has room for requests', server=instance)

    def forget(self, instances: list[str]) -> None:
        """Drop the counts of servers that were removed."""
        for instance in instances:
            self._servers.pop(instance, None)

    def _share_bytes(self) -> float:
        count = len(self._routers) or UNKNOWN_ROUTERS
        return self._server_bytes / 2 / count

    def _may_send_large(self, instance: str, size_bytes: int) -> bool:
        """Return whether this router may send a body above its share."""
        places = int(self._server_bytes / 2 // MAX_LARGE_BYTES)
        ranking = sorted(self._routers, key=rendezvous_weight(instance))
        return size_bytes <= MAX_LARGE_BYTES and (
            self._own_name in ranking[:places]
        )
