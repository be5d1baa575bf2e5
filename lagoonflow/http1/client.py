"""HTTP/1.1 client connections, pooled and reused between requests."""

import asyncio
import collections
import dataclasses
import errno
import re
import socket
from collections.abc import Awaitable, Callable

import h11

from lagoonflow.cancellations import is_cancelled
from lagoonflow.clock import MS_PER_S, boottime_ms
from lagoonflow.http1.arrived_input import ArrivedInput
from lagoonflow.http1.body_memory import MEMORY, reserve_part
from lagoonflow.http1.body_parts import Body, LongBody
from lagoonflow.http1.channel import (
    Channel,
    ConnectionClosedError,
    is_writable,
)
from lagoonflow.http1.descriptors import Descriptors, NoDescriptorError
from lagoonflow.http1.messages import (
    ExchangeError,
    ExchangeStage,
    Headers,
    RequestHead,
    ResponseHead,
    response_framing,
)
from lagoonflow.http1.socket_options import limit_kernel_buffers
from lagoonflow.time_limits import TimeLimit, time_limit

# Longest head of a response. The limit for heads of callers' requests is a
# setting of the server.
MAX_HEAD_BYTES = 65_536
# Longest body of a response to a request of this program's own.
MAX_CONTENT_BYTES = 4_194_304
# Informational responses (status 1xx) before a response.
MAX_INFORMATIONAL_RESPONSES = 16
# Responses that belong to no request, before the expected one.
MAX_SKIPPED_RESPONSES = 8
MAX_SKIPPED_BYTES = 1_048_576
# Part of the announced keep-alive time that is left unused: the server times
# out idle connections by its own clock, so a request sent just before the end
# could reach the server after it has closed the connection.
IDLE_MARGIN_MS = 700
# Longest idle time before reuse when the server announces no timeout.
DEFAULT_IDLE_LIMIT_MS = 4000
# Longest idle time of a connection that has carried no request yet.
UNUSED_IDLE_LIMIT_MS = 1000
# The kernel drops a connection when sent bytes stay unacknowledged this long.
TCP_USER_TIMEOUT_MS = 3000
# A connection on which more requests than this were refused isn't reused, which
# bounds the ids to remember.
MAX_REFUSED_IDS = 256
# Idle connections to one server that are kept at most.
MAX_IDLE = 32
# Wait for a descriptor after an idle connection was closed, in ms.
DESCRIPTOR_WAIT_MS = 2
NO_DESCRIPTOR = frozenset((errno.EMFILE, errno.ENFILE))
# Longer numbers are cut off: Python refuses to convert very long ones.
KEEP_ALIVE_TIMEOUT = re.compile(rb'timeout=(\d{1,9})')

_RESPONSE_ENDED = frozenset((h11.DONE, h11.MUST_CLOSE, h11.CLOSED))
# Hosts and ports that can't be connected to raise the second and the third.
_CONNECT_ERRORS = (OSError, ValueError, OverflowError, ConnectionClosedError)


@dataclasses.dataclass(frozen=True, slots=True)
class WholeResponse:
    """A response with its whole body."""

    status: int
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Transfer:
    """How the body of a response is read.

    :param max_pause_ms: longest time between two parts of it, in ms.
    :param on_part: called with the head, and with all of the body that was read
        so far, when the head and when a part has arrived. What it raises ends
        the exchange.
    """

    max_pause_ms: float
    on_part: Callable[[ResponseHead, bytearray], None]


