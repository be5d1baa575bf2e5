"""What the router and the agent have in common."""

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
    """The parts that every program has.

    :ivar nonce: tells this process from its predecessors.
    :ivar is_ready: what ``/ready`` and ``/status`` say.
    """

    def __init__(
        self,
        settings: CommonSettings,
        environment: Environment,
        role: str,
    ) -> None:
        """Wire the parts; nothing is sent yet."""
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

    def unary(self, method: Method, answer: Any) -> Route:
        """Return a route whose handler learns from the sender's versions."""
        return Route(
            method, observe_sender_versions(answer, self.folds.on_versions)
        )

    async def listen(
        self,
        routes: Collection[Route],
        registry: prometheus.CollectorRegistry,
    ) -> tuple[Address, Address]:
        """Bind the peers' and the administrative port, and serve them.

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
        """Print one bound address, for whoever started the program."""
        self.environment.print(LISTENING.format(name=name, address=address))
        self.environment.stdout.flush()

    async def read_hosts(self) -> dict[str, HostState] | Refusal:
        """Read the platform's list of hosts."""
        listing = await self._hosts.fetch()
        if isinstance(listing, Unavailable):
            return Refusal(Result.LOG_UNAVAILABLE, listing.reason)
        return self.directory.learn(listing)

    def status(self) -> ProcessStatus:
        """Describe this process."""
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
