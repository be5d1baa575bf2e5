"""Helps the scripts of the review: the platform's store, servers, callers, routers.

Stand-ins run inside the script's process; routers run as processes of their own,
with the command of deploy/system.toml. Standard library only. All addresses are
loopback addresses. Times are seconds of the monotonic clock since `T0`.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
T0 = time.monotonic()
HOST = 'desk.example'
KEY = 'i9n73hh2b9wu3fexd9dn'
DRAIN_S = 2.0
HEARTBEAT_S = 1.2
# A case ends within 120 s.
RUN_TIMEOUT_S = 110
BOUNDS = {
    'seed_lag_s': 3, 'reuse_after_s': 2, 'stable_window_ms': 3000, 'ack_ms': 4000,
    'catch_up_s': 4, 'drain_ms': 2000, 'grace_s': 8, 'loss_slack_ms': 200,
    'config_apply_ms': 2000, 'rollback_slack_ms': 250, 'max_stretch_ms': 5000,
    'revoke_strict': 'true', 'revoke_ms': 5000, 'retry_budget_ratio': 0.2,
    'budget_window_s': 10, 'budget_extra_retries': 52, 'quota_window_s': 8,
    'quota_overage': 0.1, 'quota_slack': 110000, 'recovery_s': 12, 'pass_ms': 120,
    'retry_after_s': 0, 'fencing_enforced': 'false', 'lease_ms': 3000,
    'thaw_ms': 300, 'ceiling_window_s': 5, 'ceiling_overage': 1.1,
}


def now() -> float:
    """Return the time since the script began, in s."""
    return time.monotonic() - T0


class Record:
    """Writes what happened to record.txt in the folder of the case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w')

    def add(self, what: str, **fields) -> None:
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        print(f'{now():8.3f} {what} {text}', file=self._file, flush=True)


class Net:
    """Loopback addresses of one run."""

    def __init__(self) -> None:
        self._prefix = f'127.{random.randrange(1, 255)}.{random.randrange(1, 255)}'
        self._hosts = 0

    def ip(self) -> str:
        self._hosts += 1
        return f'{self._prefix}.{self._hosts}'


def free_ports(ip: str, count: int) -> list[int]:
    """Return consecutive free ports of an address."""
    while True:
        first = random.randrange(20_000, 30_000)
        sockets = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    one = socket.socket(socket.AF_INET, kind)
                    sockets.append(one)
                    one.bind((ip, port))
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()
        return list(range(first, first + count))


class Request:
    """A request with its whole body."""

    def __init__(self, method: str, target: str, headers: dict, body: bytes) -> None:
        self.method = method
        self.target = target
        self.path, _, query = target.partition('?')
        self.query = dict(p.partition('=')[::2] for p in query.split('&') if p)
        self.headers = headers
        self.body = body


async def read_message(reader, *, is_head: bool = False) -> tuple[str, dict, bytes]:
    """Read the first line, the headers and the body of a message.

    The answer to a HEAD request has no body.
    """
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    body = b''
    if is_head:
        return first, headers, body
    if 'chunked' in headers.get('transfer-encoding', '').lower():
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                break
            body += piece[:-2]
    elif headers.get('content-length'):
        body = await reader.readexactly(int(headers['content-length']))
    return first, headers, body


def answer(status: int, body: bytes = b'', headers: dict | None = None) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {text}' for name, text in (headers or {}).items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


class HttpServer:
    """Serves requests; `handle` returns the bytes of the answer or None to reset."""

    def __init__(self, ip: str, port: int) -> None:
        self.ip, self.port = ip, port
        self.address = f'{ip}:{port}'
        self._writers: set = set()
        self._tasks: set = set()
        self._server = None

    async def handle(self, request: Request):
        raise NotImplementedError

    async def open(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, backlog=512
        )

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(' ', 2)
                answered = await self.handle(Request(method, target, headers, body))
                if answered is None:
                    writer.transport.abort()
                    return
                writer.write(answered)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    def close(self) -> None:
        """End at once, like a process that exits."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()


class Topic:
    """The records of one keyed topic."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.changed = asyncio.Event()


