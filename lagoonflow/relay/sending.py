"""Sending of a call to one backend server, and the outcome."""

import functools
from collections.abc import Callable

import structlog

from lagoonflow.backends.candidates import (
    is_list_outdated,
    may_send,
    may_use_zone,
)
from lagoonflow.backends.choosing import Send
from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.limits import LimitStatement
from lagoonflow.backends.messages import BackendServer
from lagoonflow.backends.names import full_name
from lagoonflow.clock import boottime_ms
from lagoonflow.crashes.watch import BrokenSend
from lagoonflow.http1.client import ClientConnection
from lagoonflow.http1.messages import (
    BodyFraming,
    ExchangeError,
    ExchangeStage,
    RequestHead,
    ResponseHead,
)
from lagoonflow.http1.response_writer import ResponseWriter
from lagoonflow.relay.admission import Admission, AdmittedCall
from lagoonflow.relay.answer_matching import AnswerMatcher
from lagoonflow.relay.crash_monitor import AnsweredSend, CrashMonitor
from lagoonflow.relay.messages import Answer, Target
from lagoonflow.relay.outcomes import (
    MIN_SERVER_ERROR_STATUS,
    Broken,
    Delivered,
    Failed,
    Forbidden,
    NotRun,
    NotSent,
    Outcome,
    Withheld,
)
from lagoonflow.relay.pools import ServerPools
from lagoonflow.relay.ports import CallCodec
from lagoonflow.relay.streaming import AnswerStream, Progress
from lagoonflow.relay.waits import AnswerTimeout, AnswerWaits
from lagoonflow.resumption.messages import StreamOrigin

# Where speeds are known an answer is late that takes this many times as long as
# usual: times of equal requests vary by a factor of two.
LATE_RATIO = 3
# A part of an answer that comes this long after the first one proves that the
# prompt does not crash its server.
PROVEN_AFTER_MS = 1000
# Answers other than event streams are read whole, up to this length.
MAX_BODY_BYTES = 8_388_608


AnnounceStream = Callable[[StreamOrigin], None]


class _Reading:
    """Counts a request as waiting for prefill until its answer begins."""

    def __init__(
        self, fleet: Fleet, choice: Send, admitted: AdmittedCall
    ) -> None:
        self._model = admitted.call.model
        # Requests with the same value are equal work up to their prompts.
        self._work = self._model or f'route {admitted.route.name}'
        self._is_timed = False
        self._fleet = fleet
        self._choice = choice
        self._health = fleet.health(choice.server.instance)
        self._tokens = choice.prefill_tokens
        self.sent_at_ms = boottime_ms()
        self.has_begun = False
        self.framing: BodyFraming | None = None
        # The call is suspected of crashing servers, and this router's turn.
        self.is_trial = False
        self.first_part_at_ms: float | None = None
        self.last_part_at_ms: float | None = None
        self._health.begin_wait(id(self), self.sent_at_ms)

    def note_answer(self) -> None:
        """Record that the answer has begun, and how late it began."""
        now_ms = boottime_ms()
        self.has_begun = True
        began_ms = self._health.end_wait(id(self))
        if began_ms is not None:
            lag_ms = now_ms - began_ms - self._expected_ms(now_ms)
            self._health.note_lag(max(lag_ms, 0), now_ms)
        self.finish()

    def note_head(self, answer: Answer, progress: Progress) -> None:
        """Record what the head tells of the answer and of the server's speed.

        A server's work is timed until a plain answer or the first event of a
        stream, unless the request had to wait for a place. Answers of models
        that are no streams are left out, as their length isn't known, and so
        are resumed streams.
        """
        self.framing = answer.head.framing
        waiting = 0 if answer.load is None else answer.load.waiting
        self._is_timed = (
            answer.is_success
            and not self._choice.is_queued
            and not waiting
            and not progress.resume_after
        )
        if not answer.is_event_stream:
            self._is_timed = self._is_timed and not self._model
            self._note_work_time()

    def note_part(self) -> None:
        """Record that a part of the answer's body has arrived."""
        now_ms = boottime_ms()
        self._fleet.liveness.note_answer_part(
            self._choice.server.instance, now_ms
        )
        self.last_part_at_ms = now_ms
        if self.first_part_at_ms is None:
            self.first_part_at_ms = now_ms
            self._note_work_time()

    @property
    def proves_prompt(self) -> bool:
        """Whether the server went on well after the answer had begun."""
        if self.first_part_at_ms is None:
            return False
        return self.last_part_at_ms - self.first_part_at_ms > PROVEN_AFTER_MS

    def finish(self) -> None:
        """Stop counting the request; later calls change nothing."""
        self._health.end_wait(id(self))
        self._fleet.note_prefilled(self._choice.server.instance, self._tokens)
        self._tokens = 0

    def _expected_ms(self, now_ms: float) -> float:
        """Return the time in ms after which an answer counts as late."""
        usual_ms = self._fleet.speeds.usual_ms(
            self._choice.server, self._work, self._choice.work_ms, now_ms
        )
        if usual_ms is None:
            return self._choice.cost_ms
        return max(self._choice.cost_ms, usual_ms * LATE_RATIO)

    def _note_work_time(self) -> None:
        now_ms = boottime_ms()
        if not self._is_timed:
            return
        self._fleet.speeds.observe(
            self._choice.server,
            self._work,
            now_ms - self.sent_at_ms,
            self._choice.work_ms,
            now_ms,
        )


