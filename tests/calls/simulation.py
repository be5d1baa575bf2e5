"""Simulates one call at a router, several agents and a faulty network.

The network loses, delays and repeats messages, and processes die or freeze.
"""

import dataclasses
import heapq
import itertools

from lagoonflow.calls import actions, events
from lagoonflow.calls.attempts import Admitted, AttemptTable, Rejected
from lagoonflow.calls.buffer import ChunkBuffer
from lagoonflow.calls.messages import (
    AttemptState,
    Chunk,
    Finish,
    Generation,
    Header,
    ServiceAnswer,
    ServiceCall,
    Usage,
)
from lagoonflow.calls.policy import CallPolicy
from lagoonflow.calls.router_call import RouterCall
from lagoonflow.calls.spec import CallSpec, Candidate
from lagoonflow.results import Refusal, Result

HOP_MS = 2
TOKEN_MS = 20
QUEUE_MS = 60
SERVICE_MS = 80
RESTART_MS = 300
DEADLINE_MS = 4000
END_MS = 200_000
TOKENS = 30
LOST = Refusal(Result.BACKEND_UNREACHABLE, 'silent', not_run=False)
UNSENT = Refusal(Result.BACKEND_UNREACHABLE, 'no connection')
AGENTS = ('agent-1', 'agent-2', 'agent-3')
GENERATION = Generation('model', '', 'prompt', TOKENS)
HEAD = ServiceAnswer(201, (Header('content-type', 'text/plain'),))


def token(index):
    return f'{index} '


EXPECTED_TEXT = ''.join(token(index) for index in range(TOKENS))
EXPECTED_BODY = b'confirmed'


def service_call(is_idempotent):
    return ServiceCall(
        'portal', 'POST', '/swap', '', (), b'shift', is_idempotent
    )


@dataclasses.dataclass(slots=True, eq=False)
class Stream:
    agent: str
    request: object
    last_ms: int
    timeout_ms: int
    is_cut: bool = False
    is_done: bool = False


class Agent:
    def __init__(self, simulation, name):
        self.simulation = simulation
        self.name = name
        self.incarnation = 0
        self.frozen_until_ms = 0
        self.is_alive = False
        self.start()

    def start(self):
        self.incarnation += 1
        self.is_alive = True
        self.table = AttemptTable(f'{self.name}/{self.incarnation}')
        self.buffers = {}
        self.readers = {}

    def run(self, stream):
        request = stream.request
        attempt = request.attempt
        registration = self.table.register(request, self.simulation.now_ms)
        if isinstance(registration, Rejected):
            refusal = Chunk(
                attempt,
                request.next_index,
                registration.state,
                refusal=registration.refusal,
                nonce=self.table.nonce,
            )
            self.simulation.to_router(stream, refusal)
            return
        if isinstance(registration, Admitted):
            self.buffers[attempt] = ChunkBuffer(attempt)
            self.schedule(QUEUE_MS, self.begin, request)
        self.follow(stream, request.next_index)

    def begin(self, request):
        if not self.table.start(request.attempt):
            return
        self.simulation.executions.append((self.name, request.attempt))
        if request.service_call is not None:
            self.schedule(SERVICE_MS, self.answer, request)
        else:
            self.produce(request, request.generation.from_token)

    def answer(self, request):
        buffer = self.buffers[request.attempt]
        buffer.add_answer(HEAD)
        buffer.add_body(EXPECTED_BODY)
        self.complete(request)

    def produce(self, request, index):
        if index >= TOKENS:
            self.complete(request)
            return
        self.buffers[request.attempt].add_text(token(index), 1)
        self.schedule(TOKEN_MS, self.produce, request, index + 1)

    def complete(self, request):
        usage = Usage(1, TOKENS)
        self.buffers[request.attempt].finish(Finish('stop', usage))
        self.table.finish(request.attempt, self.simulation.now_ms)

    def follow(self, stream, index):
        attempt = stream.request.attempt
        state = self.table.state(attempt)
        keep_alive = Chunk(attempt, index, state, nonce=self.table.nonce)
        self.simulation.to_router(stream, keep_alive)
        while chunk := self.buffers[attempt].read(index):
            index += 1
            self.simulation.to_router(stream, chunk)
            if chunk.is_last:
                return
        self.schedule(TOKEN_MS, self.follow, stream, index)

    def revoke(self, request):
        now_ms = self.simulation.now_ms
        state = self.table.revoke(request, now_ms)
        if state is AttemptState.QUEUED:
            self.table.withdraw(request.attempt, now_ms)
            state = AttemptState.REVOKED
        return events.RevokeAnswered(request.attempt, state, self.table.nonce)

    def cancel(self, request):
        self.table.withdraw(request.attempt, self.simulation.now_ms)

    def schedule(self, delay_ms, action, *arguments):
        incarnation = self.incarnation

        def run_if_alive():
            if incarnation == self.incarnation and self.is_alive:
                action(*arguments)

        self.simulation.schedule(delay_ms, self.run_unfrozen, run_if_alive)

    def run_unfrozen(self, callback):
        left_ms = self.frozen_until_ms - self.simulation.now_ms
        if left_ms > 0:
            self.simulation.schedule(left_ms, self.run_unfrozen, callback)
        else:
            callback()


