"""Finds the server for a call, and waits while its model is woken."""

import asyncio
import dataclasses

from lagoonflow.backends.choosing import (
    Choice,
    Chooser,
    NoServer,
    Requirements,
    Send,
    Wake,
)
from lagoonflow.clock import boottime_ms
from lagoonflow.relay.admission import AdmittedCall
from lagoonflow.relay.attempts import BUSY_RETRY_MS, Attempts
from lagoonflow.relay.call_log import CallRecord
from lagoonflow.relay.changes import ChangeNotifier
from lagoonflow.relay.load_requests import LoadRequests
from lagoonflow.results import Refusal, Result

# A waiting request looks at the fleet at least this often, in ms.
RECHECK_MS = 120
# A wake that its agent has not taken up after the expected time and this much
# more is given up, in ms.
WAKE_SLACK_MS = 1500
# Agents are heard from within this time after a start, in ms.
FIRST_AGENTS_MS = 1000
# Time that must be left for the answer itself, in ms.
ANSWER_MARGIN_MS = 60


@dataclasses.dataclass(slots=True)
class _RequestedLoad:
    """The runner that was asked to wake the model."""

    instance: str = ''
    give_up_at_ms: float = 0


class Placer:
    """Places calls.

    :ivar wishes: what waiting calls hope for.
    :ivar changes: wakes waiting calls when the fleet changed.
    :ivar wish_changed: set when agents must be told.
    """

    def __init__(self, chooser: Chooser) -> None:
        """Place by a chooser."""
        self.load_requests = LoadRequests()
        self.fleet_changed = ChangeNotifier()
        self.load_requests_changed = asyncio.Event()
        self._chooser = chooser

    async def place(
        self, record: CallRecord, admitted: AdmittedCall, attempts: Attempts
    ) -> Send | Refusal:
        """Return where to send, once a server can take the call."""
        requested = _RequestedLoad()
        now_ms = boottime_ms()
        wait_for_agents_until_ms = now_ms + min(
            FIRST_AGENTS_MS, _time_left_ms(admitted, now_ms)
        )
        while True:
            choice = self._choose(admitted, attempts, requested, now_ms)
            match choice:
                case Send():
                    self.load_requests.remove(admitted)
                    record.note_choice(choice, now_ms)
                    return choice
                case NoServer(may_change=True) if (
                    now_ms < wait_for_agents_until_ms
                ):
                    await self.fleet_changed.wait(RECHECK_MS)
                    now_ms = boottime_ms()
                    continue
                case NoServer(reason=reason):
                    return attempts.refuse(
                        Result.NO_RUNNER, reason, BUSY_RETRY_MS
                    )
            if choice.ready_in_ms > _time_left_ms(admitted, now_ms):
                self.load_requests.keep_after_refusal(
                    admitted,
                    choice.server.instance,
                    now_ms,
                    is_from_store=choice.is_from_store,
                )
                self.load_requests_changed.set()
                return _too_late(choice, attempts)
            if requested.instance != choice.server.instance:
                record.note_choice(choice, now_ms)
            self._request_load(admitted, attempts, requested, choice, now_ms)
            await self.fleet_changed.wait(RECHECK_MS)
            now_ms = boottime_ms()

    def _choose(
        self,
        admitted: AdmittedCall,
        attempts: Attempts,
        requested: _RequestedLoad,
        now_ms: float,
    ) -> Choice:
        requirements = Requirements(
            admitted.call,
            admitted.service,
            frozenset(attempts.excluded),
            frozenset(attempts.rejecting),
            requested.instance,
        )
        return self._chooser.choose(requirements, now_ms)

    def _request_load(
        self,
        admitted: AdmittedCall,
        attempts: Attempts,
        requested: _RequestedLoad,
        wake: Wake,
        now_ms: float,
    ) -> None:
        instance = wake.server.instance
        attempts.rejecting.discard(instance)
        if requested.instance != instance:
            requested.instance = instance
            requested.give_up_at_ms = now_ms + wake.ready_in_ms + WAKE_SLACK_MS
        elif now_ms > requested.give_up_at_ms and not wake.is_load_pending:
            attempts.excluded.add(instance)
        if self.load_requests.put(admitted, instance):
            self.load_requests_changed.set()


def _time_left_ms(admitted: AdmittedCall, now_ms: float) -> float:
    return admitted.start_time_left_ms(now_ms) - ANSWER_MARGIN_MS


def _too_late(wake: Wake, attempts: Attempts) -> Refusal:
    return attempts.refuse(
        Result.DEADLINE_UNREACHABLE,
        f'the model is ready in {int(wake.ready_in_ms)} ms, too late',
        int(wake.ready_in_ms),
    )
