"""Placement of calls on servers, with waiting until a model is loaded."""

import asyncio
import dataclasses
import math
from collections.abc import Callable

from lagoonflow.backends.choosing import (
    Choice,
    Chooser,
    NoServer,
    Requirements,
    Send,
    Wake,
)
from lagoonflow.backends.cold import ColdServers
from lagoonflow.backends.held_bytes import HeldBytes
from lagoonflow.backends.limits import RequestLimits
from lagoonflow.clock import Clock, boottime_ms
from lagoonflow.relay.admission import Admission, AdmittedCall
from lagoonflow.relay.attempts import BUSY_RETRY_MS, Attempts
from lagoonflow.relay.call_log import CallRecord
from lagoonflow.relay.changes import ChangeNotifier
from lagoonflow.relay.load_requests import LoadRequests
from lagoonflow.relay.replacement import NotAtHand
from lagoonflow.results import Refusal, Result
from lagoonflow.stalls import stalled_ms
from lagoonflow.waking.return_times import spread_return_ms

RefuseLate = Callable[[AdmittedCall], Refusal | None]
CheckSend = Callable[[Send], NotAtHand | None]

# A waiting call repeats the choice of a server at least this often.
RECHECK_MS = 120
# A runner is excluded for a call when its agent has not planned the requested
# load within the expected load time and this much more.
WAKE_SLACK_MS = 1500
# A call waits at most this long for agents that have not sent their state yet,
# or for a runner that is unloading its model. After a start of the router,
# agents send their state within this time.
FIRST_AGENTS_MS = 1000
# While no other server is at hand than one that accepts its connection late,
# the call looks at this interval whether it has.
OPENING_RECHECK_MS = 50
# Time that must be left for the answer itself after a model is loaded.
ANSWER_MARGIN_MS = 60


@dataclasses.dataclass(slots=True)
class RequestedLoad:
    """The load that was requested for a call.

    :ivar instance: runner that was asked; empty before the first request.
    :ivar give_up_at_ms: boot time by which its agent must plan the load, less
        the time in which this process stood still until then.
    """

    instance: str = ''
    give_up_at_ms: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Wait:
    """Wait before the next choice."""

    for_ms: float


