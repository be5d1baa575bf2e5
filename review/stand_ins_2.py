"""Stand-ins for the scripts of the second review: platform, runners, clients.

All of them run in the process of the script; the programs under test are
separate processes. Only the standard library is used. Each machine has its own
loopback address, so that the ports are those of the settings.
"""

import asyncio
import base64
import collections
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback
import uuid

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
CALLER_PORT, READY_PORT, PEER_PORT = 8221, 8224, 7600
STORE_PORT, APP_PORT = 8225, 8300
HOST = 'news.example'
KEY = 'key-of-water'
OTHER_KEY = 'key-of-roads'
LENGTH = struct.Struct('>I')
PAGE = struct.Struct('>QQ')
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class CannotRunError(Exception):
    """The case could not be set up."""


# --- HTTP ---------------------------------------------------------------


@dataclasses.dataclass
class Request:
    """A request that a stand-in has read."""

    method: str
    target: str
    headers: dict
    body: bytes

    @property
    def path(self):
        return self.target.partition('?')[0]

    @property
    def query(self):
        pairs = self.target.partition('?')[2].split('&')
        return dict(pair.partition('=')[::2] for pair in pairs if pair)


async def read_request(reader):
    """Return the next request of a connection; ``None`` at its end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')
    method, target, _ = first.split(' ', 2)
    headers = {}
    for line in filter(None, lines):
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    try:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def encode_answer(status, headers, body=None):
    """Return the bytes of a response; without a body only those of its head."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + (body or b'')


class Server:
    """An HTTP server on an address of its own."""

    def __init__(self):
        self._server = None
        self._writers = set()

    async def listen(self, ip, port):
        self._server = await asyncio.start_server(self._serve, ip, port)

    async def close(self):
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def reset_connections(self):
        for writer in list(self._writers):
            writer.transport.abort()

    async def answer(self, request, writer):
        """Answer a request; return whether the connection stays open."""
        raise NotImplementedError

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await self.answer(request, writer):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


async def send(writer, data):
    writer.write(data)
    await writer.drain()


async def send_json(writer, status, body, headers=None):
    await send(
        writer,
        encode_answer(
            status,
            {'Content-Type': 'application/json', **(headers or {})},
            json.dumps(body).encode(),
        ),
    )
    return True


# --- The platform's store -------------------------------------------------


