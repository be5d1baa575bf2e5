"""Connections to the backend servers."""

import asyncio
import functools

from lagoonflow.backends.connections import ConnectionShares
from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.messages import BackendServer
from lagoonflow.clock import boottime_ms
from lagoonflow.http1.client import ClientConnection, ConnectionPool
from lagoonflow.http1.descriptors import Descriptors, NoDescriptorError
from lagoonflow.http1.messages import ExchangeError
from lagoonflow.relay.openings import (
    CONNECT_TIMEOUT_MS,
    LateServers,
    Opening,
    open_in_time,
)
from lagoonflow.relay.outcomes import NotSent

# A server that refused a connection is not prepared again within this time.
REFUSED_RETRY_MS = 400


class ServerPools:
    """Pools of connections, one for each server.

    :param is_memory_bounded: keep the kernel's buffers of the connections
        small.
    :param descriptors: tells when connections are too many.
    :ivar connections: how many connections this router may have to a server.
    """

    def __init__(
        self,
        fleet: Fleet,
        *,
        is_memory_bounded: bool = False,
        descriptors: Descriptors | None = None,
    ) -> None:
        """Start without pools."""
        self.connections = ConnectionShares()
        self._fleet = fleet
        self._is_memory_bounded = is_memory_bounded
        self._descriptors = descriptors
        self._pools: dict[str, ConnectionPool] = {}
        self._opening: dict[str, asyncio.Task[None]] = {}
        self._refused_ms: dict[str, float] = {}
        self._late = LateServers()

    def pool(self, server: BackendServer) -> ConnectionPool:
        """Return the pool of a server at its present address."""
        pool = self._pools.get(server.instance)
        if pool is None or pool.address != server.address:
            if pool is not None:
                pool.close()
            pool = self._create(server)
            self._pools[server.instance] = pool
        return pool

    def pool_after_send(self, server: BackendServer) -> ConnectionPool:
        """Return the pool of a server that a request was sent to.

        If the server is gone by then, or has another address, it is a closed
        one, which keeps no connection.
        """
        pool = self._pools.get(server.instance)
        if pool is None or pool.address != server.address:
            pool = self._create(server)
            pool.close()
        return pool

    async def connect(
        self, server: BackendServer, request_id: str, timeout_ms: float
    ) -> ClientConnection | NotSent:
        """Return an idle connection to a server, or open one.

        :param timeout_ms: time that is left for the call, in ms.
        """
        pool = self.pool(server)
        connection = pool.take_idle(request_id)
        if connection is not None:
            return connection
        return await self._open_in_time(server, timeout_ms)

    def forget(self, instances: list[str]) -> None:
        """Close the idle connections to servers that were removed."""
        for instance in instances:
            self._refused_ms.pop(instance, None)
            self._late.forget(instance)
            pool = self._pools.pop(instance, None)
            if pool is not None:
                pool.close()

    def prepare(self, server: BackendServer, request_id: str) -> bool:
        """Return whether a server is connected; open a connection if not.

        :param request_id: id of the request to be sent.
        """
        pool = self.pool(server)
        if pool.has_idle(request_id):
            return True
        instance = server.instance
        refused_ms = self._refused_ms.get(instance, -REFUSED_RETRY_MS)
        is_refused = boottime_ms() < refused_ms + REFUSED_RETRY_MS
        if instance not in self._opening and not is_refused:
            self._opening[instance] = asyncio.create_task(
                self._open(instance, pool)
            )
        return False

    def _create(self, server: BackendServer) -> ConnectionPool:
        return ConnectionPool(
            server.address,
            functools.partial(self.connections.share, server.service),
            is_bounded=self._is_memory_bounded,
            descriptors=self._descriptors,
        )

    async def _open(self, instance: str, pool: ConnectionPool) -> None:
        try:
            await pool.open_idle(CONNECT_TIMEOUT_MS)
            self._late.note_open(instance)
        except NoDescriptorError:
            self._refused_ms[instance] = boottime_ms()
        except ExchangeError:
            now_ms = boottime_ms()
            if self._pools.get(instance) is pool:
                self._refused_ms[instance] = now_ms
            self._fleet.health(instance).note_no_answer(now_ms)
        finally:
            self._opening.pop(instance, None)
            if self._pools.get(instance) is not pool:
                pool.close()

    async def _open_in_time(
        self, server: BackendServer, timeout_ms: float
    ) -> ClientConnection | NotSent:
        try:
            opened = await open_in_time(
                self.pool(server),
                timeout_ms,
                functools.partial(self._late.note_open, server.instance),
            )
        except NoDescriptorError as error:
            return NotSent(str(error), is_servers_fault=False)
        except ExchangeError as error:
            return NotSent(str(error))
        if not isinstance(opened, Opening):
            self._late.note_open(server.instance)
            return opened
        if not self._late.note_late(server.instance, boottime_ms()):
            opened.close()
            return NotSent('the server accepts no connection')
        return NotSent('connection not established in time', opened)
