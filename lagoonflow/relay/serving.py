"""Service of callers' requests: admission, sends, and retries."""

import asyncio
import dataclasses

import structlog

from lagoonflow.backends.choosing import Chooser
from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.messages import BackendServer
from lagoonflow.clock import boottime_ms
from lagoonflow.declared.view import DeclaredView
from lagoonflow.http1.connection_ends import (
    WAIT_ENDED_ERRORS,
    CallerState,
    caller_state,
    ends_connection,
)
from lagoonflow.http1.server import CallerRequest, ResponseWriter
from lagoonflow.relay.admission import Admission, AdmittedCall
from lagoonflow.relay.admitting import Admitter
from lagoonflow.relay.attempts import BUSY_RETRY_MS, Attempts
from lagoonflow.relay.call_log import CallLog, CallRecord
from lagoonflow.relay.deadlines import CallDeadlines, answer_timeout
from lagoonflow.relay.outcomes import (
    MIN_SERVER_ERROR_STATUS,
    NOT_RUN_STATUSES,
    Broken,
    Delivered,
    Failed,
    Forbidden,
    NotRun,
    NotSent,
    Outcome,
    Withheld,
)
from lagoonflow.relay.placing import Placer
from lagoonflow.relay.ports import CallCodec
from lagoonflow.relay.refusals import (
    body_of,
    headers_of,
    status_of,
    unreadable_refusal,
)
from lagoonflow.relay.replacing import Replacements, RunningSend
from lagoonflow.relay.sending import Sender
from lagoonflow.relay.streaming import Progress
from lagoonflow.results import Refusal, Result
from lagoonflow.retries.budget import RetryBudgets

# A call is refused after this many sends that servers rejected.
MAX_REJECTED_SENDS = 3
# Callers that a stopping router refuses retry at once, at another router.
OTHER_ROUTER_RETRY_MS = 20
_INTERNAL = Refusal(Result.INTERNAL, 'internal error', not_run=False)


