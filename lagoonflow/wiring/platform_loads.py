"""Tells the other routers which requests are in flight, and learns theirs."""

import asyncio
import contextlib

import prometheus_client as prometheus
import structlog

from lagoonflow.backends.even_load import EvenLoad
from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.peer_budget import statement_gap_ms
from lagoonflow.backends.peer_loads import short_id
from lagoonflow.clock import MS_PER_S, boottime_ms, wall_clock_ms
from lagoonflow.gossip.members import Members
from lagoonflow.gossip.messages import InflightState
from lagoonflow.gossip.transport import GossipSocket

# Unchanged counts are repeated at this interval, in ms, which makes up for
# lost datagrams.
REPEAT_INTERVAL_MS = 400
# Differences between estimated and reported requests at a server.
ERROR_BUCKETS = (-20, -10, -5, -3, -2, -1, 0, 1, 2, 3, 5, 10, 20)


class InflightPublisher:
    """Sends this router's requests in flight where load is evened.

    :ivar changed: set when requests begin or end.
    """

    def __init__(
        self,
        node: str,
        members: Members,
        fleet: Fleet,
        gossip: GossipSocket,
    ) -> None:
        """Start with nothing sent.

        :param node: name of this router.
        :param members: the other routers.
        :param fleet: requests in flight, and what the others state.
        :param gossip: socket for the datagrams.
        """
        self.changed = asyncio.Event()
        self._log = structlog.get_logger(part='servers')
        self._node = node
        self._members = members
        self._fleet = fleet
        self._gossip = gossip
        self._started_ms = wall_clock_ms()
        self._sequence = 0
        fleet.evened.on_change = self.changed.set

    async def run(self) -> None:
        """Publish when something has changed or is to be repeated."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(REPEAT_INTERVAL_MS / MS_PER_S):
                    await self.changed.wait()
            self.changed.clear()
            gap_ms = self.publish(boottime_ms())
            await asyncio.sleep(gap_ms / MS_PER_S)

    def publish(self, now_ms: float) -> float:
        """Send the counts; return the pause before the next statement."""
        if not self._fleet.evened.is_any:
            return REPEAT_INTERVAL_MS
        silent = self._fleet.evened.peers.drop_silent(now_ms)
        if silent:
            self._log.info('routers state no load', routers=silent)
        counts = {
            short_id(instance): count
            for instance, count in self._fleet.evened.own.items()
        }
        self._sequence += 1
        message = InflightState(
            self._node, self._started_ms, self._sequence, counts
        )
        present = self._members.present(now_ms)
        for member in present:
            self._gossip.send(message, member.address)
        gap_ms = statement_gap_ms(len(present), len(counts))
        self._fleet.evened.estimates.gap_ms = gap_ms
        return gap_ms

    def receive(self, message: InflightState, now_ms: float) -> None:
        """Learn what another router has in flight."""
        self._fleet.evened.peers.hear(
            message.router,
            (message.started_ms, message.sequence),
            message.counts,
            now_ms,
        )


class LoadMetrics:
    """Metrics of choices that even the load, and of their estimates."""

    def __init__(
        self,
        registry: prometheus.CollectorRegistry,
        fleet: Fleet,
        even_load: EvenLoad,
    ) -> None:
        """Register the metrics."""
        made = prometheus.Gauge(
            'lagoonflow_even_choices',
            'Choices among several servers whose load is evened.',
            registry=registry,
        )
        made.set_function(lambda: even_load.counts.made)
        spread = prometheus.Gauge(
            'lagoonflow_even_choices_spread',
            'Those that were not the server of the lowest estimated cost.',
            registry=registry,
        )
        spread.set_function(lambda: even_load.counts.spread)
        self._error = prometheus.Histogram(
            'lagoonflow_load_estimate_error_requests',
            'Estimated less reported requests at a server.',
            ['service'],
            buckets=ERROR_BUCKETS,
            registry=registry,
        )
        self._log = structlog.get_logger(part='servers')
        self._logged: set[str] = set()
        fleet.evened.estimates.on_error = self._note_error

    def _note_error(self, service: str, requests: float) -> None:
        if service not in self._logged:
            self._logged.add(service)
            self._log.info('load of service is evened', service=service)
        self._error.labels(service).observe(requests)