class Placer:
    """Finds a server for each call; waits while its model is being loaded.

    :ivar load_requests: models and adapters that runners are to load.
    :ivar fleet_changed: notified when waiting calls should choose again.
    :ivar load_requests_changed: set when agents must be sent load requests.
    """

    def __init__(
        self,
        chooser: Chooser,
        admission: Admission,
        limits: RequestLimits,
        clock: Clock = boottime_ms,
        cold: ColdServers | None = None,
        held_bytes: HeldBytes | None = None,
        refuse_late: RefuseLate | None = None,
        stalled_ms: Callable[[], float] = stalled_ms,
    ) -> None:
        """Place calls by the choices of a chooser.

        :param admission: refuses calls that must no longer be sent.
        :param limits: when limited servers may be sent requests.
        :param cold: when cold servers may be sent requests.
        :param held_bytes: counts the bytes of requests from the choice of
            their server on.
        :param refuse_late: refuses calls that may not be answered in time,
            unless their answer has begun.
        :param stalled_ms: returns for how long this process stood still so
            far: agents are not heard meanwhile.
        """
        self._stalled_ms = stalled_ms
        self._refuse_late = refuse_late or _never_late
        self._cold = cold or ColdServers()
        self._clock = clock
        self._admission = admission
        self._limits = limits
        self._held_bytes = held_bytes or HeldBytes()
        self.load_requests = LoadRequests()
        self.fleet_changed = ChangeNotifier()
        self.load_requests_changed = asyncio.Event()
        self._chooser = chooser

    async def place(
        self, record: CallRecord, admitted: AdmittedCall, attempts: Attempts
    ) -> Send | Refusal:
        """Wait until a server can take the call, and return that server.

        Returns a refusal when no server can, or when the model would be
        loaded too late for the call; the load is then requested all the same,
        so that later calls find the model loaded.
        """
        if attempts.replacement is not None:
            # The connection to the silent server is reset in the next round of
            # the event loop, which must come before the send.
            await asyncio.sleep(0)
            return attempts.take_replacement()
        requested = RequestedLoad()
        agents_until_ms = self._clock() - self._stalled_ms() + FIRST_AGENTS_MS
        try:
            while True:
                now_ms = self._clock()
                attempts.admit_opened()
                choice = self._choose(admitted, attempts, requested, now_ms)
                agents_left_ms = agents_until_ms - (now_ms - self._stalled_ms())
                pause_ms = _pause_ms(
                    choice, admitted, attempts, now_ms, agents_left_ms
                )
                if pause_ms:
                    await self.fleet_changed.wait(pause_ms, admitted.arrived_ms)
                    continue
                decision = self._decide(
                    record, admitted, attempts, requested, choice
                )
                if not isinstance(decision, _Wait):
                    return decision
                await self.fleet_changed.wait(
                    decision.for_ms, admitted.arrived_ms
                )
        finally:
            self._limits.release(id(admitted.call))
            self._cold.release(id(admitted.call))

    def place_now(
        self,
        record: CallRecord,
        admitted: AdmittedCall,
        attempts: Attempts,
        requested: RequestedLoad,
        check: CheckSend,
    ) -> Send | NotAtHand:
        """Return a server that can take the call without waiting, if any.

        A load of the call's model is requested when no server has it.

        :param requested: load that was requested for the call before.
        :param check: returns why the call can't be sent to a server now.
        """
        now_ms = self._clock()
        if admitted.time_left_ms(now_ms) < ANSWER_MARGIN_MS:
            return NotAtHand('the deadline is too near')
        choice = self._choose(admitted, attempts, requested, now_ms)
        match choice:
            case Send(wait_ms=0):
                obstacle = check(choice)
                if obstacle is not None:
                    return obstacle
                self._take(record, admitted, choice, now_ms)
                return choice
            case Send():
                return NotAtHand('the other servers are at their limits')
            case Wake(ready_in_ms=ready_in_ms):
                if ready_in_ms > _time_left_ms(admitted, now_ms):
                    return NotAtHand('the model would be ready too late')
                self._request_load(
                    record, admitted, attempts, requested, choice, now_ms
                )
                return NotAtHand('the model is being loaded')
        return NotAtHand(choice.reason)

    def _take(
        self,
        record: CallRecord,
        admitted: AdmittedCall,
        send: Send,
        now_ms: float,
    ) -> None:
        self.load_requests.remove(admitted)
        instance = send.server.instance
        call_id = id(admitted.call)
        self._limits.take(instance, call_id, now_ms)
        self._cold.take(instance, call_id, now_ms)
        body_bytes = len(admitted.call.body)
        self._held_bytes.take(instance, call_id, body_bytes, now_ms)
        record.note_choice(send, now_ms)

    def _decide(
        self,
        record: CallRecord,
        admitted: AdmittedCall,
        attempts: Attempts,
        requested: RequestedLoad,
        choice: Choice | Refusal,
    ) -> Send | Refusal | _Wait:
        now_ms = self._clock()
        match choice:
            case Refusal():
                return attempts.correct_not_run(choice)
            case Send(wait_ms=0):
                self._take(record, admitted, choice, now_ms)
                return choice
            case Send() if self._limits_wait_ms(admitted, choice, now_ms) == 0:
                return _wait_for_room(admitted, attempts, choice, now_ms)
            case Send():
                return self._wait_for_limit(admitted, attempts, choice, now_ms)
            case NoServer():
                return _without_server(choice, attempts)
        record.store_place = choice.store_place
        if choice.store_place is not None:
            self.load_requests.keep_until_served(
                admitted, choice.server.instance, now_ms
            )
        if choice.ready_in_ms > _time_left_ms(admitted, now_ms):
            self.load_requests.keep_after_refusal(
                admitted,
                choice.server.instance,
                now_ms,
                is_from_store=choice.is_from_store,
            )
            self.load_requests_changed.set()
            return _too_late(choice, admitted, attempts)
        self._request_load(
            record, admitted, attempts, requested, choice, now_ms
        )
        return _Wait(RECHECK_MS)

    def _limits_wait_ms(
        self, admitted: AdmittedCall, send: Send, now_ms: float
    ) -> float:
        server = send.server
        call_id = id(admitted.call)
        return max(
            self._limits.wait_ms(
                server.instance, server.started_ms, call_id, now_ms
            ),
            self._cold.wait_ms(server.instance, call_id, now_ms),
        )

    def _wait_for_limit(
        self,
        admitted: AdmittedCall,
        attempts: Attempts,
        send: Send,
        now_ms: float,
    ) -> _Wait | Refusal:
        """Wait for the next request that a server's limit allows, or refuse."""
        instance = send.server.instance
        is_cold = self._cold.is_cold(instance, now_ms)
        left_ms = _time_left_ms(admitted, now_ms)
        if is_cold and not attempts.possible_runs:
            left_ms = min(left_ms, _target_left_ms(admitted, now_ms))
        if send.wait_ms > left_ms:
            return attempts.refuse(
                Result.NO_RUNNER,
                f'the limit of the server is reached for {int(send.wait_ms)} ms',
                math.ceil(
                    max(
                        self._limits.promise_return(instance, now_ms),
                        self._cold.promise_return(instance, now_ms),
                    )
                ),
            )
        self._limits.book(instance, id(admitted.call), now_ms)
        if is_cold:
            self._cold.book(instance, id(admitted.call))
        return _Wait(min(send.wait_ms, RECHECK_MS))

    def _choose(
        self,
        admitted: AdmittedCall,
        attempts: Attempts,
        requested: RequestedLoad,
        now_ms: float,
    ) -> Choice | Refusal:
        refusal = self._admission.refuse_crashing(admitted)
        if refusal is None and not attempts.has_answer_begun:
            refusal = self._refuse_late(admitted)
        if refusal is not None:
            return refusal
        requirements = Requirements(
            admitted.call,
            admitted.service,
            frozenset(attempts.excluded),
            frozenset(attempts.rejecting),
            requested.instance,
            attempts.software_version,
        )
        return self._chooser.choose(requirements, now_ms)

    def _request_load(
        self,
        record: CallRecord,
        admitted: AdmittedCall,
        attempts: Attempts,
        requested: RequestedLoad,
        wake: Wake,
        now_ms: float,
    ) -> None:
        """Request a load for a call; exclude a runner that does not plan it."""
        instance = wake.server.instance
        heard_ms = now_ms - self._stalled_ms()
        attempts.rejecting.discard(instance)
        if requested.instance != instance:
            record.note_choice(wake, now_ms)
            requested.instance = instance
            requested.give_up_at_ms = (
                heard_ms + wake.ready_in_ms + WAKE_SLACK_MS
            )
        elif heard_ms > requested.give_up_at_ms and not wake.is_load_pending:
            attempts.excluded.add(instance)
        if self.load_requests.put(admitted, instance):
            self.load_requests_changed.set()


