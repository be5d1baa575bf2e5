"""Decides whether a call is taken, and on what terms."""

import dataclasses

from lagoonflow.declared.messages import (
    Organisation,
    Route,
    RouteKind,
    Service,
)
from lagoonflow.declared.view import DeclaredView, pick_service
from lagoonflow.quotas.fleet_rate_limiter import FleetRateLimiter
from lagoonflow.relay.messages import Call
from lagoonflow.results import Refusal, Result

# The proof that a key still holds must be this much younger than the time
# after which a withdrawn key must not work, in ms.
PROOF_MARGIN_MS = 500
# When to come back to a router that has no current configuration, in ms.
UNCURRENT_RETRY_MS = 500
# A caller of a stream leaves when nothing comes for the longest of these:
# a fixed time in ms, and multiples of the route's targets.
STREAM_PATIENCE_MS = 2000
PATIENCE_TARGETS = 4
PATIENCE_GAPS = 8
# Time that a caller waits when neither it nor the route says so, in ms.
DEFAULT_TIMEOUT_MS = 30_000


@dataclasses.dataclass(slots=True)
class Ticket:
    """A call that was taken.

    :ivar limit_ms: when its answer must be complete.
    :ivar begin_limit_ms: when its answer must have begun.
    :ivar charged_tokens: what its organisation was charged.
    """

    call: Call
    route: Route
    service: Service
    organisation: Organisation | None
    arrived_ms: float
    limit_ms: float
    begin_limit_ms: float
    charged_tokens: float

    @property
    def urgency(self) -> int:
        """Rank of the call, 0 first."""
        organisation = self.organisation
        if organisation is not None and organisation.urgency is not None:
            return organisation.urgency
        return self.route.urgency

    def begin_left_ms(self, now_ms: float) -> float:
        """Time until the answer must have begun."""
        return min(self.begin_limit_ms, self.limit_ms) - now_ms

    def left_ms(self, now_ms: float) -> float:
        """Time until the answer must be complete."""
        return self.limit_ms - now_ms


class Admission:
    """Checks route, key and quota of a call.

    :param withdrawal_ms: time after which a withdrawn key must not work; 0
        when there is no such bound.
    """

    def __init__(
        self, view: DeclaredView, meter: FleetRateLimiter, withdrawal_ms: float
    ) -> None:
        """Decide by the declared state and the meter."""
        self._view = view
        self._meter = meter
        self._proof_limit_ms = float('inf')
        if withdrawal_ms:
            self._proof_limit_ms = withdrawal_ms - PROOF_MARGIN_MS

    def admit(self, call: Call, now_ms: float) -> Ticket | Refusal:
        """Take a call or refuse it."""
        state = self._view.state
        if state is None:
            return _uncurrent('no configuration is known yet')
        route = self._view.find_route(call.host, call.path)
        if route is None:
            if not self.is_current(now_ms):
                return _uncurrent('the configuration may be out of date')
            return Refusal(Result.UNKNOWN_ROUTE, 'no route matches')
        organisation = self._authenticate(call, route, now_ms)
        if isinstance(organisation, Refusal):
            return organisation
        service_name = pick_service(route, call.request_id)
        service = state.services.get(service_name or '')
        if service is None:
            reason = 'the route leads to no declared service'
            return Refusal(Result.NO_RUNNER, reason)
        return self._charge(call, route, service, organisation, now_ms)

    def is_current(self, now_ms: float) -> bool:
        """Whether keys may be trusted."""
        return self._view.age_ms(now_ms) <= self._proof_limit_ms

    def recheck(self, ticket: Ticket, now_ms: float) -> Refusal | None:
        """Check right before a send that the call may still run."""
        if ticket.organisation is None:
            return None
        if not self.is_current(now_ms):
            return _uncurrent('the configuration may be out of date')
        holder = self._view.find_organisation(ticket.call.key)
        if holder is None or holder.name != ticket.organisation.name:
            return Refusal(Result.KEY_UNKNOWN, 'the key was withdrawn')
        return None

    def refund(self, ticket: Ticket) -> None:
        """Give back the charge of a call that has not run."""
        if ticket.organisation is not None and ticket.charged_tokens:
            name = ticket.organisation.name
            self._meter.refund(name, ticket.charged_tokens)
            ticket.charged_tokens = 0

    def _authenticate(
        self, call: Call, route: Route, now_ms: float
    ) -> Organisation | Refusal | None:
        if route.is_public or not self._view.state.requires_keys:
            return None
        if not self.is_current(now_ms):
            return _uncurrent('the configuration may be out of date')
        if not call.key:
            return Refusal(Result.KEY_MISSING, 'the call carries no key')
        holder = self._view.find_organisation(call.key)
        if holder is None:
            return Refusal(Result.KEY_UNKNOWN, 'the key is not known')
        return holder

    def _charge(
        self,
        call: Call,
        route: Route,
        service: Service,
        organisation: Organisation | None,
        now_ms: float,
    ) -> Ticket | Refusal:
        wait_ms = call.deadline_ms
        if wait_ms is None:
            wait_ms = route.timeout_ms or DEFAULT_TIMEOUT_MS
        limit_ms = min(wait_ms, route.timeout_ms or wait_ms)
        ticket = Ticket(
            call,
            route,
            service,
            organisation,
            arrived_ms=now_ms,
            limit_ms=now_ms + limit_ms,
            begin_limit_ms=now_ms + min(_patience_ms(route), limit_ms),
            charged_tokens=0,
        )
        if organisation is not None:
            return self._charge_ticket(ticket, organisation, now_ms)
        return ticket

    def _charge_ticket(
        self, ticket: Ticket, organisation: Organisation, now_ms: float
    ) -> Ticket | Refusal:
        """Charge a call to its organisation, or refuse it."""
        tokens = _charge_of(ticket.call, organisation)
        name = organisation.name
        wait_ms = self._meter.wait_ms(name, tokens, now_ms)
        if wait_ms > 0:
            level_tokens = self._meter.level(name)
            return Refusal(
                Result.RATE_EXCEEDED,
                f'{name} has {int(level_tokens)} tokens left of'
                f' {int(organisation.burst_tokens)}, gains'
                f' {int(organisation.rate_tokens_per_s)} a second,'
                f' and {int(tokens)} are needed',
                retry_after_ms=int(wait_ms) + 1,
            )
        self._meter.charge(name, tokens, now_ms)
        ticket.charged_tokens = tokens
        return ticket


def _patience_ms(route: Route) -> float:
    """How long a caller waits for the beginning of an answer."""
    if route.kind is not RouteKind.STREAM:
        return float('inf')
    return max(
        STREAM_PATIENCE_MS,
        route.target_latency_ms * PATIENCE_TARGETS,
        route.gap_target_ms * PATIENCE_GAPS,
    )


def _charge_of(call: Call, organisation: Organisation) -> float:
    if organisation.counts_requests:
        return 1
    return call.tokens or organisation.plain_tokens


def _uncurrent(reason: str) -> Refusal:
    return Refusal(Result.STALE_VIEW, reason, retry_after_ms=UNCURRENT_RETRY_MS)
