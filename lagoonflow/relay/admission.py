"""Admission of calls: route, API key, quota and deadlines."""

import dataclasses

from lagoonflow.clock import wall_clock_ms
from lagoonflow.crashes.fingerprints import fingerprint
from lagoonflow.crashes.guard import (
    BlamedCall,
    BlamedPrompt,
    CrashGuard,
    Sound,
    SuspectedCall,
    Verdict,
)
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
from lagoonflow.resumption.decision import VersionRule
from lagoonflow.resumption.messages import (
    AnyVersion,
    OneVersion,
    UnknownVersion,
)

# A withdrawn key must stop working within a set time. Keys are accepted only if
# the configuration was confirmed as current within that time less this margin.
CONFIRMATION_MARGIN_MS = 500
# Callers retry after this time when a router has no current configuration.
STALE_VIEW_RETRY_MS = 500
# Other routers probably know the version of a stream that this one doesn't.
UNKNOWN_VERSION_RETRY_MS = 250
# A caller of a stream gives up when the stream has not begun within the longest
# of these: a fixed time, and multiples of the route's latency target and of
# its target for gaps between events.
STREAM_START_MS = 2000
STREAM_START_TARGETS = 4
STREAM_START_GAPS = 8
# Timeout of a call when neither the caller nor the route states one.
DEFAULT_TIMEOUT_MS = 30_000
# A caller whose stream broke off just before its deadline may still be on its
# way back after it.
RESUME_MARGIN_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """The call can be decided on only once more is known.

    That is a newer list of servers, or the streams that other routers know of.

    :param refusal: answer if none of it arrives.
    """

    refusal: Refusal


@dataclasses.dataclass(slots=True)
class AdmittedCall:
    """A call that passed admission, with its deadlines.

    :ivar arrived_ms: boot time at which the call arrived.
    :ivar deadline_at_ms: boot time by which its answer must be complete.
    :ivar is_cut_short: that is when this process stops, and the call might
        take longer.
    :ivar start_by_ms: boot time by which its answer must have begun.
    :ivar charged_tokens: tokens charged to its organisation.
    :ivar fingerprint: what it has in common with its repeats only.
    :ivar software_version: version that began the stream that it resumes;
        ``None`` when any server may run it.
    """

    call: Call
    route: Route
    service: Service
    organisation: Organisation | None
    arrived_ms: float
    deadline_at_ms: float
    start_by_ms: float
    charged_tokens: float
    fingerprint: str = ''
    software_version: str | None = None
    is_cut_short: bool = False

    @property
    def urgency(self) -> int:
        """Priority of the call; 0 is the most urgent."""
        organisation = self.organisation
        if organisation is not None and organisation.urgency is not None:
            return organisation.urgency
        return self.route.urgency

    @property
    def resumable_until_ms(self) -> float:
        """Boot time until which the caller may resume the answer."""
        timeout_ms = max(
            self.call.deadline_ms or 0,
            self.route.timeout_ms or DEFAULT_TIMEOUT_MS,
        )
        return self.arrived_ms + timeout_ms + RESUME_MARGIN_MS

    def start_time_left_ms(self, now_ms: float) -> float:
        """Return the time in ms until the answer must have begun."""
        return min(self.start_by_ms, self.deadline_at_ms) - now_ms

    def time_left_ms(self, now_ms: float) -> float:
        """Return the time in ms until the answer must be complete."""
        return self.deadline_at_ms - now_ms


