"""Stand-in for a model runner or a plain application server."""

import asyncio
import os
import time
import uuid
from collections import Counter, deque
from collections.abc import AsyncIterator
from typing import Any
from urllib.request import Request as PutRequest
from urllib.request import urlopen

import msgspec
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route
from starlette.types import ASGIApp

from standins.faults import Faults, FaultSwitch
from standins.lagged import MS_PER_S
from standins.middleware import close_without_answer, never_answer, reply
from standins.serving import build_app, build_parser, read_body, serve

ACCEPTED = 202
CONFLICT = 409
MISDIRECTED = 421
BUSY = 503
HEARTBEAT_S = 0.3
EVENTS_PER_STREAM = 6
SEAL = 'sealed'
PAUSE_S = '0.4'
# Times of arrival that are remembered at most.
MAX_ARRIVALS = 4000
# Time from the first event on a crashing part to the crash, in s.
CRASH_DELAY_S = 0.05


class RunnerFaults(Faults, frozen=True, kw_only=True):
    """Faults of a runner.

    :param lose_answers: how many of the next plain requests run without an
        answer.
    :param cut_streams: how many of the next streams break off within their
        third event.
    :param end_streams: how many of the next streams end inside their third
        event, with the regular end of the answer.
    :param late_orders: how many of the next orders get no answer and are
        executed 1 s later.
    :param reject: reject every request as not executed, and ask for a pause.
    :param is_leaving: register with the state `draining`, and say so in
        answers.
    :param limit_per_s: requests per second that it says it takes; 0 for no
        limit. Requests beyond it are served and counted.
    :param crash_on_part: end the process once it begins to answer a request
        with this part in its prompt; empty for none.
    :param crash_on_body: end the process while it runs a request with this
        text in its body; empty for none.
    :param cold_ms: time in ms for which it says that it is cold; 0 for none.
    """

    lose_answers: int = 0
    cut_streams: int = 0
    end_streams: int = 0
    late_orders: int = 0
    reject: bool = False
    is_leaving: bool = False
    limit_per_s: float = 0
    crash_on_part: str = ''
    crash_on_body: str = ''
    cold_ms: float = 0


class OrderBody(msgspec.Struct, frozen=True):
    """The fields of an order that the stand-in uses."""

    operation: str
    model: str
    holder: str
    fencing_token: int
    precondition: int | None = None
    adapter: str = ''


