"""Which backend servers may get requests."""

import dataclasses

from lagoonflow.backends.messages import BackendServer

# The platform restores entries that lapsed during an outage within this time
# after the store's return, in ms.
RESTORE_GRACE_MS = 2000
# A store that has answered without trouble for this long is steady, in ms.
STORE_STABLE_AFTER_MS = 3000
# More entries dropped at once than this look like a lapse, not like crashes.
MAX_REMOVED_AT_ONCE = 2


@dataclasses.dataclass(slots=True)
class _Entry:
    """A backend server, and when its removal takes effect.

    :ivar listed_at_ms: when this start of it was first listed.
    """

    server: BackendServer
    first_listed_ms: float
    removal_due_ms: float | None = None


class BackendRoster:
    """Follows the registered backend servers.

    An entry that disappears while the store is in trouble, or just after,
    is kept until the store has had time to restore it.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._entries: dict[str, _Entry] = {}
        self._store_failed_at_ms = float('-inf')

    def note_store_failure(self, now_ms: float) -> None:
        """Note that the store did not answer."""
        self._store_failed_at_ms = now_ms

    def put(self, server: BackendServer, now_ms: float) -> bool:
        """Add or update an entry; tells whether anything changed.

        Reports of an earlier start under the same id are ignored.
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
        """Remove an entry, or let it lapse while the store is not steady."""
        entry = self._entries.get(instance)
        if entry is None or entry.removal_due_ms is not None:
            return
        failure_age_ms = now_ms - self._store_failed_at_ms
        if failure_age_ms < STORE_STABLE_AFTER_MS:
            entry.removal_due_ms = now_ms + RESTORE_GRACE_MS
        else:
            self._entries.pop(instance)

    def replace(self, servers: list[BackendServer], now_ms: float) -> None:
        """Take a whole listing."""
        for server in servers:
            self.put(server, now_ms)
        listed = {one.instance for one in servers}
        missing = [name for name in self._entries if name not in listed]
        self.remove_together(missing, now_ms)

    def remove_together(self, instances: list[str], now_ms: float) -> None:
        """Remove entries that disappeared together."""
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
        """Whether removals take effect now."""
        return any(
            entry.removal_due_ms is not None and entry.removal_due_ms <= now_ms
            for entry in self._entries.values()
        )

    def remove_expired(self, now_ms: float) -> list[BackendServer]:
        """Remove entries that were not restored in time; returns them."""
        due = [
            name
            for name, entry in self._entries.items()
            if entry.removal_due_ms is not None
            and entry.removal_due_ms <= now_ms
        ]
        return [self._entries.pop(name).server for name in due]

    def get(self, instance: str) -> BackendServer | None:
        """Return a server by its id."""
        entry = self._entries.get(instance)
        return None if entry is None else entry.server

    def listed_for_ms(self, instance: str, now_ms: float) -> float:
        """Time since a server's present start was first listed."""
        entry = self._entries.get(instance)
        return 0 if entry is None else now_ms - entry.first_listed_ms

    def all(self) -> list[BackendServer]:
        """Return all entries, leaving ones too."""
        return [entry.server for entry in self._entries.values()]

    def usable(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that take new requests."""
        newest: dict[str, BackendServer] = {}
        for entry in self._entries.values():
            server = entry.server
            if server.service != service or server.is_draining:
                continue
            other = newest.get(server.address)
            # An address belongs to the server that started last.
            if other is None or other.started_ms < server.started_ms:
                newest[server.address] = server
        return list(newest.values())