class Admission:
    """Checks the route, API key and quota of each call.

    :param view: declared routes, services and organisations.
    :param rate_limiter: token buckets of the organisations.
    :param withdrawal_ms: time in ms after which a withdrawn key must not be
        accepted; 0 for no such bound.
    :param version_rule: at which software version a resumed stream may run.
    :param crash_guard: which requests crash servers.
    """

    def __init__(
        self,
        view: DeclaredView,
        rate_limiter: FleetRateLimiter,
        withdrawal_ms: float,
        version_rule: VersionRule,
        crash_guard: CrashGuard,
    ) -> None:
        """Set the greatest age at which the configuration is trusted."""
        self._version_rule = version_rule
        self._crash_guard = crash_guard
        self._view = view
        self._rate_limiter = rate_limiter
        self._max_view_age_ms = float('inf')
        if withdrawal_ms:
            self._max_view_age_ms = withdrawal_ms - CONFIRMATION_MARGIN_MS

    def admit(
        self, call: Call, now_ms: float, arrived_ms: float | None = None
    ) -> AdmittedCall | Refusal | Undecided:
        """Admit a call and charge its organisation, or refuse it.

        An unknown route or key is refused for good only while the
        configuration is known to be current: a newer one may declare it.

        :param arrived_ms: boot time at which the call arrived, if not now.
        """
        state = self._view.state
        if state is None:
            return _stale_view('no configuration has been received yet')
        route = self._view.find_route(call.host, call.path)
        if route is None:
            if not self.is_view_fresh(now_ms):
                return _stale_view('the configuration may be out of date')
            return Refusal(Result.UNKNOWN_ROUTE, 'no route matches')
        organisation = self._authenticate(call, route, now_ms)
        if isinstance(organisation, Refusal):
            return organisation
        # A resumed stream goes on at the service that began it.
        service_name = pick_service(
            route, call.resumed_request_id or call.request_id
        )
        service = state.services.get(service_name or '')
        if service is None:
            reason = 'the route names no declared service'
            return Refusal(Result.NO_RUNNER, reason)
        return self._admit_and_charge(
            call,
            route,
            service,
            organisation,
            now_ms if arrived_ms is None else arrived_ms,
        )

    def is_list_confirmed(self, at_ms: float) -> bool:
        """Return whether the list of servers was complete at a time."""
        return self._version_rule.history.is_confirmed(at_ms)

    def is_view_fresh(self, now_ms: float) -> bool:
        """Return whether the configuration is recent enough to trust keys."""
        return self._view.age_ms(now_ms) <= self._max_view_age_ms

    def recheck_key(
        self, admitted: AdmittedCall, now_ms: float
    ) -> Refusal | None:
        """Refuse a call right before it is sent if its key was withdrawn.

        :return: ``None`` when the call may be sent.
        """
        if admitted.organisation is None:
            return None
        if not self.is_view_fresh(now_ms):
            return _stale_view('the configuration may be out of date')
        key_owner = self._view.find_organisation(admitted.call.key)
        if key_owner is None or key_owner.name != admitted.organisation.name:
            return Refusal(Result.KEY_UNKNOWN, 'the API key was withdrawn')
        return None

    def refuse_crashing(self, admitted: AdmittedCall) -> Refusal | None:
        """Refuse a call that crashes servers, or must not be tried now.

        :return: ``None`` when the call may be sent.
        """
        part_ids = [part.part_id for part in admitted.call.prompt]
        verdict = self._crash_guard.judge(
            part_ids, admitted.fingerprint, wall_clock_ms()
        )
        return _refuse_by_verdict(verdict)

    def begin_send(self, admitted: AdmittedCall) -> bool:
        """Record that a call is sent; return whether it is a trial."""
        return self._crash_guard.begin_send(
            admitted.fingerprint, wall_clock_ms()
        )

    def end_trial(self, admitted: AdmittedCall) -> None:
        """Record that a trial was answered, or that the server rejected it."""
        self._crash_guard.end_trial(admitted.fingerprint)

    def refund(self, admitted: AdmittedCall) -> None:
        """Refund the charge of a call that has not run."""
        if admitted.organisation is not None and admitted.charged_tokens:
            name = admitted.organisation.name
            self._rate_limiter.refund(name, admitted.charged_tokens)
            admitted.charged_tokens = 0

    def _authenticate(
        self, call: Call, route: Route, now_ms: float
    ) -> Organisation | Refusal | None:
        if route.is_public or not self._view.state.requires_keys:
            return None
        if not self.is_view_fresh(now_ms):
            return _stale_view('the configuration may be out of date')
        if not call.key:
            return Refusal(Result.KEY_MISSING, 'the call has no API key')
        key_owner = self._view.find_organisation(call.key)
        if key_owner is None:
            return Refusal(Result.KEY_UNKNOWN, 'the API key is unknown')
        return key_owner

    def _admit_and_charge(
        self,
        call: Call,
        route: Route,
        service: Service,
        organisation: Organisation | None,
        arrived_ms: float,
    ) -> AdmittedCall | Refusal | Undecided:
        caller_timeout_ms = call.deadline_ms
        if caller_timeout_ms is None:
            caller_timeout_ms = route.timeout_ms or DEFAULT_TIMEOUT_MS
        timeout_ms = min(
            caller_timeout_ms, route.timeout_ms or caller_timeout_ms
        )
        requirement = self._version_rule.require(
            call, route, service.name, arrived_ms
        )
        if isinstance(requirement, UnknownVersion):
            refusal = Refusal(
                Result.NO_RUNNER,
                requirement.reason,
                retry_after_ms=UNKNOWN_VERSION_RETRY_MS,
            )
            if requirement.may_become_known:
                return Undecided(refusal)
            return refusal
        admitted = AdmittedCall(
            call,
            route,
            service,
            organisation,
            arrived_ms=arrived_ms,
            deadline_at_ms=arrived_ms + timeout_ms,
            start_by_ms=arrived_ms + min(_start_timeout_ms(route), timeout_ms),
            charged_tokens=0,
            fingerprint=_fingerprint(call, organisation),
            software_version=_required_version(requirement),
        )
        crashing = self.refuse_crashing(admitted)
        if crashing is not None:
            return crashing
        if organisation is not None:
            return self._charge_organisation(admitted, organisation, arrived_ms)
        return admitted

    def _charge_organisation(
        self, admitted: AdmittedCall, organisation: Organisation, now_ms: float
    ) -> AdmittedCall | Refusal:
        """Charge a call to its organisation, or refuse it over the rate."""
        tokens = _tokens_to_charge(admitted.call, organisation)
        name = organisation.name
        limiter = self._rate_limiter
        if limiter.is_limited(name) and not limiter.may_use_share:
            return _stale_view('the other routers may not count this one')
        wait_ms = self._rate_limiter.wait_ms(name, tokens, now_ms)
        if wait_ms > 0:
            level_tokens = self._rate_limiter.level(name)
            return Refusal(
                Result.RATE_EXCEEDED,
                f'{name} has {int(level_tokens)} tokens left of'
                f' {int(organisation.burst_tokens)}, gains'
                f' {int(organisation.rate_tokens_per_s)} a second,'
                f' and {int(tokens)} are needed',
                retry_after_ms=int(wait_ms) + 1,
            )
        self._rate_limiter.charge(name, tokens, now_ms)
        admitted.charged_tokens = tokens
        return admitted


