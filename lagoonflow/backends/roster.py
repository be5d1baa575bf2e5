"""Backend servers that are registered and may receive requests."""

import dataclasses

from lagoonflow.backends.messages import BackendServer

# After an outage of the metadata store, the platform takes up to this long to
# restore the entries that expired during it.
RESTORE_GRACE_MS = 2000
# A store counts as stable when it has not failed for this long.
STORE_STABLE_AFTER_MS = 3000
# More removals at once than this are taken for entries that expired during an
# outage of the store, not for crashes of servers.
MAX_REMOVED_AT_ONCE = 2


@dataclasses.dataclass(slots=True)
class _Entry:
    """A backend server, and when its removal takes effect.

    :ivar first_listed_ms: when the current start of the server was first
        listed.
    :ivar removal_due_ms: when the entry is removed unless it is restored;
        ``None`` when it is not missing.
    """

    server: BackendServer
    first_listed_ms: float
    removal_due_ms: float | None = None


class BackendRoster:
    """Tracks the registered backend servers.

    An entry that disappears while the metadata store fails, or shortly after,
    is kept until the platform has had time to restore it.
    """

    def __init__(self) -> None:
        """Start without servers."""
        self._entries: dict[str, _Entry] = {}
        self._store_failed_at_ms = float('-inf')

    def note_store_failure(self, now_ms: float) -> None:
        """Record that the metadata store did not answer."""
        self._store_failed_at_ms = now_ms

    def put(self, server: BackendServer, now_ms: float) -> bool:
        """Add or update an entry; entries of earlier starts are ignored.

        :return: whether anything changed.
        """
        entry = self._entries.get(server.instance)
        if entry is not None and server.started_ms < entry.server.started_ms:
            return False
        first_listed_ms = now_ms
        if entry is not None and server.started_ms == entry.server.started_ms:
            first_listed_ms = entry.first_listed_ms
        self._entries[server.instance] = _Entry(server, first_listed_ms)
        return entry is None or entry.server != server

    def remove(self, instance: str, now_ms: float) -> None:
        """Remove an entry; after a grace period if the store just failed."""
        entry = self._entries.get(instance)
        if entry is None or entry.removal_due_ms is not None:
            return
        failure_age_ms = now_ms - self._store_failed_at_ms
        if failure_age_ms < STORE_STABLE_AFTER_MS:
            entry.removal_due_ms = now_ms + RESTORE_GRACE_MS
        else:
            self._entries.pop(instance)

    def replace(self, servers: list[BackendServer], now_ms: float) -> None:
        """Replace all entries by a complete listing of the servers."""
        for server in servers:
            self.put(server, now_ms)
        listed = {one.instance for one in servers}
        missing = [name for name in self._entries if name not in listed]
        self.remove_together(missing, now_ms)

    def remove_together(self, instances: list[str], now_ms: float) -> None:
        """Remove entries that disappeared at the same time.

        When many disappear that were not draining, the store is taken to have
        failed, and they are kept for the grace period.
        """
        sudden = [
            name
            for name in instances
            if name in self._entries
            and not self._entries[name].server.is_draining
        ]
        if len(sudden) > MAX_REMOVED_AT_ONCE:
            self.note_store_failure(now_ms)
        for name in instances:
            self.remove(name, now_ms)

    def has_due_removals(self, now_ms: float) -> bool:
        """Return whether the grace period of any removal is over."""
        return any(
            entry.removal_due_ms is not None and entry.removal_due_ms <= now_ms
            for entry in self._entries.values()
        )

    def remove_expired(self, now_ms: float) -> list[BackendServer]:
        """Remove entries that were not restored in time, and return them."""
        due = [
            name
            for name, entry in self._entries.items()
            if entry.removal_due_ms is not None
            and entry.removal_due_ms <= now_ms
        ]
        return [self._entries.pop(name).server for name in due]

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
        newest: dict[str, BackendServer] = {}
        for entry in self._entries.values():
            server = entry.server
            if server.service != service or server.is_draining:
                continue
            other = newest.get(server.address)
            # Of several servers at one address, the last started one owns it.
            if other is None or other.started_ms < server.started_ms:
                newest[server.address] = server
        return list(newest.values())
