"""Speeds of servers that share their machines with other work.

Such servers differ in speed by a factor of two for as long as they run, and in
addition for fractions of a second. A router that takes them for equal sends as
many requests to the slow ones, where they wait. The speed is estimated as two
components: a lasting one from the times of a server's own answers, and a
momentary one from the work time that it reports.
"""

import dataclasses
import math

import structlog

from lagoonflow.backends.messages import BackendServer
from lagoonflow.backends.speed_fit import SpeedFit, WeightedMean

# The speeds of a service are used for this long after one of its servers last
# reported its work time.
ACTIVE_MS = 600_000
# The effect of a reported work time is halved in this time: slowdowns pass
# after about 600 ms, so a report is of little use after a second.
MOMENTARY_HALF_LIFE_MS = 300
# Weight of a report of work time in the server's usual one is halved in this
# time, so that passing slowdowns are averaged.
USUAL_HALF_LIFE_MS = 60_000
# A report counts for at most this long in the usual work time.
MAX_REPORT_MS = 1000
# Bounds of believed work times, in percent.
MIN_WORK_TIME_PERCENT = 10
MAX_WORK_TIME_PERCENT = 1000
# Offsets are fitted at most this often, in ms: a fit of full tables takes some
# 20 ms of a processor core.
FIT_INTERVAL_MS = 2000
# Times are differences of whole ms, so one of 0 is shorter than this.
CLOCK_TICK_MS = 1
# Ratio of time to predicted time beyond which an observation is a fault of the
# prediction or of the server, as a logarithm.
MAX_LOG_TIME = 12
# A server's speed is logged when it has changed by this much since, as a
# logarithm: a fifth.
LOGGED_CHANGE = 0.2
# Plans use factors in steps of this size, as a logarithm, so that routers with
# nearly the same estimates plan alike.
PLAN_STEP = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class SpeedObservation:
    """What one router has observed of the speed of one start of a server.

    :param log_factor: logarithm of the time that work takes there, relative to
        the other servers of the service.
    :param weight: number of observations; older ones count less.
    """

    instance: str
    started_ms: int
    log_factor: float
    weight: float


@dataclasses.dataclass(slots=True)
class _KnownServer:
    """What is known of one start of a server.

    :ivar log_work_time: logarithm of the work time that it reported last.
    :ivar reported_at_ms: boot time of that report.
    :ivar usual_log: smoothed logarithm of its work time.
    :ivar logged: its offset when it was last logged.
    """

    service: str
    started_ms: int
    log_work_time: float = 0
    reported_at_ms: float = float('-inf')
    usual_log: float = 0
    logged: float = 0

    def note_work_time(self, log_work_time: float, now_ms: float) -> None:
        """Record a report; the previous one held until now."""
        held_ms = min(now_ms - self.reported_at_ms, MAX_REPORT_MS)
        kept = 0.5 ** (max(held_ms, 0) / USUAL_HALF_LIFE_MS)
        self.usual_log = kept * self.usual_log + (1 - kept) * log_work_time
        self.log_work_time = log_work_time
        self.reported_at_ms = now_ms

    def momentary_log(self, now_ms: float) -> float:
        """Return the expected logarithm of the work time at this moment."""
        age_ms = max(now_ms - self.reported_at_ms, 0)
        fresh = 0.5 ** (age_ms / MOMENTARY_HALF_LIFE_MS)
        return self.usual_log + fresh * (self.log_work_time - self.usual_log)


