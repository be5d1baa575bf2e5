"""Stand-ins of the platform's store, servers and clients for cases 11 to 15.

They use the standard library only, run in one process, and follow the pages in
`PROTOCOL.md` and `DEPLOY.md`. The routers and agents are started as separate
processes with the commands of `deploy/system.toml`.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
HEARTBEAT_S = 1.2
STORE_ANSWER_S = 0.004
HOST = 'desk.example'
REASONS = {200: 'OK', 202: 'Accepted', 404: 'Not Found', 410: 'Gone'}

BOUNDS = {
    'heartbeat_ms': 1200,
    'contracts': 'base,drain,config,cost,retry,recover,fleet,stream,engine,'
    'tenants,quota,platform',
    'fault_tolerance.machines': 1,
    'fault_tolerance.zones': 0,
    'bounds.seed_lag_s': 3,
    'bounds.reuse_after_s': 2,
    'bounds.stable_window_ms': 3000,
    'bounds.ack_ms': 4000,
    'bounds.catch_up_s': 4,
    'bounds.drain_ms': 2000,
    'bounds.grace_s': 8,
    'bounds.loss_slack_ms': 200,
    'bounds.config_apply_ms': 2000,
    'bounds.rollback_slack_ms': 250,
    'bounds.max_stretch_ms': 5000,
    'bounds.revoke_strict': 'true',
    'bounds.revoke_ms': 5000,
    'bounds.retry_budget_ratio': 0.2,
    'bounds.budget_window_s': 10,
    'bounds.budget_extra_retries': 52,
    'bounds.quota_window_s': 8,
    'bounds.quota_overage': 0.1,
    'bounds.quota_slack': 110000,
    'bounds.recovery_s': 12,
    'bounds.pass_ms': 120,
    'bounds.retry_after_s': 0,
    'bounds.fencing_enforced': 'false',
    'bounds.lease_ms': 3000,
    'bounds.thaw_ms': 300,
    'bounds.ceiling_window_s': 5,
    'bounds.ceiling_overage': 1.1,
    'platform.form': 'log',
    'platform.writes_per_s': 400,
    'platform.reads_per_s': 2000,
    'platform.parts': 12,
    'platform.append_ms': 2.0,
    'platform.record_bytes': 262144,
    'platform.call_bytes': 2097152,
    'platform.keep_s': 300,
    'platform.partition_mb': 200,
    'platform.ttl_min_ms': 1000,
    'limits.memory_mb': 300,
    'limits.max_fds': 4100,
}


class Record:
    """Writes the record of a case: what was sent, answered and run.

    Each line is written at once, so that a run that is ended leaves them, too.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w', buffering=1)
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self._start_s

    def write(self, text: str) -> None:
        self._file.write(f'{self.now_s():8.3f} s  {text}\n')

    def say(self, text: str) -> None:
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        self._file.close()


class Request:
    """A request that a stand-in has read whole."""

    def __init__(self, method, target, headers, body) -> None:
        self.method = method
        self.target = target
        self.path, _, query = target.partition('?')
        self.query = dict(
            pair.partition('=')[::2] for pair in query.split('&') if pair
        )
        self.headers = headers
        self.body = body


async def read_message(reader):
    """Read the first line, the headers and the body of a request."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    length = int(headers.get('content-length') or 0)
    body = await reader.readexactly(length) if length else b''
    return first, headers, body


class HttpStandIn:
    """A small HTTP/1.1 server; subclasses answer requests."""

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.port = 0
        self._server = None
        self._tasks = set()

    @property
    def address(self) -> str:
        return f'{self.ip}:{self.port}'

    async def listen(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.ip, port, limit=2**20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(' ', 2)
                request = Request(method, target, headers, body)
                if not await self._answer_or_stop(request, reader, writer):
                    return
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        except asyncio.CancelledError:
            return
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer_or_stop(self, request, reader, writer) -> bool:
        """Answer a request, unless the connection ends before."""
        handler = asyncio.create_task(self.answer(request, writer))
        closed = asyncio.create_task(watch_end(reader))
        try:
            await asyncio.wait(
                {handler, closed}, return_when=asyncio.FIRST_COMPLETED
            )
            return handler.done() and handler.result()
        finally:
            for task in (handler, closed):
                task.cancel()
            await asyncio.gather(handler, closed, return_exceptions=True)

    async def answer(self, request: Request, writer) -> bool:
        """Answer a request; return whether the connection goes on."""
        raise NotImplementedError


async def watch_end(reader) -> None:
    """Return when the peer has closed its connection."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