class Topic:
    """A topic with one partition."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.changed = asyncio.Event()

    @property
    def end(self):
        return self.first + len(self.records)

    def append(self, record):
        self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.end - 1

    def newest(self):
        """Return the offset and value of the newest record of each key."""
        found = {}
        for index, record in enumerate(self.records):
            key_end = 1 + record[0]
            key = record[1:key_end].decode()
            found.pop(key, None)
            if record[key_end:]:
                found[key] = (self.first + index, record[key_end:])
        return found


class Store(Server):
    """The metadata store, in its form ``log``, with keyed topics.

    :ivar era: what the header ``Store-Era`` states in all answers.
    """

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.era = 1

    def copy(self):
        """Return the records of each topic, for :meth:`restore`."""
        return {name: list(one.records) for name, one in self.topics.items()}

    def restore(self, copied):
        """Go back to a copy: offsets are given out again, the era rises."""
        self.era += 1
        for name, topic in self.topics.items():
            topic.records = list(copied.get(name, ()))
            topic.changed.set()
            topic.changed = asyncio.Event()

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        raw = b'' if value is None else json.dumps(value).encode()
        name = key.encode()
        return self.topic(topic).append(bytes([len(name)]) + name + raw)

    async def _send_json(self, writer, status, body):
        return await send_json(
            writer, status, body, {'Store-Era': str(self.era)}
        )

    async def answer(self, request, writer):
        await asyncio.sleep(0.004)
        topic = self.topic(request.query.get('topic', ''))
        if request.path == '/log-append':
            return await self._append(topic, request, writer)
        if request.path == '/log-newest':
            items = [
                {
                    'key': key,
                    'value': base64.b64encode(value).decode(),
                    'offset': offset,
                }
                for key, (offset, value) in sorted(topic.newest().items())
            ]
            return await self._send_json(
                writer,
                200,
                {
                    'items': items,
                    'has_more': False,
                    'end_offset': topic.end,
                },
            )
        if request.path == '/log-read':
            return await self._read(topic, request, writer)
        return await self._send_json(writer, 404, {})

    async def _append(self, topic, request, writer):
        name = request.query['topic']
        if name in {'keyed.op', 'keyed.servers'}:
            return await self._send_json(writer, 403, {})
        body, first = request.body, topic.end
        while body:
            length = LENGTH.unpack_from(body)[0]
            topic.append(body[LENGTH.size : LENGTH.size + length])
            body = body[LENGTH.size + length :]
        return await self._send_json(
            writer, 200, {'offset': first, 'end_offset': topic.end}
        )

    async def _read(self, topic, request, writer):
        start = int(request.query['from'])
        until_s = time.monotonic() + int(request.query.get('wait_ms', 0)) / 1000
        while start == topic.end and time.monotonic() < until_s:
            changed = topic.changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(until_s - time.monotonic()):
                    await changed.wait()
        if not topic.first <= start <= topic.end:
            return await self._send_json(writer, 410, {'first_offset': topic.first})
        records = topic.records[start - topic.first :]
        body = PAGE.pack(topic.end, topic.first)
        body += b''.join(LENGTH.pack(len(one)) + one for one in records)
        await send(
            writer,
            encode_answer(
                200,
                {
                    'Content-Type': 'application/octet-stream',
                    'Store-Era': str(self.era),
                },
                body,
            ),
        )
        return True


# --- Runners ----------------------------------------------------------------


class Runner(Server):
    """A runner of a service, which registers itself in the store.

    :param events_of: called with a path and the number of runs for it so far;
        returns how many events the stream has.
    :ivar runs: what ran: time, id of the attempt, first event.
    :ivar ends: how each run has ended, by the id of the attempt.
    """

    def __init__(self, store, name, service, ip, zone, record, **options):
        super().__init__()
        self.store, self.service, self.ip, self.zone = store, service, ip, zone
        self.id = f'i-{uuid.uuid4().hex[:8]}'
        self.name = name
        self.born = time.time_ns() // 1_000_000
        self.version = options.get('version', 'sw1')
        self.models = list(options.get('models', ()))
        self._on_disk = list(options.get('on_disk', self.models))
        events = options.get('events', 12)
        self._events_of = options.get('events_of', lambda path, number: events)
        self.pause_s = options.get('pause_s', 0.3)
        self.work_s = options.get('work_s', 0.03)
        self.is_unframed = options.get('is_unframed', False)
        self.state = 'ready'
        self.sequence = 0
        self.active = 0
        self.runs = []
        self._runs_by_path = collections.Counter()
        self.ends = {}
        self.orders = []
        self._record = record
        self._busy = False
        self._beat = None

    @property
    def address(self):
        return f'{self.ip}:{APP_PORT}'

    async def start(self):
        await self.listen(self.ip, APP_PORT)
        self._beat = asyncio.create_task(self._heartbeat())

    async def stop(self):
        if self._beat is not None:
            self._beat.cancel()
        await self.close()

    def description(self):
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.version,
            'slots': 64 if self.models else 6,
            'state': self.state,
            'cold_left_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
            'models': [
                {'name': name, 'version': 1, 'adapters': []}
                for name in self.models
            ],
            'available': {'in_memory': [], 'on_disk': self._on_disk},
        }

    def register(self):
        self.store.put(
            'keyed.servers', f'servers/{self.id}', self.description()
        )

    async def _heartbeat(self):
        while True:
            self.register()
            await asyncio.sleep(1.2)

    async def answer(self, request, writer):
        if request.path == '/report':
            return await self._report(writer)
        if request.path == '/order':
            return await self._order(request, writer)
        if request.path == '/healthz':
            return await send_json(writer, 200, {}, {'Instance-Id': self.id})
        return await self._run(request, writer)

    async def _report(self, writer):
        body = {
            **self.description(),
            'stage': 'unified',
            'busy': self._busy,
            'queued': 0,
            'active': self.active,
            'kv_used': 0,
            'kv_total': 264_806,
            'handles': 0,
            'pending': [],
        }
        return await send_json(writer, 200, body)

    async def _order(self, request, writer):
        order = json.loads(request.body)
        self.orders.append(order)
        self._record(f'{self.name} got the order {request.body.decode()}')
        expected = request.headers.get('expect-instance', self.id)
        if expected != self.id:
            return await send_json(writer, 421, {})
        precondition = order.get('precondition', self.sequence)
        if self._busy or precondition != self.sequence:
            return await send_json(writer, 409, {})
        self.sequence += 1
        self._busy = True
        asyncio.get_running_loop().call_later(0.4, self._finish_order, order)
        return await send_json(writer, 202, {})

    def _finish_order(self, order):
        self._busy = False
        if order['operation'] == 'model_load':
            if order['model'] not in self.models:
                self.models.append(order['model'])
        elif order['model'] in self.models:
            self.models.remove(order['model'])

    async def _run(self, request, writer):
        attempt = request.headers.get('attempt-id', '')
        headers = {'Attempt-Id': attempt, 'Instance-Load': f'{self.active},0,64'}
        model = request.headers.get('model', '').partition('/')[0]
        expected = request.headers.get('expect-instance', self.id)
        if expected != self.id or (model and model not in self.models):
            return await send_json(writer, 421, {}, headers)
        headers['Server-Seal'] = f'seal.{self.id}.{attempt}'
        first = int(request.headers.get('last-event-id') or 0) + 1
        self.runs.append((time.time(), attempt, first))
        self._record(
            f'{self.name} ran {attempt} from event {first},'
            f' {request.method} {request.target}'
        )
        self.active += 1
        self.ends[attempt] = 'at work'
        try:
            if model:
                is_kept = await self._stream(request, writer, headers, first)
            else:
                await asyncio.sleep(self.work_s)
                body = f'answer to {attempt}'.encode()
                await send(writer, encode_answer(200, headers, body))
                is_kept = True
        except ConnectionError:
            self._note_end(attempt, 'the caller closed the connection')
            raise
        finally:
            self.active -= 1
        if self.ends[attempt] == 'at work':
            self._note_end(attempt, 'done')
        return is_kept

    def _note_end(self, attempt, reason):
        self.ends[attempt] = reason
        self._record(f'{self.name} ended {attempt}: {reason}')

    async def _stream(self, request, writer, headers, first):
        """Send a stream; stop at the deadline that the request states."""
        attempt = request.headers.get('attempt-id', '')
        until_s = time.monotonic() + float(request.headers['deadline-ms']) / 1000
        self._runs_by_path[request.path] += 1
        most = self._events_of(request.path, self._runs_by_path[request.path])
        headers['Content-Type'] = 'text/event-stream'
        if self.is_unframed:
            headers['Connection'] = 'close'
        else:
            headers['Transfer-Encoding'] = 'chunked'
        await send(writer, encode_answer(200, headers))
        for number in range(first, most + 1):
            await asyncio.sleep(self.pause_s)
            if writer.transport.is_closing():
                raise ConnectionResetError
            if time.monotonic() >= until_s:
                self._note_end(attempt, 'stopped at its deadline')
                writer.transport.abort()
                return False
            event = event_of(number, self.version)
            if not self.is_unframed:
                event = f'{len(event):x}\r\n'.encode() + event + b'\r\n'
            await send(writer, event)
        if not self.is_unframed:
            await send(writer, b'0\r\n\r\n')
        return not self.is_unframed


def event_of(number, version):
    return f'id: {number}\ndata: piece {number} of {version}\n\n'.encode()


# --- Clients -----------------------------------------------------------------


@dataclasses.dataclass
class Answer:
    """What a client has received for one attempt.

    :ivar is_complete: the end of the body was received, by the framing of the
        answer; without any framing that is the orderly end of the connection.
    """

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b''
    is_complete: bool = False
    end: str = ''
    sent_s: float = 0
    ended_s: float = 0

    def last_event(self):
        ids = [
            int(line[3:])
            for event in self.body.split(b'\n\n')[:-1]
            for line in event.split(b'\n')
            if line.startswith(b'id:')
        ]
        return max(ids, default=0)


def new_attempt():
    return f'{random.getrandbits(64):016x}'


class KeptConnection:
    """A client's connection, which carries one request after the other."""

    def __init__(self, ip):
        self._ip = ip
        self._streams = None

    async def ask(self, path, headers, body=b'x' * 600, method='POST'):
        """Send a request on the open connection, or on a new one."""
        answer = Answer()
        wait_s = float(headers.get('Deadline-Ms', 5000)) / 1000
        try:
            async with asyncio.timeout(wait_s):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(
                        self._ip, CALLER_PORT
                    )
                reader, writer = self._streams
                await send(writer, encode_request(method, path, headers, body))
                answer.sent_s = time.monotonic()
                await _read_answer(reader, answer, None)
        except TimeoutError:
            answer.end = 'gave up at the deadline'
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer.end = f'broken off: {type(error).__name__}'
        answer.ended_s = time.monotonic()
        is_closed = 'close' in answer.headers.get('connection', '').lower()
        if is_closed or not answer.is_complete:
            self.close()
        return answer

    def close(self):
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