class Store(HttpServer):
    """The platform's metadata store, as far as this system uses it.

    `mode` is `up`, `busy` (503), `reset` or `silent`.
    """

    def __init__(self, ip: str, port: int) -> None:
        super().__init__(ip, port)
        self.topics: dict[str, Topic] = {}
        self.mode = 'up'

    def topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())

    def append(self, name: str, record: bytes) -> int:
        topic = self.topic(name)
        offset = len(topic.records)
        topic.records.append(record)
        end = 1 + record[0]
        key = record[1:end].decode()
        if record[end:]:
            topic.newest[key] = (offset, record[end:])
        else:
            topic.newest.pop(key, None)
        topic.changed.set()
        topic.changed = asyncio.Event()
        return offset

    def put(self, name: str, key: str, value) -> int:
        """Write a record; no value removes the key."""
        raw = b'' if value is None else json.dumps(value).encode()
        return self.append(name, bytes([len(key)]) + key.encode() + raw)

    async def handle(self, request: Request):
        if self.mode == 'silent':
            await asyncio.sleep(3600)
        if self.mode == 'reset':
            return None
        if self.mode == 'busy':
            return answer(503)
        topic = self.topic(request.query['topic'])
        if request.path == '/log-append':
            length = struct.unpack_from('>I', request.body)[0]
            offset = self.append(request.query['topic'], request.body[4 : 4 + length])
            body = {'offset': offset, 'end_offset': len(topic.records)}
            return answer(200, json.dumps(body).encode())
        if request.path == '/log-newest':
            items = [
                {'key': key, 'value': base64.b64encode(raw).decode(), 'offset': at}
                for key, (at, raw) in sorted(topic.newest.items())
            ]
            body = {'items': items, 'has_more': False, 'end_offset': len(topic.records)}
            return answer(200, json.dumps(body).encode())
        start = int(request.query['from'])
        wait_s = int(request.query.get('wait_ms', 0)) / 1000
        if start >= len(topic.records) and wait_s:
            try:
                await asyncio.wait_for(topic.changed.wait(), wait_s)
            except TimeoutError:
                pass
        if self.mode == 'silent':
            await asyncio.sleep(3600)
        if self.mode == 'reset':
            return None
        if self.mode == 'busy':
            return answer(503)
        page = struct.pack('>QQ', len(topic.records), 0)
        size = int(request.query.get('max_size', 1024))
        for index, record in enumerate(topic.records[start:]):
            framed = struct.pack('>I', len(record)) + record
            if index and len(page) + len(framed) > size:
                break
            page += framed
        return answer(200, page)


class Server(HttpServer):
    """A plain application server, which registers itself in the store."""

    def __init__(self, store: Store, service: str, ip: str, port: int, record: Record,
                 *, name: str = '', born_ms: int | None = None, work_s: float = 0.045,
                 slots: int = 6, queue: int = 24) -> None:
        super().__init__(ip, port)
        self.store, self.service, self.record = store, service, record
        self.name = name or f'i-{random.getrandbits(32):08x}'
        self.born_ms = int(time.time() * 1000) if born_ms is None else born_ms
        self.work_s, self.slots, self.queue = work_s, slots, queue
        self._places = asyncio.Semaphore(slots)
        self.state = 'ready'
        self.running = 0
        self.arrivals: list[tuple[float, str, bool]] = []
        self._beat = None

    async def open(self) -> None:
        await super().open()
        self._beat = asyncio.create_task(self._heartbeat())

    def entry(self) -> dict:
        """Return its entry in the store."""
        return {
            'service': self.service, 'address': self.address, 'zone': 'lajeado-sede',
            'version': 'v1', 'slots': self.slots, 'state': self.state,
            'cold_left_ms': 0, 'sequence': 0, 'born': self.born_ms,
        }

    def content(self, request: Request, headers: dict) -> bytes:
        """Return the body of a good answer, and set headers for it."""
        return b'x' * 800

    def register(self) -> None:
        self.store.put('keyed.servers', f'servers/{self.name}', self.entry())

    async def _heartbeat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def stop_heartbeat(self) -> None:
        if self._beat is not None:
            self._beat.cancel()
            self._beat = None

    def remove_entry(self) -> None:
        self.store.put('keyed.servers', f'servers/{self.name}', None)

    def close(self) -> None:
        self.stop_heartbeat()
        super().close()

    async def handle(self, request: Request):
        headers = {
            'Attempt-Id': request.headers.get('attempt-id', ''),
            'Instance-Load': f'{min(self.running, self.slots)},'
                             f'{max(self.running - self.slots, 0)},{self.slots}',
            'Instance-Id': self.name,
        }
        if request.path == '/healthz':
            return answer(200 if self.state == 'ready' else 503, b'', headers)
        attempt = request.headers.get('attempt-id', '')
        if request.headers.get('expect-instance', self.name) != self.name:
            self.arrivals.append((now(), attempt, False))
            return answer(421, b'', headers)
        is_full = self.running >= self.slots + self.queue
        self.arrivals.append((now(), attempt, not is_full))
        self.record.add('arrives', server=self.name, attempt=attempt, full=is_full)
        if is_full:
            return answer(503, b'', {**headers, 'Not-Executed': 'full'})
        self.running += 1
        try:
            async with self._places:
                await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        self.record.add('ran', server=self.name, attempt=attempt)
        headers['Server-Seal'] = f'seal.{self.name}.{attempt}'
        if self.state == 'draining':
            headers['Connection'] = 'close'
        if request.method == 'HEAD':
            lines = [f'{name}: {text}\r\n' for name, text in headers.items()]
            return f'HTTP/1.1 200 OK\r\n{"".join(lines)}Content-Length: 800\r\n\r\n'.encode()
        content = self.content(request, headers)
        return answer(200, content, headers)