async def send(writer, status, headers=(), body=b'') -> bool:
    """Send an answer with a length."""
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Other")}']
    lines += [f'{name}: {text}' for name, text in headers]
    lines.append(f'Content-Length: {len(body)}')
    writer.write('\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body)
    await writer.drain()
    return True


async def send_json(writer, status, value, headers=()) -> bool:
    headers = (*headers, ('Content-Type', 'application/json'))
    return await send(writer, status, headers, json.dumps(value).encode())


class Topic:
    """One keyed topic of the store, with its only partition."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.changed = asyncio.Event()

    def append(self, key: str, value: bytes) -> int:
        raw = key.encode()
        offset = len(self.records)
        self.records.append(bytes([len(raw)]) + raw + value)
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset


class Store(HttpStandIn):
    """The platform's store: keyed topics of a log.

    :ivar silent_topics: topics whose partition is down: calls for them get no
        answer.
    """

    def __init__(self, ip: str) -> None:
        super().__init__(ip)
        self.topics: dict[str, Topic] = {}
        self.silent_topics: set[str] = set()

    def topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value) -> None:
        """Write a record; the return of this call is the acknowledgement."""
        raw = b'' if value is None else json.dumps(value).encode()
        self.topic(topic).append(key, raw)

    async def answer(self, request: Request, writer) -> bool:
        name = request.query.get('topic', '')
        await asyncio.sleep(STORE_ANSWER_S)
        if name in self.silent_topics:
            await asyncio.sleep(3600)
        topic = self.topic(name)
        if request.path == '/log-newest':
            items = [
                {
                    'key': key,
                    'value': base64.b64encode(value).decode(),
                    'offset': offset,
                }
                for key, (offset, value) in sorted(topic.newest.items())
            ]
            body = {
                'items': items,
                'has_more': False,
                'end_offset': len(topic.records),
            }
            return await send_json(writer, 200, body)
        if request.path == '/log-read':
            return await self._read(request, topic, writer)
        if request.path == '/log-append':
            (length,) = struct.unpack_from('>I', request.body)
            record = request.body[4 : 4 + length]
            key_end = 1 + record[0]
            offset = topic.append(record[1:key_end].decode(), record[key_end:])
            body = {'offset': offset, 'end_offset': len(topic.records)}
            return await send_json(writer, 200, body)
        return await send_json(writer, 404, {})

    async def _read(self, request: Request, topic: Topic, writer) -> bool:
        offset = int(request.query['from'])
        wait_s = min(int(request.query.get('wait_ms') or 0), 30_000) / 1000
        most = int(request.query.get('max_size') or 1024)
        if offset >= len(topic.records) and wait_s:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await topic.changed.wait()
        if offset > len(topic.records):
            return await send_json(writer, 410, {'first_offset': 0})
        framed = b''
        for record in topic.records[offset:]:
            framed += struct.pack('>I', len(record)) + record
            if len(framed) > most:
                break
        head = struct.pack('>QQ', len(topic.records), 0)
        return await send(writer, 200, (), (head + framed)[: 16 + most])


class Server(HttpStandIn):
    """A server (runner) of a service.

    :param record: where its runs are written.
    :param models: models that it holds; none for an application server.
    :ivar runs: time, attempt id, path and tenant of each request that it ran.
    """

    def __init__(
        self, ip, record, store, service, work_s=0.03, models=(), version='v1'
    ) -> None:
        super().__init__(ip)
        self.instance = f'i-{random.getrandbits(40):010x}'
        self.service = service
        self.version = version
        self.zone = 'zone-a'
        self.slots = 64 if models else 6
        self.work_s = work_s
        self.models = {name: set() for name in models}
        self.runs: list[tuple[float, str, str, str]] = []
        self.active = 0
        self.sequence = 0
        self.events = 40
        self.gap_s = 0.2
        self._born = int(time.time() * 1000)
        self._record = record
        self._store = store

    def entry(self) -> dict:
        """Return what it writes about itself into the store."""
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': 'ready',
            'cold_left_ms': 0,
            'sequence': self.sequence,
            'born': self._born,
        }
        if self.models:
            entry['stage'] = 'unified'
            entry['models'] = self._held()
            entry['available'] = {'in_memory': [], 'on_disk': []}
        return entry

    def _held(self) -> list[dict]:
        return [
            {'name': name, 'version': 1, 'adapters': sorted(adapters)}
            for name, adapters in self.models.items()
        ]

    async def heartbeat(self) -> None:
        while True:
            self._store.put('keyed.servers', self.instance, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def answer(self, request: Request, writer) -> bool:
        identity = ('Instance-Id', self.instance)
        if request.path == '/report':
            body = {
                'stage': 'unified',
                'models': self._held(),
                'busy': False,
                'sequence': self.sequence,
                'queued': 0,
                'active': self.active,
                'kv_used': 0,
                'kv_total': 264806,
                'handles': 0,
                'born': self._born,
                'available': {'in_memory': [], 'on_disk': []},
            }
            return await send_json(writer, 200, body)
        if request.path == '/healthz':
            return await send(writer, 200, (identity,))
        attempt = request.headers.get('attempt-id', '')
        headers = [
            identity,
            ('Attempt-Id', attempt),
            ('Instance-Load', f'{self.active},0,{self.slots}'),
        ]
        expected = request.headers.get('expect-instance', self.instance)
        if expected != self.instance:
            return await send(writer, 421, headers)
        if request.path == '/order':
            # Everything that the clients ask for is held from the start.
            return await send_json(writer, 409, {})
        model = request.headers.get('model', '')
        if model and model not in self.models:
            return await send(writer, 421, headers)
        if self.active >= 4 * self.slots:
            return await send(writer, 503, [*headers, ('Not-Executed', '1')])
        tenant = request.headers.get('tenant', '')
        run = (self._record.now_s(), attempt, request.path, tenant)
        self.runs.append(run)
        self._record.write(
            f'server {self.instance} of {self.service} runs {attempt}'
            f' {request.method} {request.target} tenant={tenant}'
            f' last-event-id={request.headers.get("last-event-id", "")}'
        )
        self.active += 1
        try:
            headers.append(('Server-Seal', f'seal.{self.instance}'))
            if model:
                return await self._stream(request, writer, headers)
            await asyncio.sleep(self.work_s)
            return await send(writer, 200, headers, b'done ' + request.body)
        finally:
            self.active -= 1

    async def _stream(self, request, writer, headers) -> bool:
        headers = [
            *headers,
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
            ('Weight-Versions', '1'),
        ]
        head = 'HTTP/1.1 200 OK\r\n' + ''.join(
            f'{name}: {text}\r\n' for name, text in headers
        )
        await asyncio.sleep(self.work_s)
        writer.write(head.encode() + b'\r\n')
        first = int(request.headers.get('last-event-id') or 0) + 1
        for number in range(first, self.events + 1):
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


class Answer:
    """What a client has received.

    :ivar status: 0 without an answer.
    :ivar is_complete: the whole body has arrived.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.is_complete = False

    @property
    def last_event(self) -> int:
        found = re.findall(rb'id: (\d+)\ndata: [^\n]*\n\n', self.body)
        return int(found[-1]) if found else 0


async def ask(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_s: float = 5,
    answer: Answer | None = None,
) -> Answer:
    """Send one request on a new connection and read the answer."""
    answer = answer or Answer()
    ip, port = address.split(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(ip, int(port))
            lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST}']
            lines += [f'{name}: {text}' for name, text in headers.items()]
            if body or method == 'POST':
                lines.append(f'Content-Length: {len(body)}')
            lines.append('Connection: close')
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            head = await reader.readuntil(b'\r\n\r\n')
            first, *rest = head.decode('latin-1').split('\r\n')[:-2]
            for line in rest:
                name, _, text = line.partition(':')
                answer.headers[name.strip().lower()] = text.strip()
            answer.status = int(first.split(' ')[1])
            await _read_body(reader, answer)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


async def _read_body(reader, answer: Answer) -> None:
    if answer.headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                answer.is_complete = True
                return
    if 'content-length' in answer.headers:
        length = int(answer.headers['content-length'])
        answer.body += await reader.readexactly(length)
    else:
        answer.body += await reader.read()
    answer.is_complete = True


def free_port(ip: str) -> int:
    """Return a port that is free for TCP and UDP, with the next one."""
    for _ in range(200):
        port = random.randrange(20_000, 60_000)
        try:
            for number in (port, port + 1):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as one:
                        one.bind((ip, number))
        except OSError:
            continue
        return port
    raise OSError(f'no free port at {ip}')


class Program:
    """A router or an agent: a process of its own."""

    def __init__(self, fleet, role: str, ip: str, fields: dict) -> None:
        self.role = role
        self.ip = ip
        self.name = f'{role}-{ip}'
        self._fleet = fleet
        self._settings = fleet.folder / f'{self.name}.conf'
        self._settings.write_text(
            ''.join(f'{name}={text}\n' for name, text in fields.items())
        )
        self.frontend = fields.get('listen.frontend', '')
        self.ready = fields.get('listen.ready', '')
        self._process = None

    @property
    def pid(self) -> int:
        return self._process.pid

    async def start(self) -> None:
        command = self._fleet.commands[self.role].split()
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['LAGOONFLOW_BOOT'] = str(self._settings)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        log = (self._fleet.folder / f'{self.name}.log').open('ab')
        self._process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self._fleet.record.write(f'{self.name} started, pid {self.pid}')

    def signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            self._fleet.record.write(f'{number.name} to {self.name}')
            self._process.send_signal(number)

    async def wait(self) -> None:
        await self._process.wait()

    async def end(self) -> None:
        if self._process is None or self._process.returncode is not None:
            return
        self._process.send_signal(signal.SIGCONT)
        self._process.kill()
        await self._process.wait()

    async def is_ready(self) -> bool:
        answer = await ask(self.ready, 'GET', '/readyz', {}, timeout_s=1)
        return answer.status == 200


class Fleet:
    """Store, servers, routers and agents on loopback addresses."""

    def __init__(self, record_path: pathlib.Path) -> None:
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.record = Record(record_path)
        text = (ROOT / 'deploy/system.toml').read_text()
        roles = tomllib.loads(text)['roles']
        self.commands = {name: role['run'] for name, role in roles.items()}
        self._net = f'127.{random.randrange(1, 255)}.{random.randrange(255)}'
        self._hosts = 1
        self.store = Store(f'{self._net}.1')
        self.servers: list[Server] = []
        self.programs: list[Program] = []
        self._tasks: list[asyncio.Task] = []
        self._peer_port = 0

    def next_ip(self) -> str:
        self._hosts += 1
        return f'{self._net}.{self._hosts}'

    async def start_store(self) -> None:
        await self.store.listen()
        self._peer_port = free_port(f'{self._net}.2')

    async def add_server(self, service: str, **options) -> Server:
        server = Server(
            self.next_ip(), self.record, self.store, service, **options
        )
        await server.listen()
        self.servers.append(server)
        self._tasks.append(asyncio.create_task(server.heartbeat()))
        self.record.write(
            f'server {server.instance} of {service} at {server.address}'
        )
        return server

    def _fields(self, role: str, ip: str, kind: str) -> dict:
        return {
            'node_name': f'{role}-{ip}',
            'role': role,
            'machine_class': kind,
            'serves': kind,
            'ip': ip,
            'zone': 'zone-a',
            'region': 'region-a',
            'zones.zone-a': 'region-a',
            'internal_ports': f'{self._peer_port},{self._peer_port + 15}',
            'bootstrap': 'true',
            'discovery': 'platform',
            'entry': 'vip',
            **BOUNDS,
            'platform.address': self.store.address,
        }

    async def add_router(self) -> Program:
        ip = self.next_ip()
        fields = self._fields('router', ip, 'edge')
        fields['listen.frontend'] = f'{ip}:{free_port(ip)}'
        fields['listen.ready'] = f'{ip}:{free_port(ip)}'
        return await self._start('router', ip, fields)

    async def add_agent(self, server: Server) -> Program:
        fields = self._fields('agent', server.ip, 'side')
        fields['app'] = server.address
        fields['service'] = server.service
        return await self._start('agent', server.ip, fields)

    async def _start(self, role: str, ip: str, fields: dict) -> Program:
        program = Program(self, role, ip, fields)
        await program.start()
        self.programs.append(program)
        return program

    async def wait_ready(self, routers, timeout_s: float = 20) -> None:
        """Wait until all routers answer their readiness check with 200."""
        until_s = time.monotonic() + timeout_s
        for router in routers:
            while not await router.is_ready():
                if time.monotonic() > until_s:
                    raise TimeoutError(f'{router.name} is not ready')
                await asyncio.sleep(0.05)

    def publish(self, body: dict) -> None:
        """Publish a configuration, as the operator does."""
        self.store.put('keyed.op', 'config', body)
        self.record.write(f'configuration {body["version"]} acknowledged')

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for program in self.programs:
            with contextlib.suppress(ProcessLookupError):
                await program.end()
        for server in (*self.servers, self.store):
            await server.close()
        logs = sorted(self.folder.glob('*.log'))
        if os.environ.get('KEEP_LOGS'):
            for log in logs:
                target = pathlib.Path(os.environ['KEEP_LOGS']) / log.name
                target.write_bytes(log.read_bytes())
        self.record.close()
        self._temporary.cleanup()


def new_id() -> str:
    return f'{random.getrandbits(64):016x}'


def is_troubled() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(play, record_path: pathlib.Path) -> None:
    """Play a case and exit: 1 broken, 0 held, 2 not run.

    :param record_path: file that gets what was sent, answered and run.
    """

    async def played() -> int:
        fleet = Fleet(record_path)
        fleet.record.write(f'the disruption is played: {is_troubled()}')
        try:
            async with asyncio.timeout(115):
                return await play(fleet)
        except Exception as error:  # The case could not run.
            fleet.record.say(f'the case could not run: {error!r}')
            return 2
        finally:
            await fleet.close()

    sys.exit(asyncio.run(played()))
