"""HTTP/1.1 server for callers; handles one request per connection at a time."""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable

import h11
import structlog

from lagoonflow.clock import MS_PER_S, boottime_ms
from lagoonflow.http1.callers import Caller
from lagoonflow.http1.channel import (
    Channel,
    ConnectionClosedError,
    arrives_in_time,
    discard_until_closed,
    has_input,
    unsent_bytes,
    write_raw,
)
from lagoonflow.http1.connection_memory import (
    ConnectionMemory,
    ProcessMemory,
)
from lagoonflow.http1.handler_run import HandlerRun
from lagoonflow.http1.listening import LAST_REQUESTS_MS, stop_listening
from lagoonflow.http1.messages import (
    LENGTH_HEADER,
    STATUSES_WITHOUT_BODY,
    BodyFraming,
    Headers,
    find_header,
    remove_headers,
)
from lagoonflow.http1.request_bodies import RequestBodies
from lagoonflow.http1.request_reader import (
    BadRequestError,
    CallerRequest,
    RequestReader,
    ServerLimits,
)
from lagoonflow.time_limits import time_limit

LISTEN_BACKLOG = 1024
# Interval at which a caller that hasn't taken its answer yet is looked at, in ms.
TAKEN_CHECK_MS = 50
_LOG = structlog.get_logger(part='http')
# A connection that is closed after an answer stays open as long as its caller goes
# on sending with pauses shorter than this, in ms.
LINGER_MS = 500
CLOSE_HEADER = ((b'connection', b'close'),)
NO_CONTENT_STATUS = 204
PLAIN_ERROR = (
    b'HTTP/1.1 500 Internal Server Error\r\n'
    b'Content-Length: 0\r\n'
    b'Connection: close\r\n\r\n'
)