class Sender:
    """Sends calls over pooled connections to backend servers.

    :param announce_stream: called before the first event of a stream that can
        be resumed is forwarded.
    :ivar pools: connections to the servers.
    :ivar waits: waits for answers that have not begun.
    """

    def __init__(
        self,
        fleet: Fleet,
        admission: Admission,
        codec: CallCodec,
        announce_stream: AnnounceStream,
        crash_monitor: CrashMonitor,
        pools: ServerPools | None = None,
    ) -> None:
        """Start without waits.

        :param pools: connections to the servers; unbounded ones if left out.
        """
        self._announce_stream = announce_stream
        self._crash_monitor = crash_monitor
        self._log = structlog.get_logger(part='servers')
        self._fleet = fleet
        self._admission = admission
        self._codec = codec
        self.pools = pools or ServerPools(fleet)
        self.waits = AnswerWaits(fleet.liveness)

    def forget(self, instances: list[str]) -> None:
        """Close the idle connections to servers that were removed."""
        self.pools.forget(instances)

    async def connect(
        self, admitted: AdmittedCall, choice: Send
    ) -> ClientConnection | NotSent:
        """Return a connection for a call; nothing of the call is sent.

        :param choice: server that the call is sent to.
        """
        return await self.pools.connect(
            choice.server,
            admitted.call.request_id,
            admitted.time_left_ms(boottime_ms()),
        )

    async def send(
        self,
        admitted: AdmittedCall,
        choice: Send,
        connection: ClientConnection | NotSent,
        progress: Progress,
        answer_timeout: AnswerTimeout,
    ) -> Outcome:
        """Send a call to a server and relay the answer to the caller.

        :param choice: server that the call is sent to.
        :param connection: what :meth:`connect` returned for it.
        :param progress: what the caller has received so far.
        :param answer_timeout: how long to wait for the answer to begin.
        """
        if isinstance(connection, NotSent):
            return connection
        server = choice.server
        name = full_name(admitted.call.model, admitted.call.adapter)
        prefill = _Reading(self._fleet, choice, admitted)
        self._fleet.begin_request(
            server.instance, name, boottime_ms(), choice.prefill_tokens
        )
        outcome: Outcome | None = None
        try:
            outcome = await self._exchange(
                admitted,
                server,
                connection,
                progress,
                answer_timeout,
                prefill,
            )
        except ExchangeError as error:
            if connection.channel.has_peer_closed:
                self._note_broken(admitted, server, prefill)
            return Broken(str(error))
        finally:
            prefill.finish()
            self._finish_send(admitted, choice, connection, prefill, outcome)
        return outcome

    async def forward_whole(
        self, reply: ResponseWriter, answer: Answer, body: bytes
    ) -> None:
        """Forward an answer with its whole body to the caller."""
        head = answer.head
        headers = self._codec.forwarded_answer_headers(head)
        await reply.send_whole(
            head.status, head.reason, headers, body, head.framing
        )

    def _note_broken(
        self, admitted: AdmittedCall, server: BackendServer, reading: _Reading
    ) -> None:
        broken = BrokenSend(
            server,
            admitted.call.shared_parts,
            reading.sent_at_ms,
            reading.has_begun,
            reading.first_part_at_ms,
            admitted.fingerprint,
            reading.is_trial,
        )
        self._crash_monitor.note_broken(
            broken, self.pools.pool_after_send(server)
        )

    def _finish_send(
        self,
        admitted: AdmittedCall,
        choice: Send,
        connection: ClientConnection,
        reading: _Reading,
        outcome: Outcome | None,
    ) -> None:
        pool = self.pools.pool_after_send(choice.server)
        self._note_end(admitted, reading, outcome)
        if isinstance(outcome, Delivered | Failed):
            answered = _answered(admitted, choice.server, reading, outcome)
            self._crash_monitor.note_answered(answered, connection, pool)
            connection.channel.on_peer_closed = functools.partial(
                self._note_idle_closed, choice.server, connection
            )
        name = full_name(admitted.call.model, admitted.call.adapter)
        self._fleet.end_request(choice.server.instance, name)
        duration_ms = boottime_ms() - reading.sent_at_ms
        self._fleet.evened.estimates.note_duration(
            choice.server.service, duration_ms
        )
        pool.release(connection)

    def _note_end(
        self,
        admitted: AdmittedCall,
        reading: _Reading,
        outcome: Outcome | None,
    ) -> None:
        if reading.proves_prompt:
            self._crash_monitor.note_survived(admitted.call.shared_parts)
        if reading.is_trial and isinstance(outcome, Delivered | NotRun):
            self._admission.end_trial(admitted)

    def _note_idle_closed(
        self, server: BackendServer, connection: ClientConnection
    ) -> None:
        if connection.channel.is_open:
            self._crash_monitor.note_idle_closed(
                server, self.pools.pool_after_send(server)
            )

    async def _exchange(
        self,
        admitted: AdmittedCall,
        server: BackendServer,
        connection: ClientConnection,
        progress: Progress,
        answer_timeout: AnswerTimeout,
        prefill: '_Reading',
    ) -> Outcome:
        now_ms = boottime_ms()
        obstacle = self._find_obstacle(admitted, server, now_ms)
        if obstacle is not None:
            return obstacle
        prefill.is_trial = self._admission.begin_send(admitted)
        target = _target(admitted, server, progress, now_ms)
        request = self._codec.encode_call(admitted.call, target)
        answer = await self._receive_head(
            admitted, server, connection, request, answer_timeout
        )
        progress.framing = answer.head.framing
        progress.is_inside_event = False
        _note_load(self._fleet, server, answer)
        prefill.note_head(answer, progress)
        prefill.note_answer()
        self._fleet.liveness.note_answer_part(server.instance, boottime_ms())
        if answer.is_success and answer.is_event_stream and answer.is_genuine:
            stream = AnswerStream(
                connection,
                progress,
                answer.head,
                self._codec.forwarded_answer_headers(answer.head),
                prefill.note_part,
                functools.partial(self._note_start, admitted, server, progress),
                answer_timeout.search,
            )
            await stream.relay(answer_timeout.timeout_ms)
            return Delivered(answer.head.status)
        wait_for_room = functools.partial(
            progress.reply.wait_for_room, is_whole=True
        )
        body = await connection.read_body(MAX_BODY_BYTES, wait_for_room)
        return await self._deliver_whole(answer, body, progress)

    def _find_obstacle(
        self, admitted: AdmittedCall, server: BackendServer, now_ms: float
    ) -> Withheld | Forbidden | NotSent | None:
        """Return what has come between the choice of a server and the send."""
        refusal = self._admission.recheck_key(
            admitted, now_ms
        ) or self._admission.refuse_crashing(admitted)
        if refusal is not None:
            return Withheld(refusal)
        if is_list_outdated(self._fleet, now_ms):
            return Forbidden('it is not known which servers have left')
        if not may_use_zone(self._fleet, server, now_ms):
            return Forbidden('the zone of the server is evacuated')
        if not may_send(self._fleet, server, now_ms):
            return NotSent('the server is leaving or asked for a pause')
        if not self._fleet.cold.confirm(
            server.instance, id(admitted.call), now_ms
        ):
            return Forbidden('the cold server takes no request now')
        return None

    async def _deliver_whole(
        self, answer: Answer, body: bytes, progress: Progress
    ) -> Outcome:
        """Classify an answer that was read whole; forward it if valid."""
        if answer.was_not_run:
            return NotRun(answer.head.status)
        if not answer.is_success:
            return Failed(answer, body)
        if not answer.is_genuine:
            return Broken(
                'the answer lacks the seal of the server or is encoded'
            )
        if progress.reply.has_started:
            return Broken('the answer does not continue the stream')
        await self.forward_whole(progress.reply, answer, body)
        return Delivered(answer.head.status)

    async def _receive_head(
        self,
        admitted: AdmittedCall,
        server: BackendServer,
        connection: ClientConnection,
        request: RequestHead,
        answer_timeout: AnswerTimeout,
    ) -> Answer:
        answers: list[Answer] = []
        matcher = AnswerMatcher(admitted.call.request_id, connection)
        sent_at_ms = boottime_ms()

        def is_expected(head: ResponseHead) -> bool:
            # Answers to earlier requests, too, tell whether the server leaves.
            answers.append(self._codec.decode_answer(head))
            self._note_availability(server, answers[-1])
            return matcher.is_expected(
                answers[-1], self._codec.answered_id(head)
            )

        try:
            async with self.waits.limit(
                admitted, server.instance, connection.channel, answer_timeout
            ):
                await connection.send(request, admitted.call.body)
                await connection.read_head(is_expected)
        except TimeoutError as error:
            raise ExchangeError(
                ExchangeStage.SENT, 'no answer in time'
            ) from error
        self._note_limit(server, answers[-1], sent_at_ms)
        return matcher.believed(answers[-1])

    def _note_limit(
        self, server: BackendServer, answer: Answer, sent_at_ms: float
    ) -> None:
        stated_at_ms = boottime_ms()
        if answer.limit_per_s is None:
            if not answer.is_sealed:
                return
            # An answer without a limit says nothing about one that the server
            # has named since the request was sent.
            stated_at_ms = sent_at_ms
        self._fleet.limits.hear(
            LimitStatement(
                server.instance,
                server.started_ms,
                answer.limit_per_s,
                stated_at_ms,
            )
        )

    def _note_availability(self, server: BackendServer, answer: Answer) -> None:
        self._fleet.cold.hear(
            server.instance,
            server.started_ms,
            answer.cold_for_ms,
            boottime_ms(),
        )
        availability = self._fleet.availability
        instance, started_ms = server.instance, server.started_ms
        if answer.is_leaving and availability.note_leaving(
            instance, started_ms
        ):
            self._log.info('server is leaving', server=instance)
        if answer.pause_ms:
            availability.note_pause(
                instance, started_ms, answer.pause_ms, boottime_ms()
            )
            self._log.info(
                'server asked for a pause',
                server=instance,
                pause_ms=int(answer.pause_ms),
            )

    def _note_start(
        self, admitted: AdmittedCall, server: BackendServer, progress: Progress
    ) -> None:
        progress.software_version = server.software_version
        if admitted.route.is_resumable:
            origin = StreamOrigin(
                admitted.call.request_id,
                server.service,
                server.software_version,
                admitted.resumable_until_ms,
            )
            self._announce_stream(origin)


