"""Servers that tolerate only a low request rate for some time.

Handles the load on servers that have just started, were just listed or are in a
zone that was just taken back: all routers would send to them at once, as they
are idle, and a server that gets many more requests than it tolerates crashes.
"""

import dataclasses
from collections.abc import Mapping

import structlog

from lagoonflow.backends.messages import BackendServer
from lagoonflow.clock import MS_PER_S
from lagoonflow.declared.messages import Service
from lagoonflow.waking.copies import rendezvous_weight

# After the cold time the rate is doubled at each of these steps.
RAMP_STEP_MS = 250
RAMP_STEPS = 4
RAMP_MS = RAMP_STEP_MS * RAMP_STEPS
# A turn that was taken this long ago must not be used, in ms; a connection
# opens within 400 ms.
TURN_VALID_MS = 1000
# The wall clocks of hosts may differ by this much, in ms.
MAX_CLOCK_DIFFERENCE_MS = 2000
_LOG = structlog.get_logger(part='servers')
# Lowest rate, in requests per second: a call each 1,000 s.
MIN_RATE_PER_S = 0.001
DEFAULT_OVERAGE = 1.5
DEFAULT_SLACK = 5


@dataclasses.dataclass(frozen=True, slots=True)
class RouterShares:
    """The routers that share the rates of cold servers.

    :param routers: names of all of them, with this one.
    :param valid_from_ms: boot time from which this router may use its share;
        infinite while the routers are unknown.
    :param valid_until_ms: boot time at which this router's share expires unless
        it hears from more routers.
    """

    own_name: str = ''
    routers: frozenset[str] = frozenset(('',))
    valid_from_ms: float = float('-inf')
    valid_until_ms: float = float('inf')

    def rank(self, instance: str) -> int:
        """Return this router's place among those that use a server."""
        weight = rendezvous_weight(instance)
        own = (weight(self.own_name), self.own_name)
        return sum((weight(name), name) < own for name in self.routers)


@dataclasses.dataclass(slots=True)
class _Server:
    """What is known of one start of a server.

    :ivar name: name of its service, which may be undeclared.
    :ivar ended_ms: wall clock of the start before, whose records may be late.
    :ivar begun_ms: when it was last listed, started or taken back.
    :ivar stated_until_ms: when it is warm by what was said of it.
    :ivar taken_ms: latest turn of this router that was given to a call.
    :ivar sent_ms: latest request of this router.
    :ivar booked: waiting calls in order.
    :ivar taken: when calls that are about to be sent got their turn.
    """

    name: str
    zone: str
    started_ms: int
    service: Service | None
    begun_ms: float
    rank: int
    stated_until_ms: float = float('-inf')
    taken_ms: float = float('-inf')
    sent_ms: float = float('-inf')
    promised_ms: float = float('-inf')
    booked: dict[int, None] = dataclasses.field(default_factory=dict)
    taken: dict[int, float] = dataclasses.field(default_factory=dict)
    ended_ms: int | None = None

    def is_new_start(self, started_ms: int) -> bool:
        """Return whether a start is neither this one nor the one before."""
        return started_ms not in {self.started_ms, self.ended_ms}

    @property
    def warm_ms(self) -> float:
        """When the server has no limit any more, as boot time in ms."""
        if self.service is None or self.service.cold_per_s <= 0:
            return float('-inf')
        return RAMP_MS + max(
            self.begun_ms + self.service.cold_start_ms, self.stated_until_ms
        )

    def log_cold(self, instance: str, why: str) -> None:
        """Log that the server is cold, if its service has a rate for that."""
        if self.service is not None and self.service.cold_per_s > 0:
            _LOG.info('server is cold', server=instance, why=why)


@dataclasses.dataclass(frozen=True, slots=True)
class _Share:
    """This router's share of a server's rate at a time.

    :param from_ms: boot time from which it may send.
    :param warm_ms: boot time from which there is no limit.
    """

    interval_ms: float
    from_ms: float
    warm_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Rule:
    """How much of its rate a cold server gets, and from how many routers."""

    rate_factor: float
    users: int