class ResponseWriter:
    """Writes the response to one request.

    Methods raise ``ConnectionClosedError`` after the connection is closed.
    Bodies are left out of responses that have none by the protocol.

    :ivar caller: the caller who gets it.
    :ivar started_at_ms: boot time at which a part of it was first sent.
    :ivar announces_close: whether the head says that the connection is closed
        after the response.
    :ivar ends_with_connection: whether only the end of the connection tells
        where the body ends.
    """

    def __init__(
        self,
        channel: Channel,
        *,
        closes: Callable[[], bool],
        method: Callable[[], bytes],
        memory: ConnectionMemory | None = None,
    ) -> None:
        """Create a writer that has sent nothing.

        :param method: returns the method of the request; empty if it could not
            be read.
        :param closes: asked when the head is sent; whether the head announces
            that the connection is closed after the response.
        :param memory: bounds what is written and not yet taken; without it
            each method waits until the caller has taken most of it.
        """
        self._memory = memory
        self.caller = Caller(channel)
        self.started_at_ms: float | None = None
        self.is_complete = False
        self.ends_with_connection = False
        self.announces_close = False
        self._channel = channel
        self._closes = closes
        self._method = method
        self._omits_body = False

    @property
    def has_started(self) -> bool:
        """Whether sending the response has begun."""
        return self.started_at_ms is not None

    @property
    def is_caller_cut(self) -> bool:
        """Whether the caller was disconnected for taking nothing."""
        return self._memory is not None and self._memory.is_cut

    def has_room(self, unsent_bytes: int) -> bool:
        """Return whether more of the answer may be read now.

        :param unsent_bytes: bytes of it that were read but not sent yet.
        """
        return self._memory is None or self._memory.has_room(unsent_bytes)

    async def wait_for_room(
        self, unsent_bytes: int, *, is_whole: bool = False
    ) -> None:
        """Wait until more of the answer may be read.

        :param is_whole: the answer is sent only once it is whole.
        """
        if self._memory is not None:
            await self._memory.wait_for_room(unsent_bytes, is_whole=is_whole)

    async def start(
        self,
        status: int,
        reason: bytes,
        headers: Headers,
        framing: BodyFraming = BodyFraming.CHUNKED,
    ) -> None:
        """Send the head of the response.

        :param framing: with ``UNTIL_CLOSE`` the body ends with the connection.
        """
        if framing is BodyFraming.UNTIL_CLOSE:
            self._omit_framing()
        await self._send(self._head(status, reason, headers))

    async def send_part(self, data: bytes) -> None:
        """Send a part of the body."""
        if data and not self._omits_body:
            await self._send(h11.Data(data=data))

    async def end(self) -> None:
        """Send the end of the body."""
        self._write(h11.EndOfMessage())
        self.is_complete = True

    async def send_whole(
        self,
        status: int,
        reason: bytes,
        headers: Headers,
        body: bytes,
        framing: BodyFraming = BodyFraming.LENGTH,
    ) -> None:
        """Send a response with its whole body.

        :param headers: a ``Content-Length`` among them is used only if the
            protocol leaves out the body.
        :param framing: with ``UNTIL_CLOSE`` the body ends with the connection.
        """
        if framing is BodyFraming.UNTIL_CLOSE:
            headers = tuple(remove_headers(headers, LENGTH_HEADER))
            self._omit_framing()
        elif body or not self._leaves_out_body(status):
            length = (b'content-length', str(len(body)).encode())
            headers = (*remove_headers(headers, LENGTH_HEADER), length)
        events: list[h11.Event] = [self._head(status, reason, headers)]
        if body and not self._omits_body:
            events.append(h11.Data(data=body))
        self._write(*events, h11.EndOfMessage())
        self.is_complete = True

    def send_plain_error(self) -> None:
        """Send a status 500 without a body, bypassing ``h11``.

        It replaces a response that can't be encoded, before any part of one
        was sent; the connection must be closed after it.
        """
        write_raw(self._channel, PLAIN_ERROR)
        self.started_at_ms = boottime_ms()
        self.is_complete = True

    async def _send(self, *events: h11.Event) -> None:
        self._write(*events)
        if self._memory is None:
            # Waits for room in the write buffer.
            await self._channel.send()

    def _write(self, *events: h11.Event) -> None:
        self._channel.write(*events)
        if self.started_at_ms is None:
            self.started_at_ms = boottime_ms()
        if self._memory is not None:
            self._memory.note_written()

    def _omit_framing(self) -> None:
        # h11 leaves out the framing only for callers that speak HTTP/1.0.
        self._channel.http.their_http_version = b'1.0'

    def _leaves_out_body(self, status: int) -> bool:
        return self._method() == b'HEAD' or status in STATUSES_WITHOUT_BODY

    def _head(
        self, status: int, reason: bytes, headers: Headers
    ) -> h11.Response:
        self._omits_body = self._leaves_out_body(status)
        if status == NO_CONTENT_STATUS:
            headers = tuple(remove_headers(headers, LENGTH_HEADER))
        has_length = find_header(headers, b'content-length') is not None
        is_end_marked = has_length or self._omits_body
        version = self._channel.http.their_http_version or b''
        self.ends_with_connection = not is_end_marked and version < b'1.1'
        self.announces_close = self._closes()
        extra = CLOSE_HEADER if self.announces_close else ()
        return h11.Response(
            status_code=status, reason=reason, headers=[*headers, *extra]
        )


Handler = Callable[[CallerRequest, ResponseWriter], Awaitable[None]]
Refuse = Callable[[ResponseWriter, int, str], Awaitable[None]]


