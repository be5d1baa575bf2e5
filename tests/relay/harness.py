"""Test harness: a relay with scripted backend servers."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

import h11
import prometheus_client as prometheus

from lagoonflow.backends.choosing import Chooser
from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.messages import BackendServer
from lagoonflow.clock import boottime_ms, wall_clock_ms
from lagoonflow.crashes.evidence import CrashEvidence
from lagoonflow.crashes.guard import CrashGuard
from lagoonflow.crashes.trials import TrialTurns
from lagoonflow.declared.messages import (
    DeclaredState,
    Organisation,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from lagoonflow.declared.view import DeclaredView
from lagoonflow.http1.connection_memory import ProcessMemory
from lagoonflow.http1.request_reader import ServerLimits
from lagoonflow.http1.server import HttpServer
from lagoonflow.platform import headers as codec
from lagoonflow.quotas.fleet_rate_limiter import FleetRateLimiter, Limit
from lagoonflow.relay.admission import Admission
from lagoonflow.relay.call_log import CallLog
from lagoonflow.relay.crash_monitor import CrashMonitor
from lagoonflow.relay.pools import ServerPools
from lagoonflow.relay.sending import Sender
from lagoonflow.relay.serving import CallService
from lagoonflow.resumption.decision import VersionRule
from lagoonflow.resumption.origins import StreamOrigins
from lagoonflow.resumption.versions import VersionHistory
from lagoonflow.retries.budget import RetryBudgets
from tests.waking.builders import spec

SERVICE = 'app'
KEY = 'key-1'
ORGANISATION = Organisation(
    'water', frozenset([KEY]), rate_tokens_per_s=10_000, burst_tokens=50_000
)


def route(kind: RouteKind, prefix: str, **overrides) -> Route:
    fields = {
        'name': prefix,
        'host': 'h',
        'path_prefix': prefix,
        'kind': kind,
        'timeout_ms': 1500,
        'target_latency_ms': 200,
        'urgency': 1,
        'most_sends': 2,
        'shares': (ServiceShare(SERVICE, 1),),
    }
    return Route(**{**fields, **overrides})


ROUTES = (
    route(RouteKind.IDEMPOTENT, '/read/'),
    route(RouteKind.AT_MOST_ONCE, '/book/'),
    route(RouteKind.STREAM, '/once/'),
    route(RouteKind.STREAM, '/resume/', is_resumable=True),
    route(RouteKind.IDEMPOTENT, '/open/', is_public=True),
    route(RouteKind.IDEMPOTENT, '/sound/', shares=(ServiceShare('other', 1),)),
)


def state(version: int = 1, **changes) -> DeclaredState:
    declared = DeclaredState(
        version,
        ROUTES,
        {name: Service(name, 50) for name in (SERVICE, 'other')},
        (ORGANISATION,),
    )
    return dataclasses.replace(declared, **changes)


@dataclasses.dataclass(slots=True)
class ReceivedRequest:
    """A request as a backend server received it.

    :param arrived_ms: boot time at which its head had arrived.
    """

    target: str
    headers: dict[str, str]
    body: bytes
    arrived_ms: float = 0


Script = Callable[
    [asyncio.StreamWriter, ReceivedRequest], Awaitable[bool | None]
]


class Backend:
    """A backend server that runs a script for each request.

    The script returns ``False`` to close the connection.
    """

    def __init__(self, script: Script) -> None:
        self.requests: list[ReceivedRequest] = []
        self.connections = 0
        self.script = script
        self.has_request = asyncio.Event()
        self.closed_by_peer = asyncio.Event()

    async def start(self, name: str, service: str) -> BackendServer:
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        return BackendServer(
            name, service, f'127.0.0.1:{port}', 'z', 8, started_ms=1
        )

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        try:
            while True:
                received = await _read(reader)
                self.requests.append(received)
                self.has_request.set()
                if await self.script(writer, received) is False:
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_by_peer.set()
            writer.close()


async def _read(reader) -> ReceivedRequest:
    raw = (await reader.readuntil(b'\r\n\r\n')).decode()
    arrived_ms = boottime_ms()
    first, *lines = raw.strip().split('\r\n')
    headers = dict(line.lower().split(': ', 1) for line in lines)
    length = int(headers.get('content-length', 0))
    body = await reader.readexactly(length)
    return ReceivedRequest(first.split(' ')[1], headers, body, arrived_ms)


def answer_with(status: str, body: str, *headers: str) -> Script:
    """Return a script that answers with a sealed body."""
    lines = ''.join(f'{line}\r\n' for line in headers)

    async def script(writer, received) -> None:
        writer.write(
            f'HTTP/1.1 {status}\r\nServer-Seal: s\r\n'
            f'Attempt-Id: {received.headers.get("attempt-id", "")}\r\n'
            f'{lines}Content-Length: {len(body)}\r\n\r\n{body}'.encode()
        )

    return script


def answer_raw(content: bytes, *, ends: bool = False) -> Script:
    """Return a script that sends bytes as they are.

    :param ends: whether the connection is closed after them.
    """

    async def script(writer, _received) -> bool:
        writer.write(content)
        await writer.drain()
        return not ends

    return script


async def never_answer(_writer, _received) -> None:
    """Leave a request without an answer; a script."""
    await asyncio.sleep(5)


async def drop_connection(_writer, _received) -> bool:
    """Close the connection without an answer; a script."""
    return False


REJECTION = answer_raw(
    b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)


def answer_events(first: int, last: int, *, ends: bool = True) -> Script:
    """Return a script that streams numbered events.

    :param ends: whether the stream is complete; else it breaks off inside an
        event.
    """

    async def script(writer, _received) -> bool:
        writer.write(
            b'HTTP/1.1 200 OK\r\nServer-Seal: s\r\n'
            b'Content-Type: text/event-stream\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        for number in range(first, last + 1):
            piece = f'id: {number}\ndata: x{number}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(piece), piece))
        if ends:
            writer.write(b'0\r\n\r\n')
        else:
            writer.write(b'5\r\nid: 9\r\n')
        await writer.drain()
        return ends

    return script


class RelayHarness:
    """A relay behind an HTTP server, with its backend servers.

    :param memory: bounds what the relay holds; ``None`` for no bound.
    """

    def __init__(self, memory: ProcessMemory | None = None) -> None:
        now_ms = boottime_ms()
        self.view = DeclaredView()
        self.view.apply(state())
        self.view.confirm(now_ms)
        self.fleet = Fleet()
        self.rate_limiter = FleetRateLimiter(now_ms - 60_000)
        limit = Limit(10_000, 50_000)
        self.rate_limiter.set_limits({ORGANISATION.name: limit}, now_ms)
        self.origins = StreamOrigins()
        self.versions = VersionHistory()
        rule = VersionRule(self.origins, self.versions)
        self.crashes = CrashEvidence()
        guard = CrashGuard(
            self.crashes, TrialTurns('router', tuple, wall_clock_ms())
        )
        admission = Admission(self.view, self.rate_limiter, 5000, rule, guard)
        self.sender = Sender(
            self.fleet,
            admission,
            codec,
            lambda origin: self.origins.record(origin, boottime_ms()),
            CrashMonitor(self.fleet, self.crashes),
            ServerPools(self.fleet, is_memory_bounded=memory is not None),
        )
        self.budgets = RetryBudgets(0.2, 50, 10_000)
        self.calls = CallService(
            self.view,
            self.fleet,
            Chooser(self.fleet, 'z'),
            admission,
            self.sender,
            codec,
            CallLog(prometheus.CollectorRegistry()),
            self.budgets,
        )
        self.http = HttpServer(
            self.calls.handle,
            self.calls.refuse_unreadable,
            ServerLimits,
            memory,
        )

    async def add_backends(
        self,
        *scripts: Script,
        service: str = SERVICE,
        software_versions: tuple[str, ...] = (),
    ) -> list[Backend]:
        """Start one backend server per script; the first is chosen first.

        :param software_versions: versions of the servers, in order.
        """
        backends = [Backend(script) for script in scripts]
        versions = software_versions or ('v1',) * len(backends)
        for index, backend in enumerate(backends):
            name = f'other-{index}' if service == 'other' else f'i-{index}'
            server = await backend.start(name, service)
            server = dataclasses.replace(
                server, software_version=versions[index]
            )
            self.fleet.roster.put(server, boottime_ms())
        return backends

    async def connect(self):
        await self.http.listen('127.0.0.1:0')
        return await self.open_connection()

    async def open_connection(self):
        """Connect to the relay, which listens already."""
        port = self.http._server.sockets[0].getsockname()[1]
        return await asyncio.open_connection('127.0.0.1', port)

    async def send_request(self, path: str, *headers: str, body: str = ''):
        """Send one request and return the status, headers and body."""
        reader, writer = await self.connect()
        writer.write(encode_request(path, *headers, body=body))
        return await read_answer(reader)


def runner_harness(*servers):
    """Return a relay with runners whose agents have sent no state yet."""
    harness = RelayHarness()
    engine = Service('llm', 50, spec())
    hot = route(RouteKind.STREAM, '/hot/', shares=(ServiceShare('llm', 1),))
    harness.view.apply(state(2, routes=(hot,), services={'llm': engine}))
    for server in servers:
        harness.fleet.roster.put(server, boottime_ms())
    return harness


def encode_request(path: str, *headers: str, body: str = '') -> bytes:
    lines = ''.join(f'{line}\r\n' for line in headers)
    return (
        f'POST {path} HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\n'
        f'Authorization: Token {KEY}\r\n{lines}'
        f'Content-Length: {len(body)}\r\n\r\n{body}'
    ).encode()


@dataclasses.dataclass(frozen=True, slots=True)
class FramedAnswer:
    """An answer as an HTTP client decodes it.

    :param is_complete: whether the body's framing says that it has ended.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    is_complete: bool