def encode_request(method, path, headers, body):
    lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST}']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


async def ask(ip, path, headers, body=b'x' * 600, on_event=None, method='POST'):
    """Send one request on a connection of its own and read the answer."""
    answer = Answer()
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(ip, CALLER_PORT)
    except (OSError, TimeoutError) as error:
        answer.end = f'not connected: {error!r}'
        return answer
    wait_s = float(headers.get('Deadline-Ms', 5000)) / 1000
    try:
        async with asyncio.timeout(wait_s):
            await send(writer, encode_request(method, path, headers, body))
            await _read_answer(reader, answer, on_event)
    except TimeoutError:
        answer.end = 'gave up at the deadline'
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer.end = f'broken off: {type(error).__name__}'
    finally:
        writer.transport.abort()
    return answer


async def _read_answer(reader, answer, on_event):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    answer.status = int(first.split(' ')[1])
    for line in filter(None, lines):
        name, _, text = line.partition(':')
        answer.headers[name.strip().lower()] = text.strip()
    if answer.headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            part = await reader.readexactly(size + 2)
            if not size:
                break
            _take(answer, part[:-2], on_event)
        answer.end = 'last chunk'
    elif 'content-length' in answer.headers:
        length = int(answer.headers['content-length'])
        _take(answer, await reader.readexactly(length), on_event)
        answer.end = 'stated length'
    else:
        while part := await reader.read(65_536):
            _take(answer, part, on_event)
        answer.end = 'orderly end of the connection'
    answer.is_complete = True