class HttpServer:
    """Accepts connections and runs a handler for each request.

    :param handler: answers a request; cancelled when the caller sends no more,
        as that is all that shows of one that has left. It may then still send
        a whole response, for a caller that has closed only its sending side.
    :param refuse: answers a request that is malformed or breaks a limit.
    :param limits: returns the limits in force.
    :param memory: bounds the bytes that are held for callers; without it
        answers are read at the pace of their callers.
    :param bodies: bounds the bodies of requests; with the default bound if
        left out.
    :ivar unanswered_closes: number of connections that were closed with a
        request that had arrived, at least in part, and got no answer.
    """

    def __init__(
        self,
        handler: Handler,
        refuse: Refuse,
        limits: Callable[[], ServerLimits],
        memory: ProcessMemory | None = None,
        bodies: RequestBodies | None = None,
    ) -> None:
        """Create the server; ``listen`` binds it to an address."""
        self.memory = memory
        self.bodies = bodies or RequestBodies()
        self.is_stopping = False
        self.is_accepting = True
        self.unanswered_closes = 0
        self._handler = handler
        self._refuse = refuse
        self._limits = limits
        self._server: asyncio.Server | None = None
        self._listener: socket.socket | None = None
        self._connections: set[_CallerConnection] = set()

    async def listen(self, address: str) -> None:
        """Bind an ``IP:port``.

        :raises OSError: when the address can't be used.
        """
        host, _, port = address.rpartition(':')
        self._listener = socket.create_server((host, int(port)))
        self._listener.setblocking(False)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, sock=self._listener, backlog=LISTEN_BACKLOG
        )

    async def stop_accepting(self) -> None:
        """Close the listening socket and all idle connections.

        Requests that were sent before are served, also those of connections
        that only the kernel has accepted.
        """
        self.is_stopping = True
        self.is_accepting = False
        if self._server is not None:
            await stop_listening(self._server, self._listener, self._accept)
        for connection in list(self._connections):
            connection.close_if_idle()

    def refuse_unread(self) -> None:
        """Refuse the requests that are still being read, as time is up."""
        for connection in list(self._connections):
            connection.stop_reading()

    async def wait_until_closed(self, timeout_ms: float) -> None:
        """Wait until all connections have ended.

        :param timeout_ms: longest time to wait, in ms.
        """
        tasks = {one.task for one in self._connections if one.task is not None}
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_ms / MS_PER_S)

    @property
    def busy_connection_count(self) -> int:
        """Number of connections whose request is being read or handled."""
        return sum(connection.is_busy for connection in self._connections)

    @property
    def open_connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def handle(
        self, request: CallerRequest, reply: ResponseWriter
    ) -> None:
        """Answer a request."""
        await self._handler(request, reply)

    async def refuse(
        self, reply: ResponseWriter, status: int, reason: str
    ) -> None:
        """Answer a request that is malformed or breaks a limit."""
        await self._refuse(reply, status, reason)

    def note_unanswered(self, channel: Channel) -> None:
        """Count a connection that closes with a request without an answer."""
        self.unanswered_closes += 1
        _LOG.warning(
            'connection closed without an answer',
            unparsed_bytes=len(channel.http.trailing_data[0]),
            is_stopping=self.is_stopping,
            silent_ms=int(boottime_ms() - channel.received_at_ms),
        )

    def _accept(self) -> Channel:
        connection = _CallerConnection(self, self._limits)
        self._connections.add(connection)
        task = asyncio.get_running_loop().create_task(connection.serve())
        connection.task = task
        task.add_done_callback(lambda _: self._connections.discard(connection))
        return connection.channel


