"""Deadlines of the calls in flight, and the time until the process stops."""

import asyncio
import collections
import contextlib
import math
from collections.abc import AsyncIterator

from lagoonflow.clock import MS_PER_S, boottime_ms
from lagoonflow.declared.messages import Route
from lagoonflow.declared.view import DeclaredView
from lagoonflow.relay.admission import AdmittedCall
from lagoonflow.relay.attempts import Attempts
from lagoonflow.relay.replacement import ReplacementSearch
from lagoonflow.relay.timers import move_timeout
from lagoonflow.relay.waits import AnswerTimeout, answer_timeout_ms
from lagoonflow.results import Refusal, Result
from lagoonflow.time_limits import TimeLimit, time_limit

# Answers of a route whose durations are remembered.
KEPT_DURATIONS = 32
# This share of the remembered answers took no longer than what counts as usual.
USUAL_SHARE = 0.9
# Routes whose durations are remembered; the ones used least recently are
# dropped first.
MAX_ROUTES = 2000


class UsualDurations:
    """How long the answers of each route take, from the send to their end."""

    def __init__(self) -> None:
        """Remember nothing yet."""
        self._durations_ms: collections.OrderedDict[
            str, collections.deque[float]
        ] = collections.OrderedDict()

    def note(self, route: Route, duration_ms: float) -> None:
        """Remember how long an answer took."""
        durations = self._durations_ms.setdefault(
            route.name, collections.deque(maxlen=KEPT_DURATIONS)
        )
        durations.append(duration_ms)
        self._durations_ms.move_to_end(route.name)
        if len(self._durations_ms) > MAX_ROUTES:
            self._durations_ms.popitem(last=False)

    def usual_ms(self, route: Route) -> float:
        """Return the time that an answer usually takes at most, in ms.

        While no answer is known it is the route's latency target.
        """
        durations = sorted(self._durations_ms.get(route.name, ()))
        if not durations:
            return route.target_latency_ms
        return durations[math.ceil(len(durations) * USUAL_SHARE) - 1]


class CallDeadlines:
    """Ends calls in flight at their deadlines, which may be lowered.

    :ivar usual: how long answers take.
    """

    def __init__(self, view: DeclaredView) -> None:
        """Start without calls."""
        self.usual = UsualDurations()
        self._view = view
        self._timers: dict[int, tuple[AdmittedCall, TimeLimit]] = {}
        self._stop_at_ms = float('inf')
        self._is_in_rotation = True

    @property
    def is_stopping(self) -> bool:
        """Whether the process is about to end."""
        return self._stop_at_ms < float('inf')

    def bound(self, admitted: AdmittedCall) -> None:
        """End a new call before the process stops."""
        _cut_short(admitted, self._stop_at_ms)

    def refuse_late(self, admitted: AdmittedCall) -> Refusal | None:
        """Refuse a call that the end of the process might cut.

        While this process is in rotation, a refused caller may be sent back to
        it until no retry is left, so calls are sent that usually end in time.
        After that another router serves those that are refused, and only a
        deadline ends a call for certain.

        :return: ``None`` when the call may be sent.
        """
        if not admitted.is_cut_short:
            return None
        left_ms = self._stop_at_ms - boottime_ms()
        if (
            self._is_in_rotation
            and self.usual.usual_ms(admitted.route) <= left_ms
        ):
            return None
        return Refusal(
            Result.DEADLINE_UNREACHABLE,
            f'the router stops in {int(left_ms)} ms, before the deadline of the'
            ' call',
        )

    @contextlib.asynccontextmanager
    async def limit(self, admitted: AdmittedCall) -> AsyncIterator[None]:
        """Raise ``TimeoutError`` in the context at the deadline of a call."""
        left_ms = admitted.time_left_ms(boottime_ms())
        try:
            async with time_limit(left_ms, counts_stalls=True) as timer:
                self._timers[id(admitted)] = (admitted, timer)
                yield
        finally:
            self._timers.pop(id(admitted), None)

    def apply_route_timeouts(self) -> None:
        """Apply lowered route timeouts to calls in flight."""
        for admitted, timer in self._timers.values():
            route = self._view.find_route(
                admitted.call.host, admitted.call.path
            )
            if route is not None and route.timeout_ms:
                limit_ms = admitted.arrived_ms + route.timeout_ms
                _lower_deadline(admitted, timer, limit_ms)

    def finish_by(self, stop_at_ms: float, *, is_in_rotation: bool) -> None:
        """End all calls by a time, in flight and new ones.

        :param stop_at_ms: boot time by which all calls are answered.
        :param is_in_rotation: whether callers that are refused may be sent to
            this process again.
        """
        self._stop_at_ms = stop_at_ms
        self._is_in_rotation = is_in_rotation
        for admitted, timer in self._timers.values():
            if _cut_short(admitted, stop_at_ms):
                _move_to_deadline(admitted, timer)


def _cut_short(admitted: AdmittedCall, stop_at_ms: float) -> bool:
    """End a call when the process stops, if its deadline is later."""
    if stop_at_ms >= admitted.deadline_at_ms:
        return False
    admitted.deadline_at_ms = stop_at_ms
    admitted.is_cut_short = True
    return True


def _lower_deadline(
    admitted: AdmittedCall, timer: TimeLimit, limit_ms: float
) -> None:
    """Set the deadline of a call in flight if the new one is earlier."""
    if limit_ms < admitted.deadline_at_ms:
        admitted.deadline_at_ms = limit_ms
        _move_to_deadline(admitted, timer)


def _move_to_deadline(admitted: AdmittedCall, timer: TimeLimit) -> None:
    left_s = max(admitted.time_left_ms(boottime_ms()), 0) / MS_PER_S
    move_timeout(timer, asyncio.get_running_loop().time() + left_s)


def answer_timeout(
    admitted: AdmittedCall, attempts: Attempts, search: ReplacementSearch
) -> AnswerTimeout:
    """Return how long to wait, with time left for a retry if one is allowed.

    Without a retry the call's own deadline ends the wait.

    :param search: looks for another server when that time is up.
    """
    left_ms = admitted.time_left_ms(boottime_ms())
    may_retry = (
        admitted.route.is_repeatable
        and attempts.possible_runs + 1 < admitted.route.most_sends
    )
    return AnswerTimeout(
        answer_timeout_ms(left_ms, may_retry), may_retry, search
    )
