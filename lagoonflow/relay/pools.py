"""Connections to the backend servers."""

import asyncio
import functools

from lagoonflow.backends.connections import ConnectionShares
from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.messages import BackendServer
from lagoonflow.clock import boottime_ms
from lagoonflow.http1.client import ConnectionPool
from lagoonflow.http1.messages import ExchangeError

# A connection must open within this time; a host on the same network accepts
# within a few ms.
CONNECT_TIMEOUT_MS = 400
# A server that refused a connection is not prepared again within this time.
REFUSED_RETRY_MS = 400


class ServerPools:
    """Pools of connections, one for each server.

    :param is_memory_bounded: keep the kernel's buffers of the connections
        small.
    :ivar connections: how many connections this router may have to a server.
    """

    def __init__(
        self,
        fleet: Fleet,
        *,
        is_memory_bounded: bool,
    ) -> None:
        """Start without pools."""
        self.connections = ConnectionShares()
        self._fleet = fleet
        self._is_memory_bounded = is_memory_bounded
        self._pools: dict[str, ConnectionPool] = {}
        self._opening: dict[str, asyncio.Task[None]] = {}
        self._refused_ms: dict[str, float] = {}

    def pool(self, server: BackendServer) -> ConnectionPool:
        """Return the pool of a server at its present address."""
        pool = self._pools.get(server.instance)
        if pool is None or pool.address != server.address:
            pool = ConnectionPool(
                server.address,
                functools.partial(self.connections.share, server.service),
                is_bounded=self._is_memory_bounded,
            )
            self._pools[server.instance] = pool
        return pool

    def forget(self, instances: list[str]) -> None:
        """Close the idle connections to servers that were removed."""
        for instance in instances:
            self._refused_ms.pop(instance, None)
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

    async def _open(self, instance: str, pool: ConnectionPool) -> None:
        try:
            await pool.open_idle(CONNECT_TIMEOUT_MS)
        except ExchangeError:
            now_ms = boottime_ms()
            if self._pools.get(instance) is pool:
                self._refused_ms[instance] = now_ms
            self._fleet.health(instance).note_no_answer(now_ms)
        finally:
            self._opening.pop(instance, None)
            if self._pools.get(instance) is not pool:
                pool.close()
