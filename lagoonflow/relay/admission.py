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
STALE_VIEW_RETRY_MS = 500
# A caller of a stream leaves when nothing comes for the longest of these:
# a fixed time in ms, and multiples of the route's targets.
STREAM_START_MS = 2000
STREAM_START_TARGETS = 4
STREAM_START_GAPS = 8
# Time that a caller waits when neither it nor the route says so, in ms.
DEFAULT_TIMEOUT_MS = 30_000


@dataclasses.dataclass(slots=True)
class AdmittedCall:
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
    deadline_at_ms: float
    start_by_ms: float
    charged_tokens: float

    @property
    def urgency(self) -> int:
        """Rank of the call, 0 first."""
        organisation = self.organisation
        if organisation is not None and organisation.urgency is not None:
            return organisation.urgency
        return self.route.urgency

    def start_time_left_ms(self, now_ms: float) -> float:
        """Time until the answer must have begun."""
        return min(self.start_by_ms, self.deadline_at_ms) - now_ms

    def time_left_ms(self, now_ms: float) -> float:
        """Time until the answer must be complete."""
        return self.deadline_at_ms - now_ms


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
        self._max_proof_age_ms = float('inf')
        if withdrawal_ms:
            self._max_proof_age_ms = withdrawal_ms - PROOF_MARGIN_MS

    def admit(self, call: Call, now_ms: float) -> AdmittedCall | Refusal:
        """Take a call or refuse it."""
        state = self._view.state
        if state is None:
            return _stale_view('no configuration is known yet')
        route = self._view.find_route(call.host, call.path)
        if route is None:
            if not self.is_view_fresh(now_ms):
                return _stale_view('the configuration may be out of date')
            return Refusal(Result.UNKNOWN_ROUTE, 'no route matches')
        organisation = self._authenticate(call, route, now_ms)
        if isinstance(organisation, Refusal):
            return organisation
        service_name = pick_service(route, call.request_id)
        service = state.services.get(service_name or '')
        if service is None:
            reason = 'the route leads to no declared service'
            return Refusal(Result.NO_RUNNER, reason)
        return self._admit_and_charge(
            call, route, service, organisation, now_ms
        )

    def is_view_fresh(self, now_ms: float) -> bool:
        """Whether keys may be trusted."""
        return self._view.age_ms(now_ms) <= self._max_proof_age_ms

    def recheck_key(
        self, admitted: AdmittedCall, now_ms: float
    ) -> Refusal | None:
        """Check right before a send that the call may still run."""
        if admitted.organisation is None:
            return None
        if not self.is_view_fresh(now_ms):
            return _stale_view('the configuration may be out of date')
        holder = self._view.holder_of(admitted.call.key)
        if holder is None or holder.name != admitted.organisation.name:
            return Refusal(Result.KEY_UNKNOWN, 'the key was withdrawn')
        return None

    def refund(self, admitted: AdmittedCall) -> None:
        """Give back the charge of a call that has not run."""
        if admitted.organisation is not None and admitted.charged_tokens:
            name = admitted.organisation.name
            self._meter.refund(name, admitted.charged_tokens)
            admitted.charged_tokens = 0

    def _authenticate(
        self, call: Call, route: Route, now_ms: float
    ) -> Organisation | Refusal | None:
        if route.is_public or not self._view.state.requires_keys:
            return None
        if not self.is_view_fresh(now_ms):
            return _stale_view('the configuration may be out of date')
        if not call.key:
            return Refusal(Result.KEY_MISSING, 'the call carries no key')
        holder = self._view.find_organisation(call.key)
        if holder is None:
            return Refusal(Result.KEY_UNKNOWN, 'the key is not known')
        return holder

    def _admit_and_charge(
        self,
        call: Call,
        route: Route,
        service: Service,
        organisation: Organisation | None,
        now_ms: float,
    ) -> AdmittedCall | Refusal:
        wait_ms = call.deadline_ms
        if wait_ms is None:
            wait_ms = route.timeout_ms or DEFAULT_TIMEOUT_MS
        limit_ms = min(wait_ms, route.timeout_ms or wait_ms)
        admitted = AdmittedCall(
            call,
            route,
            service,
            organisation,
            arrived_ms=now_ms,
            deadline_at_ms=now_ms + limit_ms,
            start_by_ms=now_ms + min(_start_timeout_ms(route), limit_ms),
            charged_tokens=0,
        )
        if organisation is not None:
            return self._charge_organisation(admitted, organisation, now_ms)
        return admitted

    def _charge_organisation(
        self, admitted: AdmittedCall, organisation: Organisation, now_ms: float
    ) -> AdmittedCall | Refusal:
        """Charge a call to its organisation, or refuse it."""
        tokens = _tokens_to_charge(admitted.call, organisation)
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
        admitted.charged_tokens = tokens
        return admitted


def _start_timeout_ms(route: Route) -> float:
    """How long a caller waits for the beginning of an answer."""
    if route.kind is not RouteKind.STREAM:
        return float('inf')
    return max(
        STREAM_START_MS,
        route.target_latency_ms * STREAM_START_TARGETS,
        route.gap_target_ms * STREAM_START_GAPS,
    )


def _tokens_to_charge(call: Call, organisation: Organisation) -> float:
    if organisation.counts_requests:
        return 1
    return call.tokens or organisation.plain_tokens


def _stale_view(reason: str) -> Refusal:
    return Refusal(
        Result.STALE_VIEW, reason, retry_after_ms=STALE_VIEW_RETRY_MS
    )