def _refuse_by_verdict(verdict: Verdict) -> Refusal | None:
    match verdict:
        case Sound():
            return None
        case BlamedPrompt(blame=blame, for_ms=for_ms):
            named = ', '.join(sorted(blame.parts))
            return Refusal(
                Result.PROMPT_CRASHES_SERVERS,
                f'{len(blame.crashed_at_ms)} servers crashed under requests'
                f' with the prompt part {named}',
                retry_after_ms=for_ms,
            )
        case BlamedCall(crashes=crashes, for_ms=for_ms):
            return Refusal(
                Result.REQUEST_CRASHES_SERVERS,
                f'{crashes} servers crashed under this request',
                retry_after_ms=for_ms,
            )
        case SuspectedCall(crashes=crashes, wait_ms=wait_ms):
            return Refusal(
                Result.REQUEST_CRASHES_SERVERS,
                f'{crashes} servers crashed under this request, which is now'
                ' tried by one router at a time',
                retry_after_ms=wait_ms,
            )


def _required_version(requirement: AnyVersion | OneVersion) -> str | None:
    match requirement:
        case OneVersion(software_version=version):
            return version
        case AnyVersion():
            return None


def _fingerprint(call: Call, organisation: Organisation | None) -> str:
    caller = '' if organisation is None else organisation.name
    part_ids = (part.part_id for part in call.prompt)
    return fingerprint(call.head, call.body, call.host, caller, part_ids)


def _start_timeout_ms(route: Route) -> float:
    """Return how long a caller waits for its answer to begin, in ms."""
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
