"""Components that both the router and the agent program use."""

import uuid
from collections.abc import Collection
from typing import Any

import prometheus_client as prometheus

from lagoonflow.cli.environment import Environment
from lagoonflow.cli.settings import CommonSettings
from lagoonflow.cli.version import package_version
from lagoonflow.clients.hosts import HostListClient
from lagoonflow.clients.log import LogClient
from lagoonflow.clients.messages.common import Unavailable
from lagoonflow.results import Refusal, Result
from lagoonflow.roster.host_monitor import HostState
from lagoonflow.roster.state import RosterFold
from lagoonflow.telemetry.admin import (
    AdminApp,
    ProcessStatus,
    StreamStatus,
)
from lagoonflow.telemetry.timeline import TimeLine
from lagoonflow.wire.address import Address, netloc_of
from lagoonflow.wire.asgi_server import AsgiServer, bind
from lagoonflow.wire.grpc_server import GrpcServer, Route
from lagoonflow.wire.methods import PULL, Method
from lagoonflow.wire.peer_client import PeerClient
from lagoonflow.wiring.background import BackgroundTasks
from lagoonflow.wiring.directory import Directory
from lagoonflow.wiring.stream_folds import StreamFolds
from lagoonflow.wiring.tls import peer_contexts
from lagoonflow.wiring.version_exchange import (
    VersionObservingPeers,
    observe_sender_versions,
)

LISTENING = 'listening {name} {address}'
CATCH_UP_TIMEOUT_MS = 1000


class Core:
    """The components that every program has.

    :ivar nonce: random id of this start, which tells the process apart from
        earlier ones of the same name.
    :ivar is_ready: readiness that ``/ready`` and ``/status`` report.
    :ivar connections: sends messages to other processes.
    :ivar peers: sends messages over these connections, and applies the stream
        versions that the replies carry.
    :ivar folds: local state of the log's streams.
    """

    def __init__(
        self,
        settings: CommonSettings,
        environment: Environment,
        role: str,
    ) -> None:
        """Build the components; :meth:`listen` binds the ports.

        :param role: what the process reports as its role.
        """
        self.settings = settings
        self.environment = environment
        self.role = role
        self.nonce = uuid.uuid4().hex
        self.timeline = TimeLine(settings.name)
        self.background = BackgroundTasks()
        self.tls = peer_contexts(settings)
        roster = RosterFold()
        self.directory = Directory(settings.name, roster)
        self.connections = PeerClient(
            self.directory.resolve,
            ssl_context=self.tls[1].context if self.tls else None,
        )
        self.folds = StreamFolds(
            LogClient(netloc_of(settings.log_url)),
            self.connections,
            self.directory.peers,
            settings.retention_s,
            roster,
        )
        self.peers = VersionObservingPeers(
            self.connections, self.folds.on_versions
        )
        self.is_ready = False
        self._hosts = HostListClient(netloc_of(settings.hosts_url))
        self._grpc: GrpcServer | None = None
        self._admin: AsgiServer | None = None

    def unary_route(self, method: Method, handler: Any) -> Route:
        """Return a route for a unary method.

        The sender's stream versions are applied before its message is
        handled.

        :param handler: handles a message and returns the reply.
        """
        return Route(
            method, observe_sender_versions(handler, self.folds.on_versions)
        )

    async def listen(
        self,
        routes: Collection[Route],
        registry: prometheus.CollectorRegistry,
    ) -> tuple[Address, Address]:
        """Bind and serve the peer port and the administrative port.

        :param routes: gRPC methods that are served beside ``PULL``.
        :param registry: metrics that the administrative port serves.
        :returns: the bound addresses of the peer and administrative port.
        :raises OSError: when an address cannot be bound.
        """
        app = AdminApp(registry, self.timeline, self.status).build()
        self._admin = AsgiServer(app, bind(self.settings.admin_address))
        self._grpc = GrpcServer(
            (Route(PULL, self.folds.serve_pull), *routes),
            ssl_context=self.tls[0].context if self.tls else None,
        )
        peer = self.settings.peer_address
        port = await self._grpc.start(peer.host, peer.port)
        await self._admin.start()
        for context in self.tls:
            self.background.start('tls', context.watch())
        return Address(peer.host, port), self._admin.address

    def announce_address(self, name: str, address: Address) -> None:
        """Print a bound address.

        The process that started this one thus learns the port that was bound
        for port 0.
        """
        self.environment.print(LISTENING.format(name=name, address=address))
        self.environment.stdout.flush()

    async def read_hosts(self) -> dict[str, HostState] | Refusal:
        """Read the platform's host list.

        :returns: states by IP address, or why the list can't be read.
        """
        listing = await self._hosts.fetch()
        if isinstance(listing, Unavailable):
            return Refusal(Result.LOG_UNAVAILABLE, listing.reason)
        return self.directory.update(listing)

    def status(self) -> ProcessStatus:
        """Return what ``/status`` reports of this process."""
        return ProcessStatus(
            process=self.settings.name,
            role=self.role,
            zone=self.settings.zone,
            is_ready=self.is_ready,
            reason='' if self.is_ready else 'starting or stopping',
            version=package_version(),
            streams={
                stream.value: StreamStatus(
                    follower.fold.next_offset,
                    follower.fold.rejected_count,
                )
                for stream, follower in self.folds.followers.items()
            },
        )

    async def close(self) -> None:
        """Stop all tasks and close all connections."""
        await self.background.stop()
        if self._grpc is not None:
            await self._grpc.close()
        if self._admin is not None:
            await self._admin.stop()
        self.connections.close()