def _take(answer, part, on_event):
    answer.body += part
    if on_event is not None:
        on_event(answer)


# --- A small deployment ----------------------------------------------------------


def route(name, kind, service, **fields):
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'type': kind,
        'timeout_ms': 5000,
        'target_latency_ms': 800,
        'priority': 1,
        'service': service,
        'attempts': 1,
        **fields,
    }


def model(name):
    return {
        'name': name,
        'weights_mb': 42_700,
        'load_time_s': 6.0,
        'warm_s': 0.44,
        'disk_load_s': 0.57,
        'adapters': 0,
        'adapter_size_mb': 12,
    }


def configuration(version=1, **changes):
    body = {
        'version': version,
        'routes': [
            route(
                'digest',
                'streaming',
                'llm',
                timeout_ms=15_000,
                gap_target_ms=600,
                sticky=True,
            ),
            route(
                'urgent',
                'streaming',
                'llm',
                timeout_ms=15_000,
                gap_target_ms=600,
                resumable=True,
                attempts=2,
                sticky=True,
            ),
            route('confirm', 'non_idempotent', 'desk', timeout_ms=1000),
            route('read', 'idempotent', 'desk', timeout_ms=1000, attempts=2),
        ],
        'services': [
            {
                'name': 'llm',
                'max_conns': 360,
                'health_path': '/healthz',
                'engine': {
                    'models': [model('m1'), model('m2'), model('m3')],
                    'slots': 64,
                    'kv_capacity': 264_806,
                    'weights_mb': 200_000,
                    'adapter_slots': 8,
                    'loads_per_s': 1.6,
                },
            },
            {'name': 'desk', 'max_conns': 96, 'health_path': '/healthz'},
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 4_194_304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15_000,
        },
        'tenants': [
            {
                'name': 'water',
                'api_keys': [KEY],
                'unit': 'tokens',
                'plain_tokens': 100,
                'rate_per_s': 0,
                'burst': 0,
            },
            {
                'name': 'roads',
                'api_keys': [OTHER_KEY],
                'unit': 'tokens',
                'plain_tokens': 100,
                'rate_per_s': 0,
                'burst': 0,
            },
        ],
    }
    body.update(changes)
    return body


BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'stable_window_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_apply_ms': 2000,
    'rollback_slack_ms': 250,
    'max_stretch_ms': 5000,
    'revoke_strict': 'true',
    'revoke_ms': 5000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_extra_retries': 52,
    'quota_window_s': 8,
    'quota_overage': 0.1,
    'quota_slack': 110_000,
    'recovery_s': 12,
    'pass_ms': 120,
    'retry_after_s': 0,
    'fencing_enforced': 'false',
    'lease_ms': 3000,
    'thaw_ms': 300,
    'ceiling_window_s': 5,
    'ceiling_overage': 1.1,
}


class Machine:
    """A machine of the system with its one process."""

    def __init__(self, deployment, role, ip, zone, fields):
        self.ip, self.role = ip, role
        self.name = f'{role}-{ip}'
        self._deployment = deployment
        self._zone, self._fields = zone, fields
        self.process = None
        self._log = None

    def start(self):
        machine_class = 'edge' if self.role == 'router' else 'side'
        fields = {
            'node_name': self.name,
            'role': self.role,
            'machine_class': machine_class,
            'serves': machine_class,
            'ip': self.ip,
            'zone': self._zone,
            'region': 'taquari',
            'zones.zone-a': 'taquari',
            'zones.zone-b': 'taquari',
            'internal_ports': f'{PEER_PORT},{PEER_PORT + 15}',
            'limits.cpu_share': 0.817,
            'limits.cores': 1,
            'limits.memory_mb': 300 if self.role == 'router' else 232,
            'limits.max_fds': 4100,
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeat_ms': 1200,
            'contracts': (
                'base,drain,config,cost,retry,recover,fleet,stream,engine,'
                'tenants,quota,platform'
            ),
            'platform.address': self._deployment.store_address,
            'platform.form': 'log',
            **{f'bounds.{name}': text for name, text in BOUNDS.items()},
            **self._fields,
        }
        folder = self._deployment.folder
        path = folder / f'{self.name}.conf'
        path.write_text(''.join(f'{a}={b}\n' for a, b in fields.items()))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['LAGOONFLOW_BOOT'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        self._log = (folder / f'{self.name}.log').open('ab')
        command = ['python3', '-m', 'lagoonflow.cli.platform_process', self.role]
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def kill(self):
        """Kill the process, as in the disruption `node_kill`."""
        self.signal(signal.SIGKILL)
        await asyncio.to_thread(self.process.wait)

    def end(self):
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self._log.close()

    async def is_ready(self):
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.ip, READY_PORT
                )
                await send(
                    writer, f'GET /readyz HTTP/1.1\r\nHost: {self.ip}\r\n\r\n'.encode()
                )
                line = await reader.readline()
                writer.transport.abort()
                return b' 200 ' in line
        except (OSError, TimeoutError):
            return False

    async def wait_ready(self, timeout_s=15):
        until_s = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > until_s:
                raise CannotRunError(f'{self.name} is not ready')
            await asyncio.sleep(0.05)


