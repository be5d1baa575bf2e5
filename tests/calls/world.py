"""One call, some agents and a network that loses, delays and repeats."""

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
    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.boots = 0
        self.frozen_until_ms = 0
        self.is_alive = False
        self.start()

    def start(self):
        self.boots += 1
        self.is_alive = True
        self.table = AttemptTable(f'{self.name}/{self.boots}')
        self.buffers = {}
        self.readers = {}

    def run(self, stream):
        request = stream.request
        attempt = request.attempt
        arrival = self.table.arrive(request, self.world.now_ms)
        if isinstance(arrival, Rejected):
            refusal = Chunk(
                attempt,
                request.next_index,
                arrival.state,
                refusal=arrival.refusal,
                nonce=self.table.nonce,
            )
            self.world.to_router(stream, refusal)
            return
        if isinstance(arrival, Admitted):
            self.buffers[attempt] = ChunkBuffer(attempt)
            self.later(QUEUE_MS, self.begin, request)
        self.follow(stream, request.next_index)

    def begin(self, request):
        if not self.table.start(request.attempt):
            return
        self.world.executions.append((self.name, request.attempt))
        if request.service_call is not None:
            self.later(SERVICE_MS, self.answer, request)
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
        self.later(TOKEN_MS, self.produce, request, index + 1)

    def complete(self, request):
        usage = Usage(1, TOKENS)
        self.buffers[request.attempt].finish(Finish('stop', usage))
        self.table.finish(request.attempt, self.world.now_ms)

    def follow(self, stream, index):
        attempt = stream.request.attempt
        state = self.table.state(attempt)
        alive = Chunk(attempt, index, state, nonce=self.table.nonce)
        self.world.to_router(stream, alive)
        while chunk := self.buffers[attempt].read(index):
            index += 1
            self.world.to_router(stream, chunk)
            if chunk.is_last:
                return
        self.later(TOKEN_MS, self.follow, stream, index)

    def revoke(self, request):
        now_ms = self.world.now_ms
        state = self.table.revoke(request, now_ms)
        if state is AttemptState.QUEUED:
            self.table.withdraw(request.attempt, now_ms)
            state = AttemptState.REVOKED
        return events.RevokeAnswered(request.attempt, state, self.table.nonce)

    def cancel(self, request):
        self.table.withdraw(request.attempt, self.world.now_ms)

    def later(self, delay_ms, action, *arguments):
        boot = self.boots

        def act():
            if boot == self.boots and self.is_alive:
                action(*arguments)

        self.world.at(delay_ms, self.when_awake, act)

    def when_awake(self, act):
        left_ms = self.frozen_until_ms - self.world.now_ms
        if left_ms > 0:
            self.world.at(left_ms, self.when_awake, act)
        else:
            act()


class World:
    """Runs one call to its end and beyond, with faults at given times."""

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
            self.at(at_ms, getattr(self, fault), *arguments)

    def run(self):
        self.perform(self.call.start())
        while self._heap:
            at_ms, _, action, arguments = heapq.heappop(self._heap)
            if at_ms > END_MS:
                break
            self.now_ms = at_ms
            action(*arguments)
        return self

    def at(self, delay_ms, action, *arguments):
        entry = (self.now_ms + delay_ms, next(self._numbers), action, arguments)
        heapq.heappush(self._heap, entry)

    # Faults.

    def cut(self, late_ms=None):
        """Silence the open streams; late_ms delivers lost requests after."""
        for stream in self.streams:
            stream.is_cut = True
            if late_ms is not None:
                self.at(late_ms, self.redeliver, stream)

    def redeliver(self, stream):
        agent = self.agents[stream.agent]
        ghost = dataclasses.replace(stream, is_cut=True)
        agent.later(0, agent.run, ghost)

    def repeat_chunks(self):
        for chunk in self.sent_chunks[-20:]:
            self.tell(events.ChunkArrived(chunk))

    def kill(self, name, is_reset, gone_ms=None):
        agent = self.agents[name]
        if not agent.is_alive:
            return
        agent.is_alive = False
        nonce = agent.table.nonce
        for stream in self.streams:
            if stream.agent == name and is_reset:
                self.at(HOP_MS, self.break_stream, stream, LOST)
            stream.is_cut |= stream.agent == name
        self.at(RESTART_MS, agent.start)
        if gone_ms is not None:
            self.at(gone_ms, self.tell, events.AgentGone(name, nonce))

    def freeze(self, name, for_ms):
        self.agents[name].frozen_until_ms = self.now_ms + for_ms

    def freeze_router(self, for_ms):
        self.router_frozen_until_ms = self.now_ms + for_ms

    # Network.

    def to_router(self, stream, chunk):
        self.sent_chunks.append(chunk)
        if not stream.is_cut and not stream.is_done:
            self.at(HOP_MS, self.deliver_chunk, stream, chunk)

    def deliver_chunk(self, stream, chunk):
        if stream.is_cut or stream.is_done:
            return
        stream.last_ms = self.now_ms
        stream.is_done = chunk.is_last
        self.tell(events.ChunkArrived(chunk))

    def watch(self, stream):
        silent_ms = self.now_ms - stream.last_ms
        if silent_ms >= stream.timeout_ms:
            self.break_stream(stream, LOST)
        elif not stream.is_done:
            self.at(stream.timeout_ms - silent_ms, self.watch, stream)

    def break_stream(self, stream, refusal):
        if not stream.is_done:
            stream.is_done = True
            attempt = stream.request.attempt
            self.tell(events.StreamBroke(attempt, refusal))

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
            self.at(HOP_MS, self.break_stream, stream, UNSENT)
            return
        self.at(HOP_MS, self.arrive, stream)
        self.watch(stream)

    def arrive(self, stream):
        agent = self.agents[stream.agent]
        if not stream.is_cut:
            agent.later(0, agent.run, stream)

    def ask(self, agent, handle, request):
        if agent.is_alive and request is not None:
            agent.later(
                HOP_MS, lambda: self.at(HOP_MS, self.tell, handle(request))
            )

    # The router.

    def tell(self, event):
        left_ms = self.router_frozen_until_ms - self.now_ms
        if left_ms > 0:
            self.at(left_ms, self.tell, event)
        else:
            self.perform(self.call.handle(event, self.now_ms))

    def perform(self, decided):
        for action in decided:
            self.act(action)
        if not self.call.is_ended:
            delay_ms = max(1, self.call.next_tick_ms() - self.now_ms)
            self.at(delay_ms, self.tick, self.now_ms + delay_ms)

    def tick(self, due_ms):
        if not self.call.is_ended and self.call.next_tick_ms() <= due_ms:
            self.tell(events.Tick())

    def act(self, action):
        match action:
            case actions.Locate():
                alive = [
                    Candidate(name, self.known_nonce(name)) for name in AGENTS
                ]
                self.at(HOP_MS, self.tell, events.Located(tuple(alive)))
            case actions.OpenStream():
                self.open_stream(action)
            case actions.Revoke(name, request):
                agent = self.agents[name]
                self.ask(agent, agent.revoke, request)
            case actions.Cancel(name, request):
                agent = self.agents[name]
                agent.later(HOP_MS, agent.cancel, request)
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

    def check(self, is_repeatable):
        """Assert what always holds, whatever the faults."""
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