class ColdServers:
    """Shares the rates of cold servers among the routers, and keeps this one's.

    A cold server is used by a few routers, chosen by rendezvous hashing, each at
    even intervals. In any second each of them sends at most one request more
    than its rate, so that the number of them is the slack of the rule. The
    overage of the rule is left for routers that disagree about the members.

    :param overage: factor of the rate that a server tolerates in any second.
    :param slack: requests that it tolerates in addition.
    """

    def __init__(
        self, overage: float = DEFAULT_OVERAGE, slack: float = DEFAULT_SLACK
    ) -> None:
        """Start without servers and rates, as the only router."""
        self._rule = _Rule(min(max(overage, 0), 1), max(int(slack), 1))
        self._services: Mapping[str, Service] = {}
        self._shares = RouterShares()
        self._servers: dict[str, _Server] = {}
        self.deferred = 0

    # Updates.

    def use_services(self, services: Mapping[str, Service]) -> None:
        """Use the rates that services declare."""
        self._services = services
        for known in self._servers.values():
            known.service = services.get(known.name)

    def update_shares(self, shares: RouterShares) -> None:
        """Set the routers that share the rates."""
        is_changed = shares.routers != self._shares.routers
        self._shares = shares
        if is_changed:
            for instance, known in self._servers.items():
                known.rank = shares.rank(instance)

    def note_listed(
        self,
        servers: list[BackendServer],
        now_ms: float,
        wall_ms: float | None = None,
    ) -> None:
        """Record entries that were read from the listing just now.

        :param wall_ms: wall clock, by which a server is known to have started
            long ago. Without it, each server that is new here is cold: a router
            that has just started would refuse calls although all are warm.
        """
        for server in servers:
            known = self._servers.get(server.instance)
            if known is None or known.is_new_start(server.started_ms):
                known = _listed(server, known, now_ms, wall_ms)
                known.service = self._services.get(server.service)
                known.rank = self._shares.rank(server.instance)
                self._servers[server.instance] = known
                if now_ms < known.warm_ms:
                    known.log_cold(server.instance, 'listed or started')
            self.hear(
                server.instance, server.started_ms, server.cold_for_ms, now_ms
            )

    def retain(self, instances: set[str]) -> None:
        """Forget the servers that are no longer listed."""
        self._servers = {
            instance: known
            for instance, known in self._servers.items()
            if instance in instances
        }

    def note_start(self, instance: str, started_ms: int, now_ms: float) -> None:
        """Record a start that a server's agent has reported."""
        known = self._servers.get(instance)
        if known is not None and known.is_new_start(started_ms):
            known.ended_ms = known.started_ms
            known.started_ms = started_ms
            known.begun_ms = now_ms
            known.log_cold(instance, 'started')

    def note_zone_returned(self, zone: str, now_ms: float) -> None:
        """Count the servers of a zone as cold, as it was just taken back."""
        for instance, known in self._servers.items():
            if known.zone == zone:
                known.begun_ms = now_ms
                known.log_cold(instance, 'zone taken back')

    def hear(
        self,
        instance: str,
        started_ms: int,
        cold_for_ms: float | None,
        now_ms: float,
    ) -> None:
        """Record for how long a server is said to be cold from now on.

        The latest end of all that was said counts, as a listing may be late.
        """
        known = self._servers.get(instance)
        if not cold_for_ms or known is None or known.started_ms != started_ms:
            return
        if now_ms >= known.warm_ms:
            known.log_cold(instance, 'it said so')
        known.stated_until_ms = max(known.stated_until_ms, now_ms + cold_for_ms)

    # Queries.

    def is_cold(self, instance: str, now_ms: float) -> bool:
        """Return whether a server is cold, or its rate is still being raised."""
        known = self._servers.get(instance)
        return known is not None and now_ms < known.warm_ms

    def count(self, now_ms: float) -> int:
        """Return the number of cold servers."""
        return sum(self.is_cold(instance, now_ms) for instance in self._servers)

    def wait_ms(self, instance: str, call_id: int, now_ms: float) -> float:
        """Return the time until a call may be sent to a server, in ms."""
        known = self._servers.get(instance)
        share = (
            None
            if known is None
            else _share(known, self._shares, self._rule, now_ms)
        )
        if share is None:
            return 0
        ahead = len(known.booked)
        if call_id in known.booked:
            ahead = list(known.booked).index(call_id)
        turn_ms = max(now_ms, share.from_ms, known.taken_ms + share.interval_ms)
        turn_ms += ahead * share.interval_ms
        return max(min(turn_ms, share.warm_ms) - now_ms, 0)

    # Turns of calls.

    def book(self, instance: str, call_id: int) -> None:
        """Reserve the next turn at a cold server for a waiting call."""
        self.release(call_id, except_instance=instance)
        known = self._servers.get(instance)
        if known is not None and call_id not in known.booked:
            known.booked[call_id] = None
            self.deferred += 1

    def take(self, instance: str, call_id: int, now_ms: float) -> None:
        """Give a call its turn; ``confirm`` must allow the send itself."""
        self.release(call_id)
        known = self._servers.get(instance)
        if (
            known is not None
            and _share(known, self._shares, self._rule, now_ms) is not None
        ):
            known.taken_ms = now_ms
            known.taken = {
                other: taken_ms
                for other, taken_ms in known.taken.items()
                if now_ms - taken_ms <= TURN_VALID_MS
            }
            known.taken[call_id] = now_ms

    def confirm(self, instance: str, call_id: int, now_ms: float) -> bool:
        """Use the turn of a call right before its send, if that is allowed.

        It isn't when the server turned cold, or the turn or the share expired
        meanwhile, for instance as the process was suspended.

        :param now_ms: time of a clock that counts suspended time.
        """
        known = self._servers.get(instance)
        share = (
            None
            if known is None
            else _share(known, self._shares, self._rule, now_ms)
        )
        if share is None:
            return True
        taken_ms = known.taken.pop(call_id, float('-inf'))
        earliest_ms = max(share.from_ms, known.sent_ms + share.interval_ms)
        if now_ms - taken_ms > TURN_VALID_MS or now_ms < earliest_ms:
            return False
        known.sent_ms = now_ms
        known.taken_ms = now_ms
        return True

    def release(self, call_id: int, *, except_instance: str = '') -> None:
        """Give up what a call has reserved at servers."""
        for instance, known in self._servers.items():
            if instance != except_instance:
                known.booked.pop(call_id, None)

    def promise_return(self, instance: str, now_ms: float) -> float:
        """Return the time after which a refused caller should return, in ms."""
        self.deferred += 1
        known = self._servers.get(instance)
        share = (
            None
            if known is None
            else _share(known, self._shares, self._rule, now_ms)
        )
        if share is None:
            return 0
        known.promised_ms = min(
            max(
                now_ms + self.wait_ms(instance, 0, now_ms),
                known.promised_ms + share.interval_ms,
            ),
            share.warm_ms,
        )
        return known.promised_ms - now_ms