class ClientConnection:
    """A connection and its current exchange of request and response.

    :ivar has_stated_ids: the server has stated the id of a request in an
        answer on this connection.
    :ivar refused_ids: ids of the requests that were refused on it as not run.
    :ivar body_bytes: bytes of the current response's body that have arrived.
    """

    def __init__(self, channel: Channel) -> None:
        """Wrap a connected channel."""
        self.has_stated_ids = False
        self.refused_ids: set[str] = set()
        self.body_bytes = 0
        self._sent_requests = 0
        self.channel = channel
        self.idle_until_ms: float = 0
        self._is_exchange_complete = False
        self._closes_after_response = False
        self._idle_limit_ms = DEFAULT_IDLE_LIMIT_MS
        self._sent_request: list[h11.Request] = []

    @property
    def is_usable(self) -> bool:
        """Whether the idle connection may carry another request."""
        channel = self.channel
        is_quiet = not channel.has_peer_closed and not channel.unread_bytes
        return (
            channel.is_open and is_quiet and boottime_ms() < self.idle_until_ms
        )

    @property
    def is_reused(self) -> bool:
        """Whether more than one request was sent on the connection."""
        return self._sent_requests > 1

    async def send(self, head: RequestHead, body: Body) -> None:
        """Send a whole request.

        :raises ExchangeError: at stage ``SENT``, because a part of the
            request may have been sent.
        """
        self._sent_requests += 1
        self.body_bytes = 0
        request = h11.Request(
            method=head.method,
            target=head.target,
            headers=list(head.headers),
        )
        try:
            await self._send_events(request, body)
        except ConnectionClosedError as error:
            raise ExchangeError(ExchangeStage.SENT, str(error)) from error

    async def read_head(
        self,
        is_expected: Callable[[ResponseHead], bool] | None = None,
    ) -> ResponseHead:
        """Return the head of the response, skipping other responses.

        :param is_expected: tells whether a response belongs to the request;
            without it the first one does.
        :raises ExchangeError: at stage ``SENT``, when the connection ends
            before the head.
        """
        try:
            for _ in range(MAX_SKIPPED_RESPONSES + 1):
                head = await self._next_head()
                if is_expected is None or is_expected(head):
                    self._apply_connection_headers(head)
                    return head
                await self._skip_response()
            raise ConnectionClosedError('too many unexpected responses')
        except ConnectionClosedError as error:
            raise ExchangeError(ExchangeStage.SENT, str(error)) from error

    async def read_part(self) -> bytes | None:
        """Return the next part of the body, ``None`` after the last one.

        :raises ExchangeError: at stage ``ANSWERING``, when the body is cut
            off.
        """
        try:
            event = await self.channel.next_event()
        except ConnectionClosedError as error:
            raise ExchangeError(ExchangeStage.ANSWERING, str(error)) from error
        if isinstance(event, h11.Data):
            self.body_bytes += len(event.data)
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._finish()
            return None
        raise ExchangeError(
            ExchangeStage.ANSWERING, 'connection closed by the server'
        )

    async def read_body(
        self,
        max_body_bytes: int,
        wait_for_room: Callable[[int], Awaitable[None]] | None = None,
        observe: Callable[[bytearray], None] | None = None,
    ) -> bytes:
        """Return the whole body.

        :param max_body_bytes: longest accepted body, in bytes.
        :param wait_for_room: waits until more may be read, after a number of
            bytes that were read.
        :param observe: called after each part with all that was read.
        :raises ExchangeError: at stage ``ANSWERING``, when the body is cut
            off or too long.
        """
        pieces = bytearray()
        taken_bytes = 0
        try:
            part = await self.read_part()
            while part is not None:
                body_bytes = len(pieces) + len(part)
                taken_bytes += _take_memory(
                    body_bytes, len(part), max_body_bytes
                )
                pieces += part
                if observe is not None:
                    observe(pieces)
                if wait_for_room is not None:
                    await wait_for_room(len(pieces))
                part = await self.read_part()
            return bytes(pieces)
        finally:
            MEMORY.give_back(taken_bytes)

    @property
    def has_whole_response(self) -> bool:
        """Whether the response to the last request has been read."""
        return self.channel.http.their_state in _RESPONSE_ENDED

    @property
    def is_reusable(self) -> bool:
        """Whether the exchange is complete and another may follow."""
        return self._is_exchange_complete and self.is_usable

    def close(self) -> None:
        """Close the connection with a TCP reset."""
        self.channel.reset()

    async def _send_events(self, request: h11.Request, body: Body) -> None:
        self._is_exchange_complete = False
        self._sent_request = [request]
        if isinstance(body, LongBody):
            await self._send_long(request, body)
            return
        events: list[h11.Event] = [request]
        if body:
            events.append(h11.Data(data=body))
        await self.channel.send(*events, h11.EndOfMessage())

    async def _send_long(self, request: h11.Request, body: LongBody) -> None:
        """Write each part once there is room: a write buffer copies it."""
        self.channel.write(request)
        for part in body:
            if not is_writable(self.channel):
                return  # The server may have answered before it closed.
            await self.channel.send(h11.Data(data=part))
        if is_writable(self.channel):
            self.channel.write(h11.EndOfMessage())

    async def _next_head(self) -> ResponseHead:
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self.channel.next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise ConnectionClosedError('no response was received')
            headers = tuple(event.headers.raw_items())
            method = self._sent_request[0].method
            return ResponseHead(
                event.status_code,
                event.reason,
                headers,
                response_framing(method, event.status_code, headers),
            )
        raise ConnectionClosedError('too many informational responses')

    async def _skip_response(self) -> None:
        """Skip a response that belongs to an earlier request."""
        event = await self.channel.next_event()
        skipped_bytes = 0
        while isinstance(event, h11.Data):
            skipped_bytes += len(event.data)
            if skipped_bytes > MAX_SKIPPED_BYTES:
                raise ConnectionClosedError('unexpected response is too long')
            event = await self.channel.next_event()
        if not isinstance(event, h11.EndOfMessage):
            raise ConnectionClosedError('no response was received')
        rest, has_ended = self.channel.http.trailing_data
        if has_ended:
            raise ConnectionClosedError('connection closed by the server')
        # h11 accepts one response per request. To read the next one, use a
        # new state machine and pass it the request again; the bytes that it
        # returns are not sent, because the server has the request already.
        next_state = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        next_state.send(self._sent_request[0])
        if next_state.our_state is h11.SEND_BODY:
            length = _content_length(self._sent_request[0])
            if length:
                next_state.send(h11.Data(data=bytes(length)))
            next_state.send(h11.EndOfMessage())
        if rest:
            next_state.receive_data(rest)
        self.channel.http = next_state

    def _apply_connection_headers(self, head: ResponseHead) -> None:
        limit_ms = DEFAULT_IDLE_LIMIT_MS
        timeout_option = KEEP_ALIVE_TIMEOUT.search(
            head.get(b'keep-alive') or b''
        )
        if timeout_option:
            limit_ms = int(timeout_option.group(1)) * MS_PER_S - IDLE_MARGIN_MS
        self._idle_limit_ms = limit_ms
        options = (head.get(b'connection') or b'').lower()
        self._closes_after_response = b'close' in options

    def _finish(self) -> None:
        http = self.channel.http
        rest, has_ended = http.trailing_data
        is_done = http.our_state is h11.DONE and http.their_state is h11.DONE
        if self._closes_after_response or not is_done or rest or has_ended:
            return
        http.start_next_cycle()
        self.channel.unread_bytes = 0
        self.idle_until_ms = boottime_ms() + self._idle_limit_ms
        self._is_exchange_complete = True