async def read_framed_answer(reader) -> FramedAnswer:
    """Read one answer up to its end, or until the connection breaks."""
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method='GET', target='/', headers=[('Host', 'h')]))
    client.send(h11.EndOfMessage())
    status = 0
    headers: dict[bytes, bytes] = {}
    body = b''
    while True:
        try:
            event = client.next_event()
            if event is h11.NEED_DATA:
                part = await asyncio.wait_for(reader.read(1000), 4)
                client.receive_data(part)
        except (ConnectionError, h11.RemoteProtocolError):
            return FramedAnswer(status, headers, body, is_complete=False)
        if isinstance(event, h11.Response):
            status, headers = event.status_code, dict(event.headers)
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return FramedAnswer(status, headers, body, is_complete=True)


async def read_answer(reader):
    head = (await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 4)).decode()
    first, *lines = head.strip().split('\r\n')
    headers = dict(line.lower().split(': ', 1) for line in lines)
    status = int(first.split(' ')[1])
    if 'content-length' in headers:
        length = int(headers['content-length'])
        return status, headers, await reader.readexactly(length)
    try:
        content = b''
        while part := await asyncio.wait_for(reader.read(1000), 4):
            content += part
            if content.endswith(b'0\r\n\r\n'):
                break
    except ConnectionError:
        pass
    return status, headers, content