def route(name: str, kind: str, service: str, **fields) -> dict:
    """Return a route of the configuration."""
    return {
        'name': name, 'host': HOST, 'path_prefix': f'/{name}/', 'type': kind,
        'timeout_ms': 1000, 'target_latency_ms': 200, 'priority': 2,
        'service': service, 'attempts': 2, 'public': False, **fields,
    }


def configuration(version: int, routes: list, services: list, **tenant) -> dict:
    """Return a configuration with one tenant."""
    return {
        'version': version, 'routes': routes, 'services': services,
        'limits': {'max_header_bytes': 16384, 'max_body_bytes': 4194304,
                   'header_timeout_ms': 3000, 'idle_timeout_ms': 15000},
        'tenants': [{
            'name': 'hule930', 'api_keys': [KEY], 'priority': 1, 'unit': 'tokens',
            'plain_tokens': 200, 'rate_per_s': 0, 'burst': 0, **tenant,
        }],
    }


class Program:
    """A router or an agent, run by the command of the deploy file."""

    def __init__(self, role: str, net: Net, store: Store, folder: pathlib.Path,
                 zone: str = 'lajeado-sede', **fields) -> None:
        self.role = role
        self.ip = net.ip()
        ports = free_ports(self.ip, 20)
        self.frontend = f'{self.ip}:{ports[0]}'
        self.ready = f'{self.ip}:{ports[1]}'
        lines = {
            'node_name': f'{role}-{self.ip}', 'role': role, 'ip': self.ip, 'zone': zone,
            'region': 'taquari', 'machine_class': 'edge', 'serves': 'edge',
            'internal_ports': f'{ports[2]},{ports[2] + 15}', 'bootstrap': 'true',
            'limits.cores': 1, 'limits.memory_mb': 300, 'limits.max_fds': 4100,
            'discovery': 'platform', 'entry': 'vip', 'heartbeat_ms': 1200,
            'contracts': 'base,drain,config,cost,retry,recover,fleet,stream,engine,'
                         'tenants,quota,platform',
            'platform.address': store.address, 'platform.form': 'log',
            'platform.writes_per_s': 400, 'platform.reads_per_s': 2000,
            **{f'bounds.{name}': text for name, text in BOUNDS.items()},
        }
        if role == 'router':
            lines['listen.frontend'] = self.frontend
            lines['listen.ready'] = self.ready
        lines.update(fields)
        self._path = folder / f'{role}-{self.ip}.conf'
        self._path.write_text(''.join(f'{k}={v}\n' for k, v in lines.items()))
        self._log = folder / f'{role}-{self.ip}.log'
        self.process = None

    def start(self) -> None:
        with (ROOT / 'deploy' / 'system.toml').open('rb') as deploy:
            run = tomllib.load(deploy)['roles'][self.role]['run']
        environment = {
            'PATH': os.environ.get('PATH', ''), 'HOME': os.environ.get('HOME', ''),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': 'target/deps', 'LAGOONFLOW_BOOT': str(self._path),
        }
        self.process = subprocess.Popen(
            run.split(), cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=self._log.open('a'), stderr=subprocess.STDOUT,
        )

    def log(self) -> str:
        return self._log.read_text()

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Caller:
    """Sends requests, each on a connection of a small pool."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self._idle: dict[str, list] = {}
        self.answers: dict[str, int] = {}
        # How those without an answer ended, and whether their connection was kept.
        self.endings: dict[str, tuple[str, bool]] = {}

    async def send(self, address: str, path: str, method: str = 'POST',
                   deadline_ms: int = 1000, headers: dict | None = None,
                   body: bytes = b'', note: str = '') -> tuple[int, dict, bytes, str]:
        """Send one request; status 0 means that no answer came."""
        attempt = f'{random.getrandbits(64):016x}'
        sent = {
            'Host': HOST, 'Attempt-Id': attempt, 'Deadline-Ms': deadline_ms,
            'Authorization': f'Token {KEY}', 'Content-Length': len(body),
            **(headers or {}),
        }
        head = f'{method} {path} HTTP/1.1\r\n'
        head += ''.join(f'{name}: {text}\r\n' for name, text in sent.items()) + '\r\n'
        self.record.add('sent', to=address, attempt=attempt, path=path, note=note)
        pair = None
        status, got, content, ending, kept = 0, {}, b'', '', False
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                pair, kept = await self._connect(address)
                pair[1].write(head.encode() + body)
                first, got, content = await read_message(
                    pair[0], is_head=method == 'HEAD')
                status = int(first.split(' ')[1])
        except TimeoutError:
            status, ending = 0, 'nothing came'
        except (OSError, asyncio.IncompleteReadError) as error:
            status, ending = 0, 'not connected' if pair is None else 'closed'
            if isinstance(error, asyncio.IncompleteReadError) and error.partial:
                ending = 'closed within the answer'
        if pair is not None:
            if status and 'close' not in got.get('connection', '').lower():
                self._idle.setdefault(address, []).append(pair)
            else:
                pair[1].transport.abort()
        self.answers[attempt] = status
        self.endings[attempt] = (ending, kept)
        self.record.add('answered', attempt=attempt, status=status,
                        kept_connection=kept, ending=ending.replace(' ', '-'))
        return status, got, content, attempt

    async def _connect(self, address: str):
        idle = self._idle.get(address, [])
        while idle:
            pair = idle.pop()
            if not pair[0].at_eof() and not pair[1].is_closing():
                return pair, True
            pair[1].close()
        ip, port = address.split(':')
        return await asyncio.open_connection(ip, int(port)), False

    def close(self) -> None:
        for pairs in self._idle.values():
            for pair in pairs:
                pair[1].transport.abort()


async def is_ready(program: Program) -> bool:
    """Ask a router's readiness check."""
    ip, port = program.ready.split(':')
    try:
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(b'GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n')
        first, _, _ = await asyncio.wait_for(read_message(reader), 1)
        writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return False
    return ' 200 ' in first


async def wait_until(condition, timeout_s: float = 20) -> None:
    """Wait until an awaitable condition holds.

    :raises TimeoutError: when it doesn't in time.
    """
    end = now() + timeout_s
    while not await condition():
        if now() > end:
            raise TimeoutError('the fleet did not start')
        await asyncio.sleep(0.05)


def run_case(main, folder: pathlib.Path) -> None:
    """Run `main(record, temporary folder, trouble)` and exit by what it returns.

    It returns whether the rule was broken, and ends all that it has started.
    """
    record = Record(folder)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def bounded(temporary: pathlib.Path) -> bool:
        return await asyncio.wait_for(main(record, temporary, trouble), RUN_TIMEOUT_S)

    with tempfile.TemporaryDirectory() as temporary:
        try:
            is_broken = asyncio.run(bounded(pathlib.Path(temporary)))
        except Exception as error:  # the case could not run
            record.add('could not run', why=repr(error))
            print('could not run:', repr(error))
            sys.exit(2)
    record.add('rule broken' if is_broken else 'rule held')
    print('rule broken' if is_broken else 'rule held')
    sys.exit(1 if is_broken else 0)