def unlimited() -> float:
    """Return a limit that no number reaches."""
    return float('inf')


class ConnectionPool:
    """Keeps idle connections to one server."""

    def __init__(
        self,
        address: str,
        max_connections: Callable[[], float] = unlimited,
        *,
        is_bounded: bool = False,
        descriptors: Descriptors | None = None,
    ) -> None:
        """Create an empty pool; connections are opened on demand.

        :param address: ``IP:port`` of the server.
        :param max_connections: returns how many connections there may be with
            those in use; no more idle ones are kept.
        :param is_bounded: keep the kernel's buffers of the connections small.
        :param descriptors: tells when connections are too many; without it the
            pool may take the last descriptor.
        """
        self._descriptors = descriptors or Descriptors()
        self._is_bounded = is_bounded
        self.address = address
        self._max_connections = max_connections
        self._in_use: set[ClientConnection] = set()
        self._is_closed = False
        self._idle: collections.deque[ClientConnection] = collections.deque()

    def take_idle(self, request_id: str = '') -> ClientConnection | None:
        """Return the most recently used idle connection, if one is usable.

        :param request_id: id of the request to be sent. Connections on which
            it was refused before are closed: the refusal may be repeated.
        """
        while self._idle:
            connection = self._idle.pop()
            has_refused = request_id in connection.refused_ids
            if connection.is_usable and not has_refused:
                connection.channel.is_idle = False
                self._in_use.add(connection)
                return connection
            connection.close()
        return None

    async def connect(self, timeout_ms: float) -> ClientConnection:
        """Open a new connection.

        :param timeout_ms: time limit, in ms.
        :raises NoDescriptorError: when this process has too many connections.
        :raises ExchangeError: at stage ``CONNECTING``.
        """
        try:
            async with time_limit(timeout_ms):
                transport, channel = await self._open()
        except TimeoutError as error:
            reason = 'connection not established in time'
            raise ExchangeError(ExchangeStage.CONNECTING, reason) from error
        except asyncio.CancelledError as error:
            if is_cancelled():
                raise
            reason = 'the attempt to connect was cancelled'
            raise ExchangeError(ExchangeStage.CONNECTING, reason) from error
        _set_tcp_options(transport)
        if self._is_bounded:
            limit_kernel_buffers(transport)
        connection = ClientConnection(channel)
        self._in_use.add(connection)
        return connection

    @property
    def connection_count(self) -> int:
        """Number of connections, idle and in use."""
        return len(self._idle) + len(self._in_use)

    def has_idle(self, request_id: str = '') -> bool:
        """Return whether an idle connection may carry a request."""
        return any(
            one.is_usable and request_id not in one.refused_ids
            for one in self._idle
        )

    async def open_idle(self, timeout_ms: float) -> None:
        """Open a connection that the next request uses.

        :param timeout_ms: time limit, in ms.
        :raises ExchangeError: at stage ``CONNECTING``.
        """
        self.keep_unused(await self.connect(timeout_ms))

    def keep_unused(self, connection: ClientConnection) -> None:
        """Keep a new connection, which the next request uses."""
        self._in_use.discard(connection)
        if self._is_closed:
            connection.close()
            return
        connection.idle_until_ms = boottime_ms() + UNUSED_IDLE_LIMIT_MS
        connection.channel.is_idle = True
        self._idle.append(connection)

    def release(self, connection: ClientConnection) -> None:
        """Keep a reusable connection if there is room, else close it."""
        self._in_use.discard(connection)
        is_kept = (
            not self._is_closed
            and connection.is_reusable
            and len(connection.refused_ids) <= MAX_REFUSED_IDS
        )
        if is_kept:
            connection.channel.is_idle = True
            self._idle.append(connection)
        else:
            connection.close()
        self._close_surplus()

    def discard(self, connection: ClientConnection) -> None:
        """Close a connection that isn't to be used again."""
        self._in_use.discard(connection)
        if connection.has_whole_response:
            connection.channel.close()
        else:
            connection.close()

    def close(self) -> None:
        """Close all idle connections, and keep none from now on."""
        self._is_closed = True
        while self._idle:
            self._idle.pop().close()

    async def _open(self) -> tuple[asyncio.Transport, Channel]:
        """Connect; if descriptors are short, close idle callers' connections."""
        while True:
            try:
                return await self._open_once()
            except NoDescriptorError:
                if not self._descriptors.free_one():
                    raise
            # The connection is closed within the next rounds of the event loop.
            await asyncio.sleep(DESCRIPTOR_WAIT_MS / MS_PER_S)

    async def _open_once(self) -> tuple[asyncio.Transport, Channel]:
        if not self._descriptors.has_one_for_servers():
            raise NoDescriptorError
        host, _, port = self.address.rpartition(':')
        host = host.strip('[]')
        loop = asyncio.get_running_loop()
        try:
            return await loop.create_connection(
                _client_channel, host, int(port)
            )
        except _CONNECT_ERRORS as error:
            if getattr(error, 'errno', None) in NO_DESCRIPTOR:
                raise NoDescriptorError from error
            raise ExchangeError(ExchangeStage.CONNECTING, str(error)) from error

    def _close_surplus(self) -> None:
        """Close idle connections, the longest idle first, beyond the limits."""
        max_idle = min(MAX_IDLE, self._max_connections() - len(self._in_use))
        while self._idle and len(self._idle) > max_idle:
            self._idle.popleft().close()