class _CallerConnection:
    """A caller's connection, which serves one request after the other."""

    def __init__(
        self, server: HttpServer, get_limits: Callable[[], ServerLimits]
    ) -> None:
        self.task: asyncio.Task[None] | None = None
        self._is_lingering = False
        # The connection ends after a request that could not be read.
        self._is_refused = False
        self._reply: ResponseWriter | None = None
        self._handler_run = HandlerRun()
        self._server = server
        self._get_limits = get_limits
        self.channel = Channel(
            h11.SERVER,
            get_limits().head_bytes,
            # A caller that only sends no more still gets what is known.
            lambda: (
                self._handler_run.stop()
                if self.channel.is_open
                else self.cancel()
            ),
            is_bounded=server.memory is not None,
        )
        self._memory: ConnectionMemory | None = None
        if server.memory is not None:
            # As long as a caller may pause within the body of its request.
            self._memory = server.memory.attach(
                self.channel, lambda: get_limits().idle_timeout_ms
            )
        self._reader = RequestReader(
            self.channel, get_limits, self._memory, server.bodies
        )

    @property
    def is_busy(self) -> bool:
        return self._reader.is_busy

    async def serve(self) -> None:
        try:
            await self._serve_requests()
            await self._linger()
        except (ConnectionClosedError, asyncio.CancelledError):
            self._break_off()
        finally:
            self._close()

    def close_if_idle(self) -> None:
        is_idle = not self.is_busy and not self._is_lingering
        if is_idle and not has_input(self.channel):
            self.cancel()

    def stop_reading(self) -> None:
        """Refuse a request that is still being read."""
        self._reader.stop_reading()

    def cancel(self) -> None:
        """Close the connection, as its caller has left or it is idle."""
        if self.task is not None:
            self.task.cancel()

    async def _serve_requests(self) -> None:
        while await self._serve_one():
            self.channel.http.start_next_cycle()

    async def _linger(self) -> None:
        """Let the caller read an answer while it still sends."""
        if self._reply is None or not self._reply.is_complete:
            return
        self._is_lingering = True
        with contextlib.suppress(TimeoutError):
            async with time_limit(self._get_limits().idle_timeout_ms):
                await discard_until_closed(self.channel, LINGER_MS)

    async def _serve_one(self) -> bool:
        """Serve one request; return whether another may follow."""
        reply = self._new_reply()
        if not await self._answer_next(reply):
            return False
        if not reply.has_started:
            reply.send_plain_error()
        self._reader.held_body.release()
        await self._wait_until_taken()
        if not reply.is_complete:
            self._break_off()
            return False
        self._reader.is_busy = False
        http = self.channel.http
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        if self._server.is_accepting:
            return True
        # The caller may use a connection whose end was not announced.
        return not reply.announces_close and await arrives_in_time(
            self.channel, LAST_REQUESTS_MS
        )

    def _new_reply(self) -> ResponseWriter:
        self._reply = ResponseWriter(
            self.channel,
            closes=lambda: (
                self._is_refused
                or self._server.is_stopping
                or _is_last_request(self.channel)
            ),
            method=lambda: self._reader.method,
            memory=self._memory,
        )
        return self._reply

    async def _wait_until_taken(self) -> None:
        """Wait until the kernel has taken the whole answer.

        :raises ConnectionClosedError: when the caller takes nothing for as long
            as a connection may be idle.
        """
        if self._memory is not None:
            await self._memory.wait_until_taken()
            return
        stalled_ms = 0
        left_bytes = unsent_bytes(self.channel)
        while left_bytes:
            await asyncio.sleep(TAKEN_CHECK_MS / MS_PER_S)
            before_bytes, left_bytes = left_bytes, unsent_bytes(self.channel)
            has_taken = left_bytes < before_bytes
            stalled_ms = 0 if has_taken else stalled_ms + TAKEN_CHECK_MS
            if stalled_ms >= self._get_limits().idle_timeout_ms:
                raise ConnectionClosedError('the caller takes nothing')

    async def _answer_next(self, reply: ResponseWriter) -> bool:
        """Answer the next request; return whether there was one."""
        try:
            return await self._read_and_answer(reply)
        except ConnectionClosedError:
            raise
        except Exception:
            _LOG.exception('request failed')
            return True

    async def _read_and_answer(self, reply: ResponseWriter) -> bool:
        try:
            request = await self._reader.read()
        except BadRequestError as error:
            self._is_refused = True
            await self._server.refuse(reply, error.status, str(error))
            return True
        if request is None:
            return False
        await self._handler_run.run(
            self._server.handle(request, reply),
            lambda: reply.is_complete,
            may_wait=not self.channel.has_peer_closed,
        )
        return True

    def _close(self) -> None:
        has_answered = self._reply is not None and self._reply.has_started
        if _is_unanswered(self.channel, self.is_busy and not has_answered):
            self._server.note_unanswered(self.channel)
        self.channel.close()
        self._reader.held_body.release()
        if self._memory is not None:
            self._memory.release()

    def _break_off(self) -> None:
        """Close the connection so that an unfinished response shows."""
        if self._reply is not None and self._reply.ends_with_connection:
            self.channel.reset()
        else:
            self.channel.abort()


def _is_last_request(channel: Channel) -> bool:
    """Return whether no more follows the request that was read."""
    return channel.has_peer_closed and not channel.http.trailing_data[0]


def _is_unanswered(channel: Channel, is_being_answered: bool) -> bool:
    """Return whether a connection ends with a request, while its caller waits.

    :param is_being_answered: a request has been read, and its answer not begun.
    """
    if channel.has_peer_closed or channel.is_discarding:
        return False
    return is_being_answered or bool(channel.http.trailing_data[0])
