"""Estimates of servers' present load from reports that are already old.

Handles many routers that choose at the same moment by load reports up to a
second old. The other routers' requests at a server are estimated as

    w * stated + usual + (observed - usual) * exp(-age / T)

``stated`` is what the other routers say they have in flight there and
``w = exp(-gap / T)``, with the pause ``gap`` between their statements and the
mean time ``T`` for which a request is in flight. ``observed`` is the latest
report of the server less this router's own requests and ``w * stated`` at its
arrival; ``usual`` is the mean of this difference over the servers of the
service. Thus a report corrects the statements while it is new, and an old one
makes the servers look alike instead of fixing a past state.
"""

import collections
import dataclasses
import math
from collections.abc import Callable

from lagoonflow.backends.peer_loads import PeerLoads

# Weight of the newest report in the mean difference of a service, and of the
# newest duration in the mean duration.
SMOOTHING = 0.03
# Share of the newer requests that count as unseen. With all of them, overrun
# time at 4 servers was 0.22 in benchmarks/load_balancing.py; with none, the wait
# grows at 24 servers, where more routers see the same few idle slots.
UNSEEN_SHARE = 0.4
# Assumed time for which a request is in flight, until one has ended.
FIRST_DURATION_MS = 100
# Bounds of the mean duration: shorter ones would make reports useless on
# arrival, and longer streams keep a server's load the same for long enough.
MIN_DURATION_MS = 10
MAX_DURATION_MS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """A report of a server's load.

    :param outstanding: requests that run or wait there.
    :param own: this router's requests among them.
    :param is_shared: other routers have received the same report at the same
        time, and choose alike.
    """

    instance: str
    service: str
    outstanding: float
    own: int
    is_shared: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LoadEstimate:
    """Estimated requests of the other routers at a server.

    :param requests: requests that run or wait there.
    :param unseen: requests that other routers with the same knowledge have
        probably sent to it since.
    """

    requests: float
    unseen: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Observed:
    difference: float
    received_ms: float
    is_shared: bool


@dataclasses.dataclass(slots=True)
class _ServiceMeans:
    duration_ms: float = FIRST_DURATION_MS
    difference: float | None = None
    has_duration: bool = False


class LoadEstimates:
    """Predicts the other routers' requests at each server.

    :ivar gap_ms: pause between two statements of one router; infinite when
        the routers tell each other nothing.
    :ivar on_error: called with the service and the difference in requests
        between the estimate at the arrival of a report and the report.
    """

    def __init__(self, peers: PeerLoads) -> None:
        """Start without reports.

        :param peers: what the other routers have in flight.
        """
        self.gap_ms = float('inf')
        self.on_error: Callable[[str, float], None] | None = None
        self._peers = peers
        self._observed: dict[str, _Observed] = {}
        self._services: collections.defaultdict[str, _ServiceMeans] = (
            collections.defaultdict(_ServiceMeans)
        )

    def note_duration(self, service: str, duration_ms: float) -> None:
        """Record how long a request was in flight."""
        means = self._services[service]
        duration_ms = min(max(duration_ms, MIN_DURATION_MS), MAX_DURATION_MS)
        if not means.has_duration:
            means.has_duration = True
            means.duration_ms = duration_ms
        means.duration_ms += SMOOTHING * (duration_ms - means.duration_ms)

    def observe(self, report: LoadReport, now_ms: float) -> None:
        """Record a report that has just arrived."""
        if self.on_error is not None:
            estimate = self.others(report.instance, report.service, now_ms)
            self.on_error(
                report.service,
                estimate.requests + report.own - report.outstanding,
            )
        stated = self._stated(report.instance, report.service)
        difference = report.outstanding - report.own - stated
        self._observed[report.instance] = _Observed(
            difference, now_ms, report.is_shared
        )
        means = self._services[report.service]
        if means.difference is None:
            means.difference = difference
        means.difference += SMOOTHING * (difference - means.difference)

    def others(
        self, instance: str, service: str, now_ms: float
    ) -> LoadEstimate:
        """Estimate the other routers' requests at a server."""
        weight = self._statement_weight(service)
        requests = weight * self._peers.total(instance)
        means = self._services[service]
        usual = means.difference or 0
        requests += usual
        shared_weight = weight
        observed = self._observed.get(instance)
        if observed is not None:
            age_ms = now_ms - observed.received_ms
            report_weight = math.exp(-age_ms / means.duration_ms)
            requests += (observed.difference - usual) * report_weight
            if observed.is_shared:
                shared_weight = max(weight, report_weight)
        requests = max(requests, 0)
        # The factor 1 - weight is the share of requests that are newer than
        # the knowledge of them; knowledge that is too old to count for much
        # doesn't make routers choose alike either.
        unseen = UNSEEN_SHARE * shared_weight * (1 - shared_weight)
        return LoadEstimate(requests, requests * unseen)

    def forget(self, instance: str) -> None:
        """Drop the report of a server that was removed."""
        self._observed.pop(instance, None)

    def _stated(self, instance: str, service: str) -> float:
        return self._statement_weight(service) * self._peers.total(instance)

    def _statement_weight(self, service: str) -> float:
        duration_ms = self._services[service].duration_ms
        return math.exp(-self.gap_ms / duration_ms)