class Runner:
    """Loads models, runs requests and registers itself in the store.

    :param service: name of the service that it belongs to.
    :param store: address of the metadata store.
    :param models: models that are loaded at the start; none for a plain server.
    :param memory_models: number of models that fit into its memory.
    :param work_ms: duration of a plain request and of each event of a stream,
        in ms.
    :param software_version: version that it registers and writes into streams.
    :param crash_on_part: see `RunnerFaults`.
    :param crash_on_body: see `RunnerFaults`.
    :ivar address: address at which it is registered.
    :ivar zone: zone in which it is registered.
    """

    def __init__(
        self,
        service: str,
        store: str,
        models: tuple[str, ...],
        memory_models: int,
        work_ms: float,
        software_version: str,
        crash_on_part: str = '',
        crash_on_body: str = '',
    ) -> None:
        self.address = ''
        self.zone = 'zone-a'
        self._instance = f'i-{uuid.uuid4().hex[:8]}'
        self._started_ms = time.time_ns() // 1_000_000
        self._service = service
        self._store = store
        self._models: dict[str, set[str]] = {name: set() for name in models}
        self._memory_models = memory_models
        self._work_s = work_ms / MS_PER_S
        self._software_version = software_version
        self._sequence = 0
        self._busy = False
        self._active = 0
        self._ran: Counter[str] = Counter()
        self._arrived_s: deque[float] = deque(maxlen=MAX_ARRIVALS)
        self._holders: set[str] = set()
        self._overcommitted = 0
        self._tasks: set[asyncio.Task[Any]] = set()
        self._switch = FaultSwitch(
            RunnerFaults(
                crash_on_part=crash_on_part, crash_on_body=crash_on_body
            )
        )

    def app(self) -> ASGIApp:
        """Return the ASGI application."""
        routes = [
            Route('/report', self._report, methods=['GET']),
            Route('/order', self._order, methods=['POST']),
            Route('/healthz', self._health, methods=['GET']),
            Route(
                '/{path:path}',
                self._run_request,
                methods=['GET', 'POST', 'PUT', 'DELETE'],
            ),
        ]
        app = build_app(routes, self._switch, self._counts)

        # The first request starts the heartbeat: there is no event loop before.
        async def with_heartbeat(scope, receive, send) -> None:
            if not self._tasks:
                self._tasks.add(asyncio.create_task(self._heartbeat()))
            await app(scope, receive, send)

        return with_heartbeat

    def _counts(self) -> dict[str, Any]:
        return {
            'instance': self._instance,
            'leaving': self._switch.current.is_leaving,
            'ran': dict(self._ran),
            'arrived_s': list(self._arrived_s),
            'holders': sorted(self._holders),
            'overcommitted': self._overcommitted,
            'models': sorted(self._models),
            'sequence': self._sequence,
        }

    def _state(self) -> dict[str, Any]:
        return {
            'models': [
                {'name': name, 'version': 1, 'adapters': sorted(adapters)}
                for name, adapters in self._models.items()
            ],
            'sequence': self._sequence,
            'born': self._started_ms,
            'available': {'in_memory': [], 'on_disk': ['m1', 'm2', 'm3']},
        }

    async def _heartbeat(self) -> None:
        while True:
            state = 'draining' if self._switch.current.is_leaving else 'ready'
            entry = {
                'service': self._service,
                'address': self.address,
                'zone': self.zone,
                'version': self._software_version,
                'slots': 8,
                'state': state,
                'cold_left_ms': self._switch.current.cold_ms,
                **self._state(),
            }
            await asyncio.to_thread(self._register, entry)
            await asyncio.sleep(HEARTBEAT_S)

    def _register(self, entry: dict[str, Any]) -> None:
        body = {
            'topic': 'keyed.servers',
            'key': f'servers/{self._instance}',
            'value': entry,
        }
        request = PutRequest(
            f'http://{self._store}/test/put',
            msgspec.json.encode(body),
            {'Content-Type': 'application/json'},
        )
        try:
            urlopen(request, timeout=1).close()
        except OSError:
            return

    async def _report(self, request: Request) -> Response:
        headers = (
            {'Server-Leaving': '1'} if self._switch.current.is_leaving else {}
        )
        return reply(
            {
                **self._state(),
                'stage': 'unified',
                'busy': self._busy,
                'queued': 0,
                'active': self._active,
                'kv_used': 0,
                'kv_total': 1000,
            },
            headers=headers,
        )

    async def _health(self, request: Request) -> Response:
        headers = {'Instance-Id': self._instance}
        if self._switch.current.cold_ms:
            headers['Cold-Ms'] = str(self._switch.current.cold_ms)
        return reply({}, headers=headers)

    async def _order(self, request: Request) -> Response:
        expected = request.headers.get('expect-instance', self._instance)
        if expected != self._instance:
            return reply({}, MISDIRECTED)
        order = await read_body(request, OrderBody)
        if self._switch.use_one('late_orders'):
            self._tasks.add(asyncio.create_task(self._apply_later(order)))
            return await never_answer(request)
        return reply({}, self._apply(order))

    async def _apply_later(self, order: OrderBody) -> None:
        await asyncio.sleep(1)
        self._apply(order)

    def _apply(self, order: OrderBody) -> int:
        self._holders.add(order.holder)
        is_outdated = order.precondition not in {None, self._sequence}
        if self._busy or is_outdated:
            return CONFLICT
        self._sequence += 1
        if order.adapter:
            self._change_adapter(order)
            return ACCEPTED
        self._busy = True
        self._tasks.add(asyncio.create_task(self._execute(order)))
        return ACCEPTED

    def _change_adapter(self, order: OrderBody) -> None:
        adapters = self._models.setdefault(order.model, set())
        if order.operation == 'model_load':
            adapters.add(order.adapter)
        else:
            adapters.discard(order.adapter)

    async def _execute(self, order: OrderBody) -> None:
        await asyncio.sleep(0.15)
        if order.operation == 'model_load':
            self._models.setdefault(order.model, set())
            self._overcommitted += len(self._models) > self._memory_models
        else:
            self._models.pop(order.model, None)
        self._busy = False

    async def _run_request(self, request: Request) -> Response:
        body = await request.body()
        self._arrived_s.append(time.monotonic())
        attempt = request.headers.get('attempt-id', '')
        headers = {'Attempt-Id': attempt, 'Instance-Load': '1,0,8'}
        if self._switch.current.is_leaving:
            headers['Server-Leaving'] = '1'
        if self._switch.current.limit_per_s:
            headers['Server-Limit'] = str(self._switch.current.limit_per_s)
        expected = request.headers.get('expect-instance', self._instance)
        if expected != self._instance or not self._has_model(request):
            return reply({}, MISDIRECTED, headers)
        if self._switch.current.reject:
            headers.update({'Not-Executed': '1', 'Retry-After': PAUSE_S})
            return reply({}, BUSY, headers)
        self._ran[attempt] += 1
        headers['Server-Seal'] = SEAL
        headers['Saw-Tenant'] = request.headers.get('tenant', '')
        self._active += 1
        if request.headers.get('model'):
            stream = self._events(request)
            kind = 'text/event-stream'
            return StreamingResponse(stream, 200, headers, kind)
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self._active -= 1
        await _crash_on_body(request, self._switch.current.crash_on_body)
        if self._switch.use_one('lose_answers'):
            return await close_without_answer(request)
        return Response(body or b'fine', 200, headers)

    def _has_model(self, request: Request) -> bool:
        model, _, adapter = request.headers.get('model', '').partition('/')
        if not model:
            return True
        adapters = self._models.get(model)
        return adapters is not None and (not adapter or adapter in adapters)

    async def _events(self, request: Request) -> AsyncIterator[bytes]:
        first = int(request.headers.get('last-event-id') or 0) + 1
        faults = self._switch.current
        is_cut = self._switch.use_one('cut_streams')
        is_ended = not is_cut and self._switch.use_one('end_streams')
        try:
            for number in range(first, EVENTS_PER_STREAM + 1):
                await asyncio.sleep(self._work_s)
                is_last = number - first == 2 and (is_cut or is_ended)
                if is_last:
                    yield b'id: '
                    await asyncio.sleep(0.02)
                if is_last and is_cut:
                    request.scope['abort']()
                if is_last:
                    return
                piece = f'piece {number} {self._software_version}'
                yield f'id: {number}\ndata: {piece}\n\n'.encode()
                await _crash_on_part(request, faults.crash_on_part)
                await _crash_on_body(request, faults.crash_on_body)
        finally:
            self._active -= 1


