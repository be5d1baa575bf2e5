"""Prometheus metrics that are read from the state of a router."""

from collections.abc import Iterator

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from lagoonflow.backends.fleet import Fleet
from lagoonflow.clock import boottime_ms


class FleetCollector(Collector):
    """Reads the metrics of the fleet when they are requested."""

    def __init__(self, fleet: Fleet) -> None:
        """Read from a fleet."""
        self._fleet = fleet

    def collect(self) -> Iterator[Metric]:
        """Return the current metrics; see :class:`Collector`."""
        yield CounterMetricFamily(
            'lagoonflow_malformed_load_reports',
            'Load reports of servers that could not be read.',
            value=self._fleet.malformed_reports.count,
        )
        factors = GaugeMetricFamily(
            'lagoonflow_server_time_factor',
            'How much longer than usual work takes at a server; 1 is usual.',
            labels=['server', 'component'],
        )
        now_ms = boottime_ms()
        speeds = self._fleet.speeds
        for server in self._fleet.roster.all():
            if speeds.is_active(server, now_ms):
                lasting = speeds.lasting_factor(server, now_ms)
                factors.add_metric([server.instance, 'lasting'], lasting)
                current = speeds.time_factor(server, now_ms)
                factors.add_metric([server.instance, 'now'], current)
        yield factors
