"""This router's share of the connections that each server accepts.

The load: many routers use the same server, which resets the connections beyond
the limit that its service declares. The limit is divided evenly among the
routers; a few connections are left for the server's agent and for checks.
"""

from collections.abc import Mapping

from lagoonflow.backends.held_bytes import UNKNOWN_ROUTERS
from lagoonflow.declared.messages import Service

# The agent's connection, and those that check whether a server has crashed.
RESERVED_CONNECTIONS = 3
# A server whose connections are all in use is looked at again after this, in ms.
FULL_WAIT_MS = 50


def connection_wait_ms(service: Service, calls: int) -> float:
    """Return the time until a server may have a free connection, in ms.

    Shares don't count here: other routers may leave theirs unused.

    :param calls: calls of this router at the server, a connection each.
    """
    is_full = 0 < service.max_connections <= calls
    return FULL_WAIT_MS if is_full else 0


class ConnectionShares:
    """Divides the limits that services declare among the routers."""

    def __init__(self) -> None:
        """Start without services, with as many routers as there may be."""
        self._services: Mapping[str, Service] = {}
        self._routers = UNKNOWN_ROUTERS

    def use_services(self, services: Mapping[str, Service]) -> None:
        """Use the limits that services declare."""
        self._services = services

    def update_routers(self, count: int) -> None:
        """Set the number of routers, with this one, once they are known."""
        self._routers = max(count, 1)

    def share(self, service: str) -> float:
        """Return how many connections to one server this router may have.

        :param service: name of the server's service; an undeclared one has no
            limit. It is at least one, as the server could not be used else.
        """
        declared = self._services.get(service)
        if declared is None or declared.max_connections <= 0:
            return float('inf')
        divided = declared.max_connections - RESERVED_CONNECTIONS
        return max(divided // self._routers, 1)
