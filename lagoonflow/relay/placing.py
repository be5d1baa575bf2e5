"""Finds the server for a call, and waits while its model is woken."""

import asyncio
import dataclasses

from lagoonflow.backends.choosing import (
    Choice,
    Chooser,
    Need,
    Nowhere,
    Send,
    Wake,
)
from lagoonflow.clock import boottime_ms
from lagoonflow.relay.admission import Ticket
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
HEARING_MS = 1000
# Time that must be left for the answer itself, in ms.
ANSWER_MARGIN_MS = 60


@dataclasses.dataclass(slots=True)
class _Asked:
    """The runner that was asked to wake the model."""

    instance: str = ''
    until_ms: float = 0


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
        self, record: CallRecord, ticket: Ticket, attempts: Attempts
    ) -> Send | Refusal:
        """Return where to send, once a server can take the call."""
        asked = _Asked()
        now_ms = boottime_ms()
        heard_by_ms = now_ms + min(HEARING_MS, _left_ms(ticket, now_ms))
        while True:
            choice = self._choose(ticket, attempts, asked, now_ms)
            match choice:
                case Send():
                    self.load_requests.drop(ticket)
                    record.note_choice(choice, now_ms)
                    return choice
                case Nowhere(may_change=True) if now_ms < heard_by_ms:
                    await self.fleet_changed.wait(RECHECK_MS)
                    now_ms = boottime_ms()
                    continue
                case Nowhere(reason=reason):
                    return attempts.refuse(
                        Result.NO_RUNNER, reason, BUSY_RETRY_MS
                    )
            if choice.ready_in_ms > _left_ms(ticket, now_ms):
                self.load_requests.linger(
                    ticket,
                    choice.server.instance,
                    now_ms,
                    is_from_store=choice.is_from_store,
                )
                self.load_requests_changed.set()
                return _too_late(choice, attempts)
            if asked.instance != choice.server.instance:
                record.note_choice(choice, now_ms)
            self._ask(ticket, attempts, asked, choice, now_ms)
            await self.fleet_changed.wait(RECHECK_MS)
            now_ms = boottime_ms()

    def _choose(
        self,
        ticket: Ticket,
        attempts: Attempts,
        asked: _Asked,
        now_ms: float,
    ) -> Choice:
        need = Need(
            ticket.call,
            ticket.service,
            frozenset(attempts.excluded),
            frozenset(attempts.rejecting),
            asked.instance,
        )
        return self._chooser.choose(need, now_ms)

    def _ask(
        self,
        ticket: Ticket,
        attempts: Attempts,
        asked: _Asked,
        wake: Wake,
        now_ms: float,
    ) -> None:
        instance = wake.server.instance
        attempts.rejecting.discard(instance)
        if asked.instance != instance:
            asked.instance = instance
            asked.until_ms = now_ms + wake.ready_in_ms + WAKE_SLACK_MS
        elif now_ms > asked.until_ms and not wake.is_coming:
            attempts.excluded.add(instance)
        if self.load_requests.put(ticket, instance):
            self.load_requests_changed.set()


def _left_ms(ticket: Ticket, now_ms: float) -> float:
    return ticket.begin_left_ms(now_ms) - ANSWER_MARGIN_MS


def _too_late(wake: Wake, attempts: Attempts) -> Refusal:
    return attempts.refuse(
        Result.DEADLINE_UNREACHABLE,
        f'the model is ready in {int(wake.ready_in_ms)} ms, too late',
        int(wake.ready_in_ms),
    )
