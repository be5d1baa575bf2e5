"""Deadlines of the calls in flight, and the time until the process stops."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from lagoonflow.clock import MS_PER_S, boottime_ms
from lagoonflow.declared.view import DeclaredView
from lagoonflow.relay.admission import AdmittedCall
from lagoonflow.relay.attempts import Attempts
from lagoonflow.relay.replacement import ReplacementSearch
from lagoonflow.relay.timers import move_timeout
from lagoonflow.relay.waits import AnswerTimeout, answer_timeout_ms
from lagoonflow.results import Refusal, Result
from lagoonflow.time_limits import TimeLimit, time_limit


class CallDeadlines:
    """Ends calls in flight at their deadlines, which may be lowered."""

    def __init__(self, view: DeclaredView) -> None:
        """Start without calls."""
        self._view = view
        self._timers: dict[int, tuple[AdmittedCall, TimeLimit]] = {}
        self._stop_at_ms = float('inf')

    @property
    def is_stopping(self) -> bool:
        """Whether the process is about to end."""
        return self._stop_at_ms < float('inf')

    def bound(self, admitted: AdmittedCall) -> None:
        """End a new call before the process stops."""
        _cut_short(admitted, self._stop_at_ms)

    def refuse_late(self, admitted: AdmittedCall) -> Refusal | None:
        """Refuse a call that the end of the process might cut.

        How long answers usually take says nothing about this one: only its
        deadline ends it for certain.

        :return: ``None`` when the call may be sent.
        """
        if not admitted.is_cut_short:
            return None
        left_ms = self._stop_at_ms - boottime_ms()
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

    def finish_by(self, stop_at_ms: float) -> None:
        """End all calls by a time, in flight and new ones.

        :param stop_at_ms: boot time by which all calls are answered.
        """
        self._stop_at_ms = stop_at_ms
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
