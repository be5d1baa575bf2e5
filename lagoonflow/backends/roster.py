"""Backend servers that are registered and may receive requests."""

import collections
import dataclasses
from collections.abc import Collection

from lagoonflow.backends.messages import BackendServer
from lagoonflow.backends.store_outages import StoreOutages

# Starts of servers that were removed are remembered up to this number.
MAX_REMOVED = 4096


@dataclasses.dataclass(slots=True)
class _Entry:
    """A backend server, and when its removal takes effect.

    :ivar put_number: number of its last record, of all that were put.
    :ivar first_listed_ms: when the current start of the server was first
        listed.
    :ivar removal_due_ms: when the entry is removed unless it is restored;
        ``None`` when it is not missing.
    """

    server: BackendServer
    put_number: int
    first_listed_ms: float
    removal_due_ms: float | None = None


class BackendRoster:
    """Tracks the registered backend servers.

    An entry that disappears shortly after an outage of the metadata store is
    kept until the platform has had time to restore it.

    :ivar outages: outages of the metadata store.
    """

    def __init__(self, outages: StoreOutages | None = None) -> None:
        """Start without servers."""
        self.outages = outages or StoreOutages()
        self._entries: dict[str, _Entry] = {}
        self._put_count = 0
        # The id of a server, and the wall clock of its start in ms.
        self._removed: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    def put(self, server: BackendServer, now_ms: float) -> bool:
        """Add or update an entry, in the order of the store's records.

        The starts under one id are told apart by ``started_ms`` but not ordered
        by it, as the clock of the server's machine may be set.

        :return: whether anything changed.
        """
        entry = self._entries.get(server.instance)
        first_listed_ms = now_ms
        if entry is not None and server.started_ms == entry.server.started_ms:
            first_listed_ms = entry.first_listed_ms
        self._removed.pop(_start(server), None)
        self._put_count += 1
        self._entries[server.instance] = _Entry(
            server, self._put_count, first_listed_ms
        )
        return entry is None or entry.server != server

    def remove(self, instance: str, now_ms: float) -> None:
        """Remove an entry, later if it may have expired during an outage."""
        entry = self._entries.get(instance)
        if entry is None or entry.removal_due_ms is not None:
            return
        due_ms = self.outages.doubtful_until_ms(now_ms)
        if due_ms > now_ms:
            entry.removal_due_ms = due_ms
        else:
            self._pop(instance)

    def replace(
        self,
        servers: list[BackendServer],
        now_ms: float,
        held: Collection[str] = (),
    ) -> None:
        """Replace all entries by a complete listing of the servers.

        :param held: ids of which the listing has no usable entry, but one of
            another writer; what is known of them stays.
        """
        for server in servers:
            self.put(server, now_ms)
        listed = {one.instance for one in servers}.union(held)
        missing = [name for name in self._entries if name not in listed]
        for name in missing:
            self.remove(name, now_ms)

    def is_removal_due(self, instance: str, now_ms: float) -> bool:
        """Return whether the grace period of a server's removal is over."""
        entry = self._entries.get(instance)
        if entry is None or entry.removal_due_ms is None:
            return False
        return entry.removal_due_ms <= now_ms

    def has_due_removals(self, now_ms: float) -> bool:
        """Return whether the grace period of any removal is over."""
        return any(self.is_removal_due(name, now_ms) for name in self._entries)

    def remove_expired(self, now_ms: float) -> list[BackendServer]:
        """Remove entries that were not restored in time, and return them."""
        due = [
            name for name in self._entries if self.is_removal_due(name, now_ms)
        ]
        return [self._pop(name) for name in due]

    def without_lost_changes(
        self, servers: list[BackendServer]
    ) -> list[BackendServer]:
        """Return a listing as it was before the store lost the last changes.

        Servers that were draining are again, and those that were removed are
        left out. Entries that are written later than the listing count as they
        are.
        """
        return [
            self._as_known(server)
            for server in servers
            if _start(server) not in self._removed
        ]

    def get(self, instance: str) -> BackendServer | None:
        """Return the server with an id, or ``None``."""
        entry = self._entries.get(instance)
        return None if entry is None else entry.server

    def listed_for_ms(self, instance: str, now_ms: float) -> float:
        """Return the time in ms since a server's current start was listed."""
        entry = self._entries.get(instance)
        return 0 if entry is None else now_ms - entry.first_listed_ms

    def all(self) -> list[BackendServer]:
        """Return all servers, including those that are draining."""
        return [entry.server for entry in self._entries.values()]

    def usable(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that accept new requests."""
        newest: dict[str, _Entry] = {}
        for entry in self._entries.values():
            server = entry.server
            if server.service != service or server.is_draining:
                continue
            other = newest.get(server.address)
            # Of several servers at one address, the last one to write its entry
            # owns it, as the others have ended.
            if other is None or other.put_number < entry.put_number:
                newest[server.address] = entry
        return [owner.server for owner in newest.values()]

    def _pop(self, instance: str) -> BackendServer:
        server = self._entries.pop(instance).server
        self._removed[_start(server)] = None
        if len(self._removed) > MAX_REMOVED:
            self._removed.popitem(last=False)
        return server

    def _as_known(self, server: BackendServer) -> BackendServer:
        entry = self._entries.get(server.instance)
        if entry is None or _start(entry.server) != _start(server):
            return server
        if server.is_draining or not entry.server.is_draining:
            return server
        return dataclasses.replace(
            server,
            is_draining=True,
            remaining_ms=entry.server.remaining_ms,
        )


def _start(server: BackendServer) -> tuple[str, int]:
    return server.instance, server.started_ms