def _listed(
    server: BackendServer,
    before: _Server | None,
    now_ms: float,
    wall_ms: float | None,
) -> _Server:
    """Return a start that was listed, without its service and rank.

    :param before: the start before, if that is known.
    """
    begun_ms = now_ms
    if before is None:
        begun_ms -= _known_age_ms(server, wall_ms)
    return _Server(
        server.service,
        server.zone,
        server.started_ms,
        service=None,
        begun_ms=begun_ms,
        rank=0,
        ended_ms=None if before is None else before.started_ms,
    )


def _known_age_ms(server: BackendServer, wall_ms: float | None) -> float:
    """Return the time since a server's start at least, in ms; 0 if unknown."""
    if wall_ms is None or not server.started_ms:
        return 0
    return max(wall_ms - server.started_ms - MAX_CLOCK_DIFFERENCE_MS, 0)


def _share(
    known: _Server, shares: RouterShares, rule: _Rule, now_ms: float
) -> _Share | None:
    """Return a router's share of a server's rate; ``None`` if it is warm.

    Each step after the cold time doubles the rate and the number of routers.
    """
    warm_ms = known.warm_ms
    if now_ms >= warm_ms:
        return None
    ramp_began_ms = warm_ms - RAMP_MS
    step = max((now_ms - ramp_began_ms) // RAMP_STEP_MS + 1, 0)
    factor = 2**step
    rate_per_s = known.service.cold_per_s * rule.rate_factor * factor
    interval_ms = MS_PER_S / max(rate_per_s, MIN_RATE_PER_S)
    interval_ms *= min(rule.users * factor, len(shares.routers))
    if now_ms >= shares.valid_until_ms:
        return _Share(interval_ms, warm_ms, warm_ms)
    own_step = _first_step(known.rank, rule.users)
    from_ms = shares.valid_from_ms
    if own_step > step:
        joins_ms = ramp_began_ms + (own_step - 1) * RAMP_STEP_MS
        from_ms = max(from_ms, joins_ms)
    return _Share(interval_ms, from_ms, warm_ms)


def _first_step(rank: int, users: int) -> int:
    """Return the step from which a router uses a server; 0 while it is cold.

    The last one is the end of the limit, from which all use it.
    """
    for step in range(RAMP_STEPS + 1):
        if rank < users * 2**step:
            return step
    return RAMP_STEPS + 1