async def _crash_on_part(request: Request, crashing_part: str) -> None:
    """End the process if a request has a part in its prompt."""
    prompt = request.headers.get('prompt-prefix', '')
    parts = {part.partition(':')[0] for part in prompt.split(',')}
    if crashing_part and crashing_part in parts:
        await asyncio.sleep(CRASH_DELAY_S)
        os._exit(1)


async def _crash_on_body(request: Request, crashing_text: str) -> None:
    """End the process if a request has a text in its body."""
    if crashing_text and crashing_text.encode() in await request.body():
        await asyncio.sleep(CRASH_DELAY_S)
        os._exit(1)


def main() -> None:
    """Read the flags and serve."""
    parser = build_parser('Model runner or plain server.')
    parser.add_argument('--service', required=True)
    parser.add_argument('--store', required=True)
    parser.add_argument('--models', default='')
    parser.add_argument('--memory-models', type=int, default=2)
    parser.add_argument('--work-ms', type=float, default=20)
    parser.add_argument('--advertise', default='')
    parser.add_argument('--zone', default='zone-a')
    parser.add_argument('--software-version', default='v1')
    parser.add_argument('--crash-on-part', default='')
    parser.add_argument('--crash-on-body', default='')
    flags = parser.parse_args()
    runner = Runner(
        flags.service,
        flags.store,
        tuple(filter(None, flags.models.split(','))),
        flags.memory_models,
        flags.work_ms,
        flags.software_version,
        flags.crash_on_part,
        flags.crash_on_body,
    )
    runner.zone = flags.zone
    runner.address = flags.advertise or f'{flags.host}:{flags.port}'
    serve(runner.app(), flags.host, flags.port)


if __name__ == '__main__':
    main()
