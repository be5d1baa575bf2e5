"""Services whose load is evened, and what the router knows of their load."""

import collections
from collections.abc import Callable

from lagoonflow.backends.load_estimates import (
    LoadEstimate,
    LoadEstimates,
    LoadReport,
)
from lagoonflow.backends.messages import BackendServer
from lagoonflow.backends.peer_loads import PeerLoads


class EvenedLoads:
    """Estimates of the load of the services whose load is evened.

    :ivar peers: requests that the other routers have in flight.
    :ivar estimates: predicted load of servers.
    :ivar own: this router's requests in flight, by server.
    :ivar on_change: called when a request begins or ends.
    """

    def __init__(
        self, *, are_all: bool = False, are_reporting: bool = False
    ) -> None:
        """Start without reports.

        :param are_all: the load of all services is evened.
        :param are_reporting: the load of services is evened whose servers
            report how long work takes at the moment.
        """
        self._are_reporting = are_reporting
        self.peers = PeerLoads()
        self.estimates = LoadEstimates(self.peers)
        self.own: collections.Counter[str] = collections.Counter()
        self.on_change: Callable[[], None] = _ignore_change
        self._are_all = are_all
        self._services: set[str] = set()

    @property
    def is_any(self) -> bool:
        """Whether the load of any service is evened."""
        return self._are_all or bool(self._services)

    def covers(self, service: str) -> bool:
        """Return whether the load of a service is evened."""
        return self._are_all or service in self._services

    def include(self, server: BackendServer | None) -> None:
        """Even the load of a server's service from now on."""
        if server is not None and self._are_reporting:
            self._services.add(server.service)

    def begin(self, instance: str) -> None:
        """Count a request of this router."""
        self.own[instance] += 1
        self.on_change()

    def end(self, instance: str) -> None:
        """Stop counting a request of this router."""
        self.own[instance] -= 1
        if self.own[instance] <= 0:
            self.own.pop(instance)
        self.on_change()

    def observe(
        self,
        server: BackendServer | None,
        outstanding: float,
        now_ms: float,
        *,
        is_shared: bool,
    ) -> None:
        """Record a report of a server's load if its load is evened."""
        if server is None or not self.covers(server.service):
            return
        report = LoadReport(
            server.instance,
            server.service,
            outstanding,
            self.own[server.instance],
            is_shared,
        )
        self.estimates.observe(report, now_ms)

    def others(self, server: BackendServer, now_ms: float) -> LoadEstimate:
        """Estimate the other routers' requests at a server."""
        return self.estimates.others(server.instance, server.service, now_ms)


def _ignore_change() -> None:
    """Do nothing, as nobody needs to know of a change."""
