"""Handlers of the metadata store's records, which update local state."""

import asyncio
import dataclasses
import types
from collections.abc import Mapping

import msgspec
import structlog

from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.messages import BackendServer
from lagoonflow.clock import boottime_ms, wall_clock_ms
from lagoonflow.declared.records import (
    KeyedRecord,
    RecordPage,
    StoreFailure,
)
from lagoonflow.declared.view import DeclaredView
from lagoonflow.gossip.members import Members, RouterMember
from lagoonflow.platform.bounds import check_address
from lagoonflow.platform.configuration import (
    ConfigurationError,
    decode_configuration,
)
from lagoonflow.platform.servers import EntryError, decode_server
from lagoonflow.platform.store import CONFIGURATION_KEY, evacuated_zone
from lagoonflow.resumption.versions import VersionHistory

# The id of a server, and its entry; ``None`` if that was removed.
_Entry = tuple[str, BackendServer | None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Entries:
    """Entries of a page in its order, and the ids of those that name no server."""

    read: list[_Entry]
    odd: frozenset[str]


# A zone stays evacuated for so long after the store has lost its key, in ms,
# unless the operator writes the key again.
LOST_EVACUATION_MS = 30_000
# Stands for a store without a configuration.
NO_VERSION = -1
_NO_ROLES: Mapping[str, Members] = types.MappingProxyType({})


class MemberRecord(msgspec.Struct):
    """Registration of a router or an agent in the metadata store.

    :param role: ``router`` or ``agent``.
    :param address: ``IP:port`` that receives its datagrams.
    :param zone: its availability zone.
    """

    role: str
    address: str
    zone: str = ''


def decode_member(raw: bytes) -> MemberRecord:
    """Decode a registration.

    :raises ValueError: when it is malformed or its address unusable.
    """
    member = msgspec.json.decode(raw, type=MemberRecord)
    check_address(member.address)
    return member


class ConfigurationFeed:
    """Applies configurations, and confirms that the newest one is known.

    :param view: declared state that is updated.
    :param on_change: called after a newer version was applied.
    :param apply_other_keys: called with each page before its configuration is applied,
        as the topic has other keys, too.

    A store that has come back from an older copy may lack the configuration
    that is in force; until that is written again, nothing shows whether it
    is the newest one.
    """

    def __init__(
        self, view: DeclaredView, on_change, apply_other_keys=None
    ) -> None:
        """Start without a configuration."""
        self._apply_other_keys = apply_other_keys
        self._view = view
        self._on_change = on_change
        # Version that the store has, as far as it was read.
        self._stored_version = NO_VERSION
        self._log = structlog.get_logger(part='configuration')

    def on_page(
        self, page: RecordPage, is_snapshot: bool, current_at_ms: float
    ) -> None:
        """Apply the newest configuration of a page.

        :param page: records of the configuration's topic.
        :param is_snapshot: whether the page has the newest record of each
            key, rather than the records since the page before.
        :param current_at_ms: time until which no record is missing; the
            newest configuration is confirmed as of this time.
        """
        try:
            if self._apply_other_keys is not None:
                self._apply_other_keys(page, is_snapshot, current_at_ms)
        finally:
            # The page isn't read again, and the next one would confirm the
            # configuration before this one.
            self._apply_newest(page, is_snapshot, current_at_ms)

    def on_failure(self, failure: StoreFailure) -> None:
        """Ignore a failed read; the last confirmation ages by itself."""

    def _apply_newest(
        self, page: RecordPage, is_snapshot: bool, current_at_ms: float
    ) -> None:
        newest = [
            record.value
            for record in page.records
            if record.key == CONFIGURATION_KEY and record.value is not None
        ]
        if is_snapshot and not newest:
            self._stored_version = NO_VERSION
        is_readable = not newest or self._apply(
            newest[-1], page.next_position.era
        )
        has_version = self._stored_version >= self._view.version
        if page.may_be_older and not has_version:
            self._log.warning(
                'configuration lost by the store',
                version=self._view.version,
                stored=self._stored_version,
            )
        is_proof = is_readable and page.is_current and has_version
        if is_proof and self._view.state is not None:
            self._view.confirm(current_at_ms)

    def _apply(self, raw: bytes, era: int) -> bool:
        """Apply a configuration, and return whether it could be decoded."""
        try:
            state = decode_configuration(raw)
        except ConfigurationError as error:
            self._log.error('configuration not readable', why=str(error))
            return False
        self._stored_version = state.version
        if self._view.apply(state):
            self._log.info(
                'configuration in force',
                version=state.version,
                era=era,
                size_bytes=len(raw),
            )
            self._on_change()
        return True


class EvacuationsFeed:
    """Applies the evacuations of zones in the configuration's topic.

    :param fleet: its evacuated zones are updated.
    :param on_change: called after the evacuated zones have changed.
    """

    def __init__(self, fleet: Fleet, on_change) -> None:
        """Start without evacuations."""
        self._fleet = fleet
        self._on_change = on_change
        # Evacuated zones whose keys the store may have lost.
        self._missing: frozenset[str] = frozenset()
        self._missing_until_ms = float('-inf')

    def on_page(
        self, page: RecordPage, is_snapshot: bool, current_at_ms: float
    ) -> None:
        """Apply the evacuations of a page.

        A value other than an empty object counts as an evacuation, too.

        :param is_snapshot: whether the page has all keys, so that zones without
            a key are no longer evacuated, unless the store may have lost it.
        """
        self._fleet.roster.outages.note_answer(current_at_ms)
        evacuations = self._fleet.evacuations
        before = evacuations.zones
        zones = [
            (evacuated_zone(record.key), record.value is not None)
            for record in page.records
        ]
        changes = [(zone, is_set) for zone, is_set in zones if zone is not None]
        now_ms = boottime_ms()
        if page.may_be_older:
            self._missing = before
            self._missing_until_ms = now_ms + LOST_EVACUATION_MS
        self._missing -= {zone for zone, _ in changes}
        if now_ms >= self._missing_until_ms:
            changes = [*((zone, False) for zone in self._missing), *changes]
            self._missing = frozenset()
        returned = evacuations.apply(
            changes,
            frozenset(server.zone for server in self._fleet.roster.all()),
            is_snapshot=is_snapshot and not page.may_be_older,
        )
        for zone in returned:
            self._fleet.cold.note_zone_returned(zone, now_ms)
        if page.is_current:
            evacuations.note_read(current_at_ms)
        if evacuations.zones != before:
            self._on_change()


def build_configuration_feed(
    view: DeclaredView, fleet: Fleet, on_configuration, on_evacuation
) -> ConfigurationFeed:
    """Return the feed of a router, which applies evacuations, too."""
    evacuations = EvacuationsFeed(fleet, on_evacuation)
    return ConfigurationFeed(view, on_configuration, evacuations.on_page)


class ServersFeed:
    """Updates the fleet from the entries of backend servers.

    :param fleet: its roster of backend servers is updated.
    :param history: the software versions of listed servers are noted there.
    :param on_change: called after each page of entries.
    """

    def __init__(
        self, fleet: Fleet, history: VersionHistory, on_change
    ) -> None:
        """Start without entries."""
        self._fleet = fleet
        self._history = history
        self._on_change = on_change
        self._log = structlog.get_logger(part='servers')

    def on_page(
        self, page: RecordPage, is_snapshot: bool, current_at_ms: float
    ) -> None:
        """Apply a page of server entries.

        :param is_snapshot: whether the page has the entries of all servers,
            so that servers without an entry are removed.
        """
        outages = self._fleet.roster.outages
        outages.note_answer(current_at_ms)
        now_ms = boottime_ms()
        decoded = self._decode(page)
        entries = decoded.read
        servers = _last_entries(entries)
        if page.may_be_older:
            outages.note_restored(now_ms)
            servers = self._fleet.roster.without_lost_changes(servers)
            self._history.restart()
        if is_snapshot:
            self._fleet.roster.replace(servers, now_ms, held=decoded.odd)
        else:
            self._apply_changes(servers, _removed(entries), now_ms)
        if page.is_current:
            outages.note_listed(current_at_ms)
        cold = self._fleet.cold
        cold.retain({one.instance for one in self._fleet.roster.all()})
        cold.note_listed(servers, now_ms, wall_clock_ms())
        self._note_versions(page, entries, current_at_ms)
        self._on_change()

    def on_failure(self, failure: StoreFailure) -> None:
        """Record that the store can't be read, so entries may be outdated."""
        self._fleet.roster.outages.note_failure(boottime_ms())

    def _decode(self, page: RecordPage) -> _Entries:
        """Return what the records state."""
        entries: list[_Entry] = []
        odd: set[str] = set()
        for record in page.records:
            instance = record.key.rpartition('/')[2]
            if record.value is None:
                entries.append((instance, None))
                continue
            try:
                server = decode_server(record.key, record.value)
            except EntryError as error:
                odd.add(instance)
                self._log.warning(
                    'entry ignored', key=record.key, why=str(error)
                )
            else:
                entries.append((instance, server))
        return _Entries(entries, frozenset(odd))

    def _apply_changes(
        self,
        servers: list[BackendServer],
        removed_instances: list[str],
        now_ms: float,
    ) -> None:
        for server in servers:
            self._update_server(server, now_ms)
        if removed_instances:
            self._log.info('entries removed', servers=removed_instances)
        for instance in removed_instances:
            self._fleet.roster.remove(instance, now_ms)

    def _note_versions(
        self,
        page: RecordPage,
        entries: list[_Entry],
        current_at_ms: float,
    ) -> None:
        now_ms = boottime_ms()
        # A server of the page may have been removed by its later records.
        listed = [server for _, server in entries if server is not None]
        for server in (*listed, *self._fleet.roster.all()):
            self._history.note(server.service, server.software_version, now_ms)
        if page.is_current:
            self._history.confirm(current_at_ms)

    def _update_server(self, server: BackendServer, now_ms: float) -> None:
        known = self._fleet.roster.get(server.instance)
        self._fleet.roster.put(server, now_ms)
        if known is None or known.is_draining != server.is_draining:
            self._log.info(
                'server listed',
                server=server.instance,
                service=server.service,
                address=server.address,
                leaving=server.is_draining,
                remaining_ms=server.remaining_ms,
            )


def _last_entries(entries: list[_Entry]) -> list[BackendServer]:
    """Return the servers whose last record isn't a removal, in its order."""
    last: dict[str, BackendServer | None] = {}
    for instance, server in entries:
        last.pop(instance, None)
        last[instance] = server
    return [listed for listed in last.values() if listed is not None]


def _removed(entries: list[_Entry]) -> list[str]:
    """Return the instances whose last record is a removal."""
    last = dict(entries)
    return [instance for instance, server in last.items() if server is None]


class MembersFeed:
    """Updates the members from registrations of other processes.

    :param members: members of the own role, which are updated.
    :param role: the own role.
    :param other_roles: members of other roles, which are updated, too;
        registrations of further roles are ignored.
    :ivar has_read: whether the registrations were read at least once.
    :ivar was_read: set when they have been.
    :ivar own_removed: set when the registration of this process was removed,
        or may have been lost.
    """

    def __init__(
        self,
        members: Members,
        role: str,
        other_roles: Mapping[str, Members] = _NO_ROLES,
    ) -> None:
        """Start without registrations."""
        self.has_read = False
        self.was_read = asyncio.Event()
        self.own_removed = asyncio.Event()
        self._log = structlog.get_logger(part='members')
        self._members = members
        self._roles = {role: members, **other_roles}

    def on_page(
        self, page: RecordPage, is_snapshot: bool, current_at_ms: float
    ) -> None:
        """Register the members of a page, and forget those removed."""
        now_ms = boottime_ms()
        own_name = self._members.own_name
        self._members.note_read(now_ms)
        if is_snapshot:
            listed = {one.key for one in page.records if one.value is not None}
            for members in self._roles.values():
                members.retain(listed, now_ms)
            # At the first read, this process may not have registered yet.
            is_missing = self.has_read and own_name not in listed
            # An earlier one under its name may have been restored.
            if is_missing or page.may_be_older:
                self.own_removed.set()
        self.has_read = self.has_read or page.is_current
        if self.has_read:
            self.was_read.set()
        for record in page.records:
            self._apply(record, now_ms)
        own = [one for one in page.records if one.key == own_name]
        if own and own[-1].value is None:
            self.own_removed.set()

    def on_failure(self, failure: StoreFailure) -> None:
        """Ignore a failed read; the known members stay."""

    def _apply(self, record: KeyedRecord, now_ms: float) -> None:
        member = None
        if record.value is not None:
            try:
                member = decode_member(record.value)
            except (ValueError, RecursionError) as error:
                self._log.warning(
                    'registration ignored', key=record.key, why=str(error)
                )
                return
        for role, members in self._roles.items():
            if member is None or member.role != role:
                members.remove(record.key, now_ms)
            else:
                members.register(
                    RouterMember(record.key, member.address, member.zone),
                    now_ms,
                )