class ServerSpeeds:
    """Estimates how much longer than usual work takes at each server."""

    def __init__(self) -> None:
        """Start with servers of unknown, that is normal, speed."""
        self._log = structlog.get_logger(part='servers')
        self._servers: dict[str, _KnownServer] = {}
        self._fits: dict[str, SpeedFit] = {}
        self._fitted_at_ms: dict[str, float] = {}
        self._active_until_ms: dict[str, float] = {}

    # Updates.

    def note_work_time(
        self,
        server: BackendServer | None,
        percent: float | None,
        now_ms: float,
    ) -> None:
        """Record the work time that a server reported, if it is listed.

        :param percent: the reported time in percent; ``None`` or 0 when
            unstated.
        """
        if server is None or not percent or not 0 < percent < math.inf:
            return
        known = self._track(server)
        if not self._is_service_active(server.service, now_ms):
            self._log.info('server speeds in use', service=server.service)
        self._active_until_ms[server.service] = now_ms + ACTIVE_MS
        bounded = min(
            max(percent, MIN_WORK_TIME_PERCENT), MAX_WORK_TIME_PERCENT
        )
        known.note_work_time(math.log(bounded / 100), now_ms)

    def observe(
        self,
        server: BackendServer,
        work: str,
        took_ms: float,
        predicted_ms: float,
        now_ms: float,
    ) -> None:
        """Record how long the first part of an answer took.

        :param work: what makes requests comparable: a model, or a route.
        :param predicted_ms: predicted time at a server of normal speed, up to
            a factor of the work.
        """
        known = self._servers.get(server.instance)
        if (
            known is None
            or known.started_ms != server.started_ms
            or not self._is_service_active(server.service, now_ms)
            or predicted_ms <= 0
        ):
            return
        log_time = math.log(max(took_ms, CLOCK_TICK_MS) / predicted_ms)
        log_time -= known.momentary_log(now_ms)
        if abs(log_time) < MAX_LOG_TIME:
            fit = self._fits[server.service]
            fit.observe(work, server.instance, log_time, now_ms)
            self._fit_if_due(server.service, now_ms)

    def learn(
        self,
        router: str,
        server: BackendServer,
        observation: SpeedObservation,
        now_ms: float,
    ) -> None:
        """Record what another router has observed of a server until now.

        An observation of an earlier start of the server, or a malformed one,
        is ignored.
        """
        is_valid = math.isfinite(observation.log_factor) and (
            0 < observation.weight < math.inf
        )
        is_present = observation.started_ms == server.started_ms
        if not is_valid or not is_present:
            return
        self._track(server)
        mean = WeightedMean(observation.weight, observation.log_factor, now_ms)
        self._fits[server.service].hear(router, server.instance, mean)
        self._fit_if_due(server.service, now_ms)

    def forget(self, instances: list[str]) -> None:
        """Drop what is known of servers that were removed."""
        for instance in instances:
            known = self._servers.pop(instance, None)
            if known is not None:
                self._fits[known.service].forget(instance)

    # Queries.

    def is_active(self, server: BackendServer, now_ms: float) -> bool:
        """Return whether the servers of a server's service report work times.

        Without such reports all servers are taken to be equally fast.
        """
        return self._is_service_active(server.service, now_ms)

    def time_factor(self, server: BackendServer, now_ms: float) -> float:
        """Return by how much longer than usual work takes at a server now.

        1.0 for a server of normal speed and where speeds aren't in use, and
        above 1 for a slow one.
        """
        known = self._known(server, now_ms)
        if known is None:
            return 1.0
        lasting_log = self._fits[server.service].offset(server.instance)
        return math.exp(lasting_log + known.momentary_log(now_ms))

    def lasting_factor(self, server: BackendServer, now_ms: float) -> float:
        """Return the lasting part of the factor, in coarse steps, for plans."""
        known = self._known(server, now_ms)
        if known is None:
            return 1.0
        lasting_log = self._fits[server.service].offset(server.instance)
        return math.exp(
            round((lasting_log + known.usual_log) / PLAN_STEP) * PLAN_STEP
        )

    def usual_ms(
        self,
        server: BackendServer,
        work: str,
        predicted_ms: float,
        now_ms: float,
    ) -> float | None:
        """Return how long the work usually takes at a server at this moment.

        ``None`` while that isn't known, and where speeds aren't in use.
        """
        known = self._known(server, now_ms)
        if known is None:
            return None
        fit = self._fits[server.service]
        usual_log = fit.usual_log_time(work, server.instance)
        if usual_log is None:
            return None
        return predicted_ms * math.exp(usual_log + known.momentary_log(now_ms))

    def own_observations(self, now_ms: float) -> list[SpeedObservation]:
        """Return what this router itself has observed, for the others."""
        return [
            SpeedObservation(
                instance,
                self._servers[instance].started_ms,
                mean.mean,
                mean.weight_at(now_ms),
            )
            for service, fit in self._fits.items()
            if self._is_service_active(service, now_ms)
            for instance, mean in fit.own_observations().items()
            if instance in self._servers
        ]

    # Helpers.

    def _is_service_active(self, service: str, now_ms: float) -> bool:
        return now_ms < self._active_until_ms.get(service, float('-inf'))

    def _known(
        self, server: BackendServer, now_ms: float
    ) -> _KnownServer | None:
        known = self._servers.get(server.instance)
        if known is None or known.started_ms != server.started_ms:
            return None
        is_active = self._is_service_active(server.service, now_ms)
        return known if is_active else None

    def _track(self, server: BackendServer) -> _KnownServer:
        """Return the record of the start that is listed at present."""
        known = self._servers.get(server.instance)
        if known is None or server.started_ms != known.started_ms:
            self.forget([server.instance])
            known = _KnownServer(server.service, server.started_ms)
            self._servers[server.instance] = known
            self._fits.setdefault(server.service, SpeedFit())
        return known

    def _fit_if_due(self, service: str, now_ms: float) -> None:
        fitted_at_ms = self._fitted_at_ms.get(service, float('-inf'))
        if now_ms - fitted_at_ms < FIT_INTERVAL_MS:
            return
        self._fitted_at_ms[service] = now_ms
        fit = self._fits[service]
        fit.fit(now_ms)
        for instance in fit.own_observations():
            self._log_change(instance, fit.offset(instance))

    def _log_change(self, instance: str, offset: float) -> None:
        known = self._servers.get(instance)
        if known is not None and abs(offset - known.logged) >= LOGGED_CHANGE:
            known.logged = offset
            self._log.info(
                'server speed',
                server=instance,
                time_factor=round(math.exp(offset), 2),
            )