def _never_late(_admitted: AdmittedCall) -> None:
    """Let every call be sent."""


def _time_left_ms(admitted: AdmittedCall, now_ms: float) -> float:
    return admitted.start_time_left_ms(now_ms) - ANSWER_MARGIN_MS


def _pause_ms(
    choice: Choice | Refusal,
    admitted: AdmittedCall,
    attempts: Attempts,
    now_ms: float,
    agents_left_ms: float,
) -> float:
    """Return after how many ms to choose again; 0 to decide on the choice.

    :param agents_left_ms: how long to wait still for agents that have not sent
        their state yet.
    """
    left_ms = _time_left_ms(admitted, now_ms)
    match choice:
        case NoServer(may_change=True) if min(left_ms, agents_left_ms) > 0:
            return RECHECK_MS
        case NoServer() if attempts.openings and left_ms > 0:
            return OPENING_RECHECK_MS
        case Wake(ready_in_ms=ready_in_ms) if attempts.openings:
            return OPENING_RECHECK_MS if 0 < left_ms < ready_in_ms else 0
    return 0


def _target_left_ms(admitted: AdmittedCall, now_ms: float) -> float:
    """Return the time until the call misses its latency target, in ms."""
    target_ms = admitted.route.target_latency_ms or float('inf')
    return admitted.arrived_ms + target_ms - ANSWER_MARGIN_MS - now_ms


def _wait_for_room(
    admitted: AdmittedCall, attempts: Attempts, send: Send, now_ms: float
) -> _Wait | Refusal:
    """Wait until a server has fewer requests of this router, or refuse."""
    left_ms = min(
        _target_left_ms(admitted, now_ms), _time_left_ms(admitted, now_ms)
    )
    if send.wait_ms > left_ms:
        return attempts.refuse(
            Result.NO_RUNNER,
            'the servers have as many requests, or bytes of them, as they may',
            math.ceil(send.wait_ms),
        )
    return _Wait(min(send.wait_ms, RECHECK_MS))


def _without_server(choice: NoServer, attempts: Attempts) -> Refusal:
    retry_after_ms = math.ceil(choice.retry_after_ms) or BUSY_RETRY_MS
    return attempts.refuse(Result.NO_RUNNER, choice.reason, retry_after_ms)


def _too_late(
    wake: Wake, admitted: AdmittedCall, attempts: Attempts
) -> Refusal:
    retry_after_ms = int(wake.ready_in_ms)
    if wake.store_place is not None:
        retry_after_ms = spread_return_ms(
            wake.ready_in_ms, admitted.call.request_id
        )
    return attempts.refuse(
        Result.DEADLINE_UNREACHABLE,
        f'the model is ready in {int(wake.ready_in_ms)} ms, too late',
        retry_after_ms,
    )