def _note_load(fleet: Fleet, server: BackendServer, answer: Answer) -> None:
    now_ms = boottime_ms()
    if answer.load is not None:
        fleet.note_load(server.instance, answer.load, now_ms)
    elif answer.is_load_malformed:
        fleet.malformed_reports.note(server.instance, now_ms)


def _answered(
    admitted: AdmittedCall,
    server: BackendServer,
    reading: _Reading,
    outcome: Delivered | Failed,
) -> AnsweredSend:
    is_valid = isinstance(outcome, Delivered) or (
        outcome.answer.head.status < MIN_SERVER_ERROR_STATUS
    )
    is_delivered = isinstance(outcome, Delivered)
    return AnsweredSend(
        server,
        admitted.call.shared_parts if is_delivered else (),
        admitted.fingerprint,
        reading.sent_at_ms,
        is_valid,
        reading.framing is BodyFraming.UNTIL_CLOSE,
        reading.is_trial,
    )


def _target(
    admitted: AdmittedCall,
    server: BackendServer,
    progress: Progress,
    now_ms: float,
) -> Target:
    organisation = admitted.organisation
    return Target(
        instance=server.instance,
        organisation='' if organisation is None else organisation.name,
        deadline_ms=max(int(admitted.time_left_ms(now_ms)), 1),
        urgency=min(max(admitted.urgency, 0), 9),
        resume_after=progress.resume_after,
    )
