"""Bounded memory of a router on the users' platform, and its metrics."""

from collections.abc import Iterator

import prometheus_client as prometheus
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from lagoonflow.backends.held_bytes import HeldBytes
from lagoonflow.declared.view import DeclaredView
from lagoonflow.http1.connection_memory import ProcessMemory, Requester
from lagoonflow.http1.memory_budget import Direction, MemoryBudget
from lagoonflow.http1.messages import RequestHead
from lagoonflow.platform import headers as codec


class MemoryCollector:
    """Collects the metrics of a router's memory."""

    def __init__(self, memory: ProcessMemory, held_bytes: HeldBytes) -> None:
        """Read the metrics from the given parts."""
        self._memory = memory
        self._held_bytes = held_bytes

    def collect(self) -> Iterator[prometheus.Metric]:
        """Return the metrics as they are now."""
        held = GaugeMetricFamily(
            'lagoonflow_held_bytes',
            'Bytes that the router holds for its calls, by direction.',
            labels=['direction'],
        )
        pauses = CounterMetricFamily(
            'lagoonflow_read_pauses',
            'Calls for which the router stopped reading, by direction.',
            labels=['direction'],
        )
        for direction in Direction:
            labels = [direction.value]
            held.add_metric(labels, self._memory.budget.held_bytes(direction))
            pauses.add_metric(labels, self._memory.pauses[direction])
        yield held
        yield pauses
        yield CounterMetricFamily(
            'lagoonflow_slow_readers_disconnected',
            'Callers that were disconnected as they took nothing.',
            value=self._memory.cuts,
        )
        yield GaugeMetricFamily(
            'lagoonflow_most_server_held_bytes',
            'Bytes of requests of this router at the server with most of them.',
            value=self._held_bytes.most_bytes,
        )


def build_memory(
    view: DeclaredView,
    held_bytes: HeldBytes,
    registry: prometheus.CollectorRegistry,
) -> ProcessMemory:
    """Return the memory of a router's calls, with its metrics registered.

    :param view: tells whose keys requests carry.
    """

    def identify(head: RequestHead) -> Requester:
        call = codec.decode_call(head, b'')
        organisation = view.find_organisation(call.key) if call.key else None
        name = '' if organisation is None else organisation.name
        return Requester(name, call.request_id)

    memory = ProcessMemory(MemoryBudget(), identify)
    registry.register(MemoryCollector(memory, held_bytes))
    return memory
