"""Feeds what the metadata store says into a router's parts."""

import msgspec
import structlog

from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.messages import BackendServer
from lagoonflow.clock import boottime_ms
from lagoonflow.declared.records import RecordPage, StoreFailure
from lagoonflow.declared.view import DeclaredView
from lagoonflow.gossip.members import Members, RouterMember
from lagoonflow.platform.configuration import (
    ConfigurationError,
    decode_configuration,
)
from lagoonflow.platform.servers import EntryError, decode_server
from lagoonflow.platform.store import CONFIGURATION_KEY


class MemberRecord(msgspec.Struct):
    """Registration of one of the system's processes."""

    role: str
    address: str


class ConfigurationFeed:
    """Puts configurations in force and keeps the proof of the newest one.

    :param on_change: called after a newer version came into force.
    """

    def __init__(self, view: DeclaredView, on_change) -> None:
        """Feed a view."""
        self._view = view
        self._on_change = on_change
        self._log = structlog.get_logger(part='configuration')

    def take(
        self, page: RecordPage, is_whole: bool, asked_at_ms: float
    ) -> None:
        """Take a page of records."""
        newest = [
            record.value
            for record in page.records
            if record.key == CONFIGURATION_KEY and record.value is not None
        ]
        is_readable = not newest or self._put(newest[-1])
        if is_readable and self._view.state is not None:
            self._view.confirm(asked_at_ms)

    def fail(self, failure: StoreFailure) -> None:
        """Take a failure; the proof grows old by itself."""

    def _put(self, raw: bytes) -> bool:
        """Put a configuration in force; tells whether it is readable."""
        try:
            state = decode_configuration(raw)
        except ConfigurationError as error:
            self._log.error('configuration not readable', why=str(error))
            return False
        if self._view.apply(state):
            self._log.info('configuration in force', version=state.version)
            self._on_change()
        return True


class ServersFeed:
    """Follows the entries of backend servers.

    :param on_change: called when servers changed.
    """

    def __init__(self, fleet: Fleet, on_change) -> None:
        """Feed a fleet."""
        self._fleet = fleet
        self._on_change = on_change
        self._log = structlog.get_logger(part='servers')

    def take(
        self, page: RecordPage, is_whole: bool, asked_at_ms: float
    ) -> None:
        """Take a page of records."""
        now_ms = boottime_ms()
        servers: list[BackendServer] = []
        dropped: list[str] = []
        for record in page.records:
            if record.value is None:
                dropped.append(record.key.rpartition('/')[2])
                continue
            try:
                servers.append(decode_server(record.key, record.value))
            except EntryError as error:
                self._log.warning(
                    'entry ignored', key=record.key, why=str(error)
                )
        if is_whole:
            self._fleet.roster.replace(servers, now_ms)
            self._on_change()
            return
        for server in servers:
            self._put(server, now_ms)
        if dropped:
            self._log.info('entries removed', servers=dropped)
            self._fleet.roster.remove_together(dropped, now_ms)
        self._on_change()

    def fail(self, failure: StoreFailure) -> None:
        """Note that the store is in trouble."""
        self._fleet.roster.note_store_failure(boottime_ms())

    def _put(self, server: BackendServer, now_ms: float) -> None:
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


class MembersFeed:
    """Follows the registrations of the other routers."""

    def __init__(self, members: Members, role: str) -> None:
        """Feed the members of one role."""
        self._members = members
        self._role = role

    def take(
        self, page: RecordPage, is_whole: bool, asked_at_ms: float
    ) -> None:
        """Take a page of records."""
        for record in page.records:
            if record.value is None:
                continue
            try:
                member = msgspec.json.decode(record.value, type=MemberRecord)
            except msgspec.MsgspecError:
                continue
            if member.role == self._role:
                found = RouterMember(record.key, member.address)
                self._members.register(found, boottime_ms())

    def fail(self, failure: StoreFailure) -> None:
        """Keep the known members."""