class Deployment:
    """Store, runners, agents and routers of a small deployment."""

    def __init__(self, case, record_name):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        path = pathlib.Path(case).resolve().parent / record_name
        self._record = path.open('w')
        self._began_s = time.monotonic()
        self._net = _free_network()
        self._last = 1
        self.store = Store()
        self.store_address = f'{self._net}.1:{STORE_PORT}'
        self.routers, self.agents, self.runners = [], [], []

    def record(self, text):
        """Write a line to the record, with the time in s."""
        now_s = time.monotonic() - self._began_s
        self._record.write(f'{now_s:8.3f} {text}\n')
        self._record.flush()

    def next_ip(self):
        self._last += 1
        return f'{self._net}.{self._last}'

    async def start_store(self, body=None):
        ip, port = self.store_address.split(':')
        await self.store.listen(ip, int(port))
        self.publish(body or configuration())

    def publish(self, body):
        """Write a configuration; the return is the acknowledgement."""
        self._published = body
        self.store.put('keyed.op', 'config', body)
        self.record(f'operator: version {body["version"]} acknowledged')

    def publish_again(self):
        """Write the newest configuration again, after the store lost it."""
        self.publish(self._published)

    async def add_runner(self, service, zone='zone-a', **options):
        """Start a runner, and the agent on its machine if it has models."""
        ip = self.next_ip()
        name = f'runner-{len(self.runners) + 1}'
        runner = Runner(
            self.store, name, service, ip, zone, self.record, **options
        )
        await runner.start()
        self.runners.append(runner)
        if options.get('models'):
            agent = Machine(
                self,
                'agent',
                ip,
                zone,
                {'app': runner.address, 'service': service},
            )
            agent.start()
            self.agents.append(agent)
        return runner

    def add_router(self, zone='zone-a'):
        ip = self.next_ip()
        router = Machine(
            self,
            'router',
            ip,
            zone,
            {
                'listen.frontend': f'{ip}:{CALLER_PORT}',
                'listen.ready': f'{ip}:{READY_PORT}',
            },
        )
        router.start()
        self.routers.append(router)
        return router

    async def wait_served(self, path, headers, timeout_s=20):
        """Wait until every router answers a request with success."""
        until_s = time.monotonic() + timeout_s
        for router in self.routers:
            await router.wait_ready()
            while True:
                answer = await self.call(router, path, headers)
                if answer.status == 200 and answer.is_complete:
                    break
                if time.monotonic() > until_s:
                    raise CannotRunError(
                        f'{router.name} does not serve {path}:'
                        f' {answer.status} {answer.body[:200]!r}'
                    )
                await asyncio.sleep(0.1)

    async def call(self, router, path, headers=None, **options):
        """Send a request as a client does, and record it with its answer."""
        sent = {
            'Attempt-Id': new_attempt(),
            'Deadline-Ms': '5000',
            'Authorization': f'Token {KEY}',
            **(headers or {}),
        }
        self.record(f'sent {sent["Attempt-Id"]} to {router.name}: {path}')
        answer = await ask(router.ip, path, sent, **options)
        why = '' if answer.status in {0, 200} else f' {answer.body[:160]!r}'
        self.record(
            f'answer to {sent["Attempt-Id"]}: {answer.status},'
            f' {len(answer.body)} bytes, {answer.end}{why}'
        )
        return answer

    async def close(self):
        for machine in (*self.routers, *self.agents):
            machine.end()
        for runner in self.runners:
            await runner.stop()
        await self.store.close()
        self._record.close()
        if os.environ.get('KEEP_LOGS'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _free_network():
    """Return a network of loopback addresses on which all ports are free."""
    ports = (
        STORE_PORT,
        APP_PORT,
        CALLER_PORT,
        READY_PORT,
        PEER_PORT,
        PEER_PORT + 1,
    )
    for _ in range(50):
        net = f'127.{random.randrange(2, 250)}.{random.randrange(2, 250)}'
        if all(_is_free(f'{net}.{host}', port) for host in (1, 2) for port in ports):
            return net
    raise CannotRunError('no free loopback network')


def _is_free(ip, port):
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def run_case(case, record_name, play):
    """Run a case and exit: 1 if the rule was broken, 0 if not, 2 if not run.

    :param record_name: file beside the case that gets what was sent and answered.
    :param play: coroutine function that gets the deployment, and returns a list
        of what broke the rule.
    """

    async def run():
        try:
            deployment = Deployment(case, record_name)
        except CannotRunError as error:
            print(f'could not run: {error}')
            return None
        try:
            async with asyncio.timeout(110):
                return await play(deployment)
        except CannotRunError as error:
            deployment.record(f'could not run: {error}')
            print(f'could not run: {error}')
            return None
        except TimeoutError:
            deployment.record('could not run: no time left')
            return None
        except Exception as error:
            deployment.record(f'could not run: {error!r}')
            traceback.print_exc()
            return None
        finally:
            await deployment.close()

    found = asyncio.run(run())
    if found is None:
        sys.exit(NOT_RUN)
    print('\n'.join(found) if found else 'the rule held')
    sys.exit(BROKEN if found else HELD)
