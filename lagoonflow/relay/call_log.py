"""Log line and metrics of each call."""

import dataclasses

import prometheus_client as prometheus
import structlog

from lagoonflow.backends.choosing import Send, Wake
from lagoonflow.clock import MS_PER_S
from lagoonflow.declared.view import DeclaredView
from lagoonflow.http1.messages import BodyFraming
from lagoonflow.relay.admission import AdmittedCall
from lagoonflow.relay.messages import Call
from lagoonflow.relay.refusals import status_of
from lagoonflow.relay.replacement import Silence
from lagoonflow.relay.streaming import Progress
from lagoonflow.results import Refusal

# Parts of a prompt that a log line names at most.
MAX_LOGGED_PARTS = 8
LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.5, 0.8, 1.5, 2.5, 5, 10, 20)


@dataclasses.dataclass(slots=True)
class CallRecord:
    """Decisions and results of one call, for its log line.

    :ivar steps: choices and sends in order, with the time since arrival.
    :ivar answer_at_ms: boot time at which the answer began.
    :ivar longest_gap_ms: longest pause in ms between two parts of the
        answer.
    :ivar framing: how the latest answer of a server told where it ends;
        ``None`` when there was no answer.
    :ivar is_inside_event: whether the latest stream ended inside an event.
    :ivar software_version: version of the server that began the stream;
        ``None`` before its first event.
    :ivar store_place: number of models that the weight store was to load
        before the model of the call; ``None`` if it wasn't waited for.
    """

    call: Call
    arrived_ms: float
    admitted: AdmittedCall | None = None
    outcome: str = 'unfinished'
    refusal: Refusal | None = None
    steps: list[str] = dataclasses.field(default_factory=list)
    answer_at_ms: float | None = None
    longest_gap_ms: float = 0
    framing: BodyFraming | None = None
    is_inside_event: bool = False
    software_version: str | None = None
    store_place: int | None = None

    def note_choice(self, choice: Send | Wake, now_ms: float) -> None:
        """Record which server was chosen, and its estimated cost."""
        verb = 'send' if isinstance(choice, Send) else 'wake'
        cost_ms = (
            choice.cost_ms if isinstance(choice, Send) else choice.ready_in_ms
        )
        at_ms = int(now_ms - self.arrived_ms)
        server = choice.server.instance
        self.steps.append(f'{at_ms}ms {verb} {server} cost={int(cost_ms)}ms')

    def note_send(self, instance: str, outcome: object, now_ms: float) -> None:
        """Record the outcome of a send."""
        at_ms = int(now_ms - self.arrived_ms)
        reason = getattr(outcome, 'reason', '')
        kind = type(outcome).__name__
        self.steps.append(f'{at_ms}ms {kind} {instance} {reason}'.rstrip())

    def note_silence(
        self, instance: str, silence: Silence, now_ms: float
    ) -> None:
        """Record a silence of a server, and why it was left or kept."""
        at_ms = int(now_ms - self.arrived_ms)
        end = f'kept: {silence.reason}'
        if silence.replacement:
            end = f'left for {silence.replacement}'
        self.steps.append(
            f'{at_ms}ms silent {instance} for={int(silence.duration_ms)}ms {end}'
        )

    def note_progress(self, progress: Progress) -> None:
        """Record how the latest answer of a server went."""
        self.longest_gap_ms = progress.longest_gap_ms
        self.framing = progress.framing
        self.is_inside_event = progress.is_inside_event
        if progress.software_version is not None:
            self.software_version = progress.software_version

    def refuse(self, refusal: Refusal) -> None:
        """Record the refusal that ends the call."""
        self.refusal = refusal
        self.outcome = refusal.code.name

    def finish(self, outcome: str) -> None:
        """Record an outcome other than a refusal."""
        self.outcome = outcome


class CallLog:
    """Writes one log line for each call and updates the metrics."""

    def __init__(self, registry: prometheus.CollectorRegistry) -> None:
        """Register the metrics with a registry."""
        self._log = structlog.get_logger(part='call')
        self._calls = prometheus.Counter(
            'lagoonflow_calls',
            'Calls by route kind and outcome.',
            ['kind', 'outcome'],
            registry=registry,
        )
        self._answers = prometheus.Counter(
            'lagoonflow_answers',
            'Answered calls by framing of the last answer and outcome.',
            ['framing', 'outcome'],
            registry=registry,
        )
        self._latency = prometheus.Histogram(
            'lagoonflow_call_seconds',
            'Time from the whole request to the end of its answer.',
            ['kind'],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )

    def write(
        self, record: CallRecord, now_ms: float, view: DeclaredView
    ) -> None:
        """Write the log line of a finished call and count it."""
        admitted = record.admitted
        kind = 'none' if admitted is None else admitted.route.kind.value
        took_ms = now_ms - record.arrived_ms
        outcome = record.outcome.partition(':')[0]
        self._calls.labels(kind, outcome).inc()
        self._latency.labels(kind).observe(took_ms / MS_PER_S)
        if record.framing is not None:
            self._answers.labels(record.framing.value, outcome).inc()
        fields: dict[str, object] = {
            'request': record.call.request_id,
            'outcome': record.outcome,
            'took_ms': int(took_ms),
            'version': view.version,
            'proof_age_ms': _proof_age_ms(view, record.arrived_ms),
            'steps': record.steps,
        }
        if record.call.tokens:
            fields['tokens'] = record.call.tokens
        if record.call.model:
            fields['model'] = record.call.model
            fields['adapter'] = record.call.adapter
        if record.call.shared_parts:
            fields['prompt'] = record.call.shared_parts[:MAX_LOGGED_PARTS]
        if admitted is not None:
            fields['route'] = admitted.route.name
            fields['fingerprint'] = admitted.fingerprint
            fields['urgency'] = admitted.urgency
            fields['target_ms'] = admitted.route.target_latency_ms
            if admitted.organisation is not None:
                fields['organisation'] = admitted.organisation.name
        fields.update(_answer_fields(record))
        if record.store_place is not None:
            fields['store_place'] = record.store_place
        if record.refusal is not None:
            fields['status'] = status_of(record.refusal)[0]
            fields['reason'] = record.refusal.reason
            fields['not_run'] = record.refusal.not_run
            fields['retry_after_ms'] = record.refusal.retry_after_ms
        self._log.info('ended', **fields)

    def count_unreadable(self, status: int, reason: str) -> None:
        """Count and log a request that could not be parsed."""
        self._calls.labels('none', f'unread {status}').inc()
        self._log.info('request not read', status=status, reason=reason)


def _answer_fields(record: CallRecord) -> dict[str, object]:
    """Return the fields that tell how the answer went."""
    fields: dict[str, object] = {}
    if record.longest_gap_ms:
        fields['gap_ms'] = int(record.longest_gap_ms)
    if record.software_version is not None:
        fields['software_version'] = record.software_version
    if record.call.resume_after:
        fields['resumes'] = record.call.resumed_request_id or 'unknown'
    if record.framing is not None:
        fields['framing'] = record.framing.value
    if record.is_inside_event:
        fields['inside_event'] = True
    if record.answer_at_ms is not None:
        fields['answer_ms'] = int(record.answer_at_ms - record.arrived_ms)
    return fields


def _proof_age_ms(view: DeclaredView, now_ms: float) -> int:
    """Return the time since the configuration was confirmed; -1 for never."""
    age_ms = view.age_ms(now_ms)
    return int(age_ms) if age_ms < float('inf') else -1