class Simulation:
    """Runs one call to its end and beyond, with faults at given times.

    :param work: the generation or the service call to run.
    :param faults: tuples of the time in ms, the method that causes the fault
        and its arguments.
    :param policy: fields of :class:`CallPolicy`.
    """

    def __init__(self, work, faults=(), **policy):
        self.now_ms = 0
        self.executions = []
        self.deliveries = []
        self.answered_ms = None
        self.router_frozen_until_ms = 0
        self.streams = []
        self.sent_chunks = []
        self._numbers = itertools.count()
        self._heap = []
        self.agents = {name: Agent(self, name) for name in AGENTS}
        generation = work if isinstance(work, Generation) else None
        spec = CallSpec(
            'request',
            'router',
            'organisation',
            'key',
            DEADLINE_MS,
            generation=generation,
            service_call=None if generation else work,
            router_nonce='router/1',
        )
        self.call = RouterCall(spec, CallPolicy(**policy), 0)
        for at_ms, fault, *arguments in faults:
            self.schedule(at_ms, getattr(self, fault), *arguments)

    def run(self):
        self.execute_all(self.call.start())
        while self._heap:
            at_ms, _, action, arguments = heapq.heappop(self._heap)
            if at_ms > END_MS:
                break
            self.now_ms = at_ms
            action(*arguments)
        return self

    def schedule(self, delay_ms, action, *arguments):
        entry = (self.now_ms + delay_ms, next(self._numbers), action, arguments)
        heapq.heappush(self._heap, entry)

    # Faults.

    def cut(self, late_ms=None):
        """Silence the open streams; deliver lost requests late_ms later."""
        for stream in self.streams:
            stream.is_cut = True
            if late_ms is not None:
                self.schedule(late_ms, self.redeliver, stream)

    def redeliver(self, stream):
        agent = self.agents[stream.agent]
        lost_stream = dataclasses.replace(stream, is_cut=True)
        agent.schedule(0, agent.run, lost_stream)

    def repeat_chunks(self):
        for chunk in self.sent_chunks[-20:]:
            self.handle_event(events.ChunkArrived(chunk))

    def kill(self, name, is_reset, gone_ms=None):
        agent = self.agents[name]
        if not agent.is_alive:
            return
        agent.is_alive = False
        nonce = agent.table.nonce
        for stream in self.streams:
            if stream.agent == name and is_reset:
                self.schedule(HOP_MS, self.break_stream, stream, LOST)
            stream.is_cut |= stream.agent == name
        self.schedule(RESTART_MS, agent.start)
        if gone_ms is not None:
            self.schedule(
                gone_ms, self.handle_event, events.AgentGone(name, nonce)
            )

    def freeze(self, name, for_ms):
        self.agents[name].frozen_until_ms = self.now_ms + for_ms

    def freeze_router(self, for_ms):
        self.router_frozen_until_ms = self.now_ms + for_ms

    # Network.

    def to_router(self, stream, chunk):
        self.sent_chunks.append(chunk)
        if not stream.is_cut and not stream.is_done:
            self.schedule(HOP_MS, self.deliver_chunk, stream, chunk)

    def deliver_chunk(self, stream, chunk):
        if stream.is_cut or stream.is_done:
            return
        stream.last_ms = self.now_ms
        stream.is_done = chunk.is_last
        self.handle_event(events.ChunkArrived(chunk))

    def check_progress(self, stream):
        silent_ms = self.now_ms - stream.last_ms
        if silent_ms >= stream.timeout_ms:
            self.break_stream(stream, LOST)
        elif not stream.is_done:
            self.schedule(
                stream.timeout_ms - silent_ms, self.check_progress, stream
            )

    def break_stream(self, stream, refusal):
        if not stream.is_done:
            stream.is_done = True
            attempt = stream.request.attempt
            self.handle_event(events.StreamBroke(attempt, refusal))

    def open_stream(self, action):
        for stream in self.streams:
            stream.is_done = True
        stream = Stream(
            action.agent,
            action.request,
            self.now_ms,
            action.progress_timeout_ms,
        )
        self.streams = [stream]
        agent = self.agents[action.agent]
        if not agent.is_alive:
            self.schedule(HOP_MS, self.break_stream, stream, UNSENT)
            return
        self.schedule(HOP_MS, self.arrive, stream)
        self.check_progress(stream)

    def arrive(self, stream):
        agent = self.agents[stream.agent]
        if not stream.is_cut:
            agent.schedule(0, agent.run, stream)

    def send_request(self, agent, handle, request):
        if agent.is_alive and request is not None:
            agent.schedule(
                HOP_MS,
                lambda: self.schedule(
                    HOP_MS, self.handle_event, handle(request)
                ),
            )

    # The router.

    def handle_event(self, event):
        left_ms = self.router_frozen_until_ms - self.now_ms
        if left_ms > 0:
            self.schedule(left_ms, self.handle_event, event)
        else:
            self.execute_all(self.call.handle(event, self.now_ms))

    def execute_all(self, decided):
        for action in decided:
            self.execute(action)
        if not self.call.is_ended:
            delay_ms = max(1, self.call.next_tick_ms() - self.now_ms)
            self.schedule(delay_ms, self.tick, self.now_ms + delay_ms)

    def tick(self, due_ms):
        if not self.call.is_ended and self.call.next_tick_ms() <= due_ms:
            self.handle_event(events.Tick())

    def execute(self, action):
        match action:
            case actions.Locate():
                candidates = [
                    Candidate(name, self.known_nonce(name)) for name in AGENTS
                ]
                self.schedule(
                    HOP_MS, self.handle_event, events.Located(tuple(candidates))
                )
            case actions.OpenStream():
                self.open_stream(action)
            case actions.Revoke(name, request):
                agent = self.agents[name]
                self.send_request(agent, agent.revoke, request)
            case actions.Cancel(name, request):
                agent = self.agents[name]
                agent.schedule(HOP_MS, agent.cancel, request)
            case _:
                self.deliveries.append(action)
                if self.answered_ms is None:
                    self.answered_ms = self.now_ms

    def known_nonce(self, name):
        return f'{name}/1'

    # Results.

    @property
    def last(self):
        return self.deliveries[-1] if self.deliveries else None

    @property
    def refusal(self):
        return getattr(self.last, 'refusal', None)

    @property
    def text(self):
        texts = [getattr(part, 'text', '') for part in self.deliveries]
        return ''.join(texts)

    @property
    def body(self):
        bodies = [getattr(part, 'body', b'') for part in self.deliveries]
        return b''.join(bodies)

    def check_invariants(self, is_repeatable):
        """Assert what holds under all faults."""
        ends = [part for part in self.deliveries if actions.is_last(part)]
        assert ends == [self.last]
        if isinstance(self.last, actions.DeliverFinish):
            assert (self.text, self.body) in (
                (EXPECTED_TEXT, b''),
                ('', EXPECTED_BODY),
            )
        else:
            assert EXPECTED_TEXT.startswith(self.text)
        if not is_repeatable:
            assert len(self.executions) <= 1
        if self.refusal is not None and self.refusal.not_run:
            assert not self.executions
        if not self.router_frozen_until_ms:
            assert self.answered_ms <= DEADLINE_MS