async def send_request(
    pool: ConnectionPool,
    head: RequestHead,
    body: bytes,
    timeout_ms: float,
    max_body_bytes: int = MAX_CONTENT_BYTES,
    transfer: Transfer | None = None,
) -> WholeResponse:
    """Send one request and read the whole response.

    :param timeout_ms: time limit of the whole exchange, in ms; with a
        ``transfer``, of the exchange until the response has begun.
    :param max_body_bytes: longest accepted body, in bytes.
    :param transfer: how the body is to be read.
    :raises ExchangeError: when no whole response arrived.
    """
    connection = pool.take_idle()
    stage = ExchangeStage.SENT if connection else ExchangeStage.CONNECTING
    arrived = ArrivedInput()
    try:
        async with time_limit(
            timeout_ms, before_end=arrived.extension_ms
        ) as limit:
            if connection is None:
                connection = await pool.connect(timeout_ms)
                stage = ExchangeStage.SENT
            arrived.channel = connection.channel
            await connection.send(head, body)
            response = await connection.read_head()
            observe = None
            if transfer is not None:
                observe = _follow(transfer, response, limit)
                observe(bytearray())
            content = await connection.read_body(
                max_body_bytes, observe=observe
            )
    except TimeoutError as error:
        body_bytes = 0 if connection is None else connection.body_bytes
        raise ExchangeError(
            stage, f'no response in time, {body_bytes} bytes of it arrived'
        ) from error
    finally:
        if connection is not None:
            pool.release(connection)
    return WholeResponse(response.status, response.headers, content)


def _follow(
    transfer: Transfer, head: ResponseHead, limit: TimeLimit
) -> Callable[[bytearray], None]:
    """Return a function that is called with the body as it arrives.

    It extends the time limit, since a long body may take any time as long as
    its parts go on arriving.
    """
    loop = asyncio.get_running_loop()

    def observe(body: bytearray) -> None:
        limit.reschedule(loop.time() + transfer.max_pause_ms / MS_PER_S)
        transfer.on_part(head, body)

    return observe


def _client_channel() -> Channel:
    return Channel(h11.CLIENT, MAX_HEAD_BYTES)


def _take_memory(body_bytes: int, part_bytes: int, max_body_bytes: int) -> int:
    """Reserve memory for a part of a body; return how much was reserved."""
    if body_bytes > max_body_bytes:
        raise ExchangeError(
            ExchangeStage.ANSWERING, 'response body is too long'
        )
    return reserve_part(body_bytes, part_bytes)


def _set_tcp_options(transport: asyncio.Transport) -> None:
    """Send small writes at once, and detect peers that stop responding."""
    raw = transport.get_extra_info('socket')
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )


def _content_length(request: h11.Request) -> int:
    for name, text in request.headers:
        if name == b'content-length':
            return int(text)
    return 0