class CallService:
    """Serves calls until they are answered or refused.

    :ivar list_wanted: set when the list of servers is to be read at once.
    """

    def __init__(
        self,
        view: DeclaredView,
        fleet: Fleet,
        chooser: Chooser,
        admission: Admission,
        sender: Sender,
        codec: CallCodec,
        call_log: CallLog,
        budgets: RetryBudgets,
    ) -> None:
        """Use the given parts; the placer is created here."""
        self._deadlines = CallDeadlines(view)
        self.placer = Placer(
            chooser,
            admission,
            fleet.limits,
            cold=fleet.cold,
            held_bytes=fleet.held_bytes,
            refuse_late=self._deadlines.refuse_late,
        )
        self._replacements = Replacements(
            fleet, self.placer, sender.pools, budgets
        )
        self._admitter = Admitter(admission, self.placer.fleet_changed)
        self.list_wanted = self._admitter.list_wanted
        self._view = view
        self._fleet = fleet
        self._chooser = chooser
        self._admission = admission
        self._sender = sender
        self._codec = codec
        self._call_log = call_log
        self._budgets = budgets
        self._log = structlog.get_logger(part='call')

    async def handle(
        self, request: CallerRequest, reply: ResponseWriter
    ) -> None:
        """Serve one request of a caller and log its outcome."""
        call = self._codec.decode_call(request.head, request.body)
        record = CallRecord(call, boottime_ms())
        attempts = Attempts()
        try:
            await self._serve(record, attempts, reply)
        except WAIT_ENDED_ERRORS as error:
            is_over = ends_connection(error, reply.channel)
            if is_over and isinstance(error, asyncio.CancelledError):
                await self._end_departed(record, attempts, reply)
                raise
            if is_over:
                record.finish(_departure(reply))
            else:
                await self._fail(record, reply)
        except Exception:
            await self._fail(record, reply)
        finally:
            record.answer_at_ms = reply.started_at_ms
            self._call_log.write(record, boottime_ms(), self._view)

    async def refuse_unreadable(
        self, reply: ResponseWriter, status: int, reason: str
    ) -> None:
        """Refuse a request that can't be parsed.

        :param status: HTTP status of the refusal.
        :param reason: one sentence that the caller is shown.
        """
        refusal = unreadable_refusal(status, reason)
        headers = headers_of(refusal, '')
        await reply.send_whole(status, b'Refused', headers, body_of(refusal))
        self._call_log.count_unreadable(status, reason)

    def apply_timeouts(self) -> None:
        """Apply lowered route timeouts to calls in flight."""
        self._deadlines.apply_route_timeouts()

    def finish_calls_by(
        self, stop_at_ms: float, *, is_in_rotation: bool = False
    ) -> None:
        """Answer or refuse all calls by a time, as the process is stopping.

        Calls that may take longer are refused at once unless they were sent
        already, so that their callers can use another router. So are those that
        would be sent again, as long as their callers have received nothing.

        :param stop_at_ms: boot time by which all calls are answered.
        :param is_in_rotation: whether the load balancer may still send callers
            here, also those that were refused; calls that usually end in time
            are sent then, too.
        """
        self._deadlines.finish_by(stop_at_ms, is_in_rotation=is_in_rotation)
        self.placer.fleet_changed.notify()

    async def _serve(
        self, record: CallRecord, attempts: Attempts, reply: ResponseWriter
    ) -> None:
        now_ms = boottime_ms()
        admitted = await self._admitter.admit(record.call, now_ms)
        if isinstance(admitted, Refusal):
            await self._refuse(record, reply, admitted)
            return
        record.admitted = admitted
        if caller_state(reply.channel) is not CallerState.CONNECTED:
            self._admission.refund(admitted)
            await self._end_departed(record, attempts, reply)
            return
        record.software_version = admitted.software_version
        self._deadlines.bound(admitted)
        self._budgets.budget_for(admitted.service.name).count_request(now_ms)
        if admitted.call.model:
            self._fleet.demand.count(admitted.call, now_ms)
        attempts.software_version = admitted.software_version
        try:
            refusal = await self._serve_before_deadline(
                record, admitted, attempts, reply
            )
        finally:
            self._replacements.release_unused(admitted, attempts)
            if not attempts.possible_runs:
                self._admission.refund(admitted)
        if refusal is not None:
            if self._deadlines.is_stopping:
                refusal = dataclasses.replace(
                    refusal, retry_after_ms=OTHER_ROUTER_RETRY_MS
                )
            await self._refuse(record, reply, refusal)

    async def _serve_before_deadline(
        self,
        record: CallRecord,
        admitted: AdmittedCall,
        attempts: Attempts,
        reply: ResponseWriter,
    ) -> Refusal | None:
        try:
            async with self._deadlines.limit(admitted):
                return await self._send_until_answered(
                    record, admitted, attempts, reply
                )
        except TimeoutError:
            return attempts.refuse(
                Result.DEADLINE_UNREACHABLE,
                'the deadline passed before the answer was complete',
            )

    async def _send_until_answered(
        self,
        record: CallRecord,
        admitted: AdmittedCall,
        attempts: Attempts,
        reply: ResponseWriter,
    ) -> Refusal | None:
        """Send to one server after another until the answer is delivered.

        :return: the refusal when no server delivers; else ``None``.
        """
        progress = Progress.begin(
            reply,
            admitted.call.resume_after,
            is_resumable=admitted.route.is_resumable,
        )
        while True:
            choice = await self.placer.place(record, admitted, attempts)
            if isinstance(choice, Refusal):
                refusal = choice
                break
            server = choice.server
            sent_ms = boottime_ms()
            sent = RunningSend(record, admitted, attempts, progress, server)
            time_limit = answer_timeout(
                admitted, attempts, self._replacements.search(sent)
            )
            with self._fleet.held_bytes.sending(
                server.instance, id(admitted.call), boottime_ms
            ):
                connection = await self._sender.connect(admitted, choice)
                # Counted before the send, as a cancelled one may have run, too.
                attempts.possible_runs += 1
                outcome = await self._sender.send(
                    admitted, choice, connection, progress, time_limit
                )
            record.note_send(server.instance, outcome, boottime_ms())
            record.note_progress(progress)
            attempts.has_answer_begun = reply.has_started
            if progress.software_version is not None:
                attempts.software_version = progress.software_version
            if isinstance(outcome, Delivered):
                self._note_delivered(admitted, server)
                self._deadlines.usual.note(
                    admitted.route, boottime_ms() - sent_ms
                )
                record.finish('delivered')
                return None
            refusal = self._handle_failed_send(
                admitted, server, attempts, outcome
            )
            if refusal is not None:
                break
        return await self._finish_failed(record, attempts, progress, refusal)

    def _note_delivered(
        self, admitted: AdmittedCall, server: BackendServer
    ) -> None:
        self._fleet.health(server.instance).note_success(boottime_ms())
        keys = self._chooser.prompt_keys(admitted.call)
        self._fleet.prompts.remember(server.instance, keys)

    def _handle_failed_send(
        self,
        admitted: AdmittedCall,
        server: BackendServer,
        attempts: Attempts,
        outcome: Outcome,
    ) -> Refusal | None:
        """Record a failed send and decide whether to send again.

        :return: a refusal when the call must not be sent again.
        """
        now_ms = boottime_ms()
        health = self._fleet.health(server.instance)
        if isinstance(outcome, Forbidden):
            attempts.possible_runs -= 1
            attempts.last_failure_reason = outcome.reason
            return None
        if isinstance(outcome, NotRun) and admitted.call.model:
            attempts.rejecting.add(server.instance)
        else:
            opening = outcome.opening if isinstance(outcome, NotSent) else None
            attempts.exclude(server.instance, opening)
        match outcome:
            case NotSent(reason=reason, is_servers_fault=is_servers_fault):
                if is_servers_fault:
                    health.note_no_answer(now_ms)
                attempts.possible_runs -= 1
                attempts.last_failure_reason = reason
                return None
            case Withheld(refusal=refusal):
                attempts.possible_runs -= 1
                return attempts.correct_not_run(refusal)
            case NotRun(status=status):
                attempts.possible_runs -= 1
                attempts.rejected_sends += 1
                attempts.last_failure_reason = (
                    f'the server rejected the call with status {status}'
                )
                return self._retry_after_rejection(admitted, attempts, now_ms)
            case Failed(answer=answer):
                attempts.last_failure = outcome
                attempts.last_failure_reason = (
                    f'the server answered with status {answer.head.status}'
                )
                if answer.head.status < MIN_SERVER_ERROR_STATUS:
                    health.note_success(now_ms)
                    return attempts.refuse_unknown_outcome()
                health.note_error_answer(now_ms)
            case Broken(reason=reason):
                attempts.last_failure_reason = reason
                health.note_no_answer(now_ms)
        return self._retry_after_failure(admitted, attempts, now_ms)

    def _retry_after_rejection(
        self, admitted: AdmittedCall, attempts: Attempts, now_ms: float
    ) -> Refusal | None:
        """Return ``None`` to send again, or the refusal."""
        budget = self._budgets.budget_for(admitted.service.name)
        is_allowed = attempts.rejected_sends < MAX_REJECTED_SENDS
        if is_allowed and budget.try_retry(now_ms):
            return None
        return attempts.refuse(
            Result.NO_RUNNER, attempts.last_failure_reason, BUSY_RETRY_MS
        )

    def _retry_after_failure(
        self, admitted: AdmittedCall, attempts: Attempts, now_ms: float
    ) -> Refusal | None:
        """Return ``None`` to send again, or the refusal."""
        if attempts.replacement is not None:
            return None
        budget = self._budgets.budget_for(admitted.service.name)
        has_sends = attempts.possible_runs < admitted.route.most_sends
        may_retry = admitted.route.is_repeatable and has_sends
        if may_retry and budget.try_retry(now_ms):
            return None
        return attempts.refuse_unknown_outcome()

    async def _finish_failed(
        self,
        record: CallRecord,
        attempts: Attempts,
        progress: Progress,
        refusal: Refusal,
    ) -> Refusal | None:
        """Forward the latest error answer of a server, if there is one.

        :return: the refusal when nothing can be forwarded; else ``None``.
        """
        failure = attempts.last_failure
        if failure is None or progress.reply.has_started:
            return refusal
        status = failure.answer.head.status
        if status in NOT_RUN_STATUSES:
            return refusal
        record.finish(f'failure of the server passed on: {status}')
        await self._sender.forward_whole(
            progress.reply, failure.answer, failure.body
        )
        return None

    async def _fail(self, record: CallRecord, reply: ResponseWriter) -> None:
        """Answer a call that an unexpected error has ended."""
        self._log.exception('call failed', request=record.call.request_id)
        await self._refuse(record, reply, _INTERNAL)

    async def _end_departed(
        self, record: CallRecord, attempts: Attempts, reply: ResponseWriter
    ) -> None:
        """End a call whose caller has left, or has closed its sending side.

        The two look the same until something is sent, so the call is refused.
        """
        may_read = caller_state(reply.channel) is CallerState.HALF_CLOSED
        if may_read and not reply.has_started:
            refusal = attempts.refuse(
                Result.CALLER_GONE,
                'the caller closed its sending side before the answer',
                BUSY_RETRY_MS,
            )
            await self._refuse(record, reply, refusal)
        record.finish(_departure(reply))

    async def _refuse(
        self, record: CallRecord, reply: ResponseWriter, refusal: Refusal
    ) -> None:
        record.refuse(refusal)
        if reply.has_started:
            # The HTTP server aborts the connection, so that the caller sees
            # that the answer is incomplete.
            return
        status, reason = status_of(refusal)
        headers = headers_of(refusal, record.call.request_id)
        await reply.send_whole(status, reason, headers, body_of(refusal))


def _departure(reply: ResponseWriter) -> str:
    return 'caller took nothing' if reply.is_caller_cut else 'caller left'
