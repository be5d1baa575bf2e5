"""HTTP/1.1 server for callers; handles one request per connection at a time."""

import asyncio
import collections
import contextlib
import socket
from collections.abc import Awaitable, Callable
from math import inf

import h11
import structlog

from lagoonflow.clock import MS_PER_S, boottime_ms
from lagoonflow.http1.accepting import Acceptor
from lagoonflow.http1.channel import (
    Channel,
    ConnectionClosedError,
    arrives_in_time,
    discard_until_closed,
    has_input,
    unsent_bytes,
)
from lagoonflow.http1.connection_ends import (
    ConnectionEnd,
    cancellation_end,
    closed_end,
)
from lagoonflow.http1.connection_memory import (
    ConnectionMemory,
    ProcessMemory,
)
from lagoonflow.http1.descriptors import Descriptors
from lagoonflow.http1.handler_run import HandlerRun
from lagoonflow.http1.idle_connections import IdleConnections
from lagoonflow.http1.listening import LAST_REQUESTS_MS, stop_listening
from lagoonflow.http1.request_bodies import RequestBodies, bodies_bound
from lagoonflow.http1.request_reader import (
    UNAVAILABLE_STATUS,
    BadRequestError,
    CallerRequest,
    RequestReader,
    ServerLimits,
)
from lagoonflow.http1.response_writer import (
    ResponseWriter,
    end_connection_in_order,
)
from lagoonflow.time_limits import time_limit

LISTEN_BACKLOG = 1024
# Interval at which a caller that hasn't taken its answer yet is looked at, in ms.
TAKEN_CHECK_MS = 50
_LOG = structlog.get_logger(part='http')
# A connection that is closed after an answer stays open as long as its caller goes
# on sending with pauses shorter than this, in ms.
LINGER_MS = 500


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
    :param bodies: bounds the bodies of requests; if left out, as for the
        smallest hosts.
    :param descriptors: tells when connections are too many; without it their
        number isn't bounded.
    :ivar unanswered_by_end: number of connections that were closed with a
        request that had arrived, at least in part, and got no answer, by why
        they ended.
    """

    def __init__(
        self,
        handler: Handler,
        refuse: Refuse,
        limits: Callable[[], ServerLimits],
        memory: ProcessMemory | None = None,
        bodies: RequestBodies | None = None,
        descriptors: Descriptors | None = None,
    ) -> None:
        """Create the server; ``listen`` binds it to an address."""
        self.memory = memory
        self.bodies = bodies or RequestBodies(bodies_bound(0))
        self.is_stopping = False
        self.is_accepting = True
        self.unanswered_by_end: collections.Counter[ConnectionEnd] = (
            collections.Counter()
        )
        self._handler = handler
        self._refuse = refuse
        self._limits = limits
        self._server: Acceptor | None = None
        self._listener: socket.socket | None = None
        self._connections: set[_CallerConnection] = set()
        self._idle = IdleConnections(self._connections)
        self._descriptors = descriptors or Descriptors()
        self._descriptors.close_idle = self._idle.close_one

    async def listen(self, address: str) -> None:
        """Bind an ``IP:port``.

        :raises OSError: when the address can't be used.
        """
        host, _, port = address.rpartition(':')
        self._listener = socket.create_server((host, int(port)))
        self._listener.setblocking(False)
        self._listener.listen(LISTEN_BACKLOG)
        self._server = Acceptor(
            self._listener,
            self._admit,
            self._idle.close_one,
            self._descriptors.must_pause_accepting,
        )
        self._server.start()

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
    def unanswered_closes(self) -> int:
        """Number of connections that were closed with an unanswered request."""
        return self.unanswered_by_end.total()

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

    def note_unanswered(self, channel: Channel, end: ConnectionEnd) -> None:
        """Count a connection that closes with a request without an answer."""
        self.unanswered_by_end[end] += 1
        _LOG.warning(
            'connection closed without an answer',
            reason=end.value,
            unparsed_bytes=len(channel.http.trailing_data[0]),
            is_stopping=self.is_stopping,
            silent_ms=int(boottime_ms() - channel.received_at_ms),
        )

    def _admit(self, accepted: socket.socket) -> Channel:
        is_short = self._descriptors.is_beyond_callers(accepted.fileno())
        is_surplus = is_short and not self._idle.close_one()
        return self._accept(is_surplus=is_surplus)

    def _accept(self, *, is_surplus: bool = False) -> Channel:
        connection = _CallerConnection(
            self, self._limits, is_surplus=is_surplus
        )
        self._connections.add(connection)
        task = asyncio.get_running_loop().create_task(connection.serve())
        connection.task = task
        task.add_done_callback(lambda _: self._connections.discard(connection))
        return connection.channel


class _CallerConnection:
    """A caller's connection, which serves one request after the other."""

    def __init__(
        self,
        server: HttpServer,
        get_limits: Callable[[], ServerLimits],
        *,
        is_surplus: bool,
    ) -> None:
        # When it was opened, or the last answer ended.
        self._unused_since_ms = boottime_ms()
        # Its request is refused, as it is one too many.
        self._is_surplus = is_surplus
        self.task: asyncio.Task[None] | None = None
        self._is_lingering = False
        self._is_closed_as_idle = False
        self._has_stalled = False
        self._end = ConnectionEnd.ERROR
        # The connection ends after a request that could not be read.
        self._is_refused = False
        self._reply: ResponseWriter | None = None
        self._handler_run = HandlerRun()
        self._server = server
        self._get_limits = get_limits
        self.channel = Channel(
            h11.SERVER,
            get_limits().head_bytes,
            self._note_peer_closed,
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
            while await self._serve_one():
                self.channel.http.start_next_cycle()
                self._unused_since_ms = boottime_ms()
            await self._linger()
            self._end = ConnectionEnd.FINISHED
        except (ConnectionClosedError, asyncio.CancelledError) as error:
            self._end = self._end_by(error)
            if self._end.is_from_inside:
                _LOG.exception('connection failed')
            if not (self._end.is_from_inside and _is_complete(self._reply)):
                _break_off(self.channel, self._reply)
        finally:
            self._close()

    def rests_since_ms(self) -> float:
        """Return the boot time since which it rests; infinite if it doesn't."""
        if self.is_busy or self._is_lingering or self._is_closed_as_idle:
            return inf
        return self._unused_since_ms

    def close_if_idle(self) -> bool:
        """Close it unless its caller has sent something; return whether."""
        if self.rests_since_ms() == inf or has_input(self.channel):
            return False
        self._is_closed_as_idle = True
        self.cancel()
        return True

    def stop_reading(self) -> None:
        """Refuse a request that is still being read."""
        self._reader.stop_reading()

    def cancel(self) -> None:
        """Close the connection, as its caller has left or it is idle."""
        if self.task is not None:
            self.task.cancel()

    def _note_peer_closed(self) -> None:
        """Stop the work for a caller that has left or sends no more.

        Requests that have arrived are still read, and an answer that is
        complete is still delivered.
        """
        if self.channel.is_open:
            self._handler_run.stop()
        else:
            self.cancel()

    async def _linger(self) -> None:
        """Let the caller read an answer while it still sends."""
        if not _is_complete(self._reply):
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
            _break_off(self.channel, self._reply)
            return False
        end_connection_in_order(reply)
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
            state_idle_s=self._reader.state_idle_s,
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
                self._has_stalled = True
                raise ConnectionClosedError(
                    'the caller takes nothing', self.channel
                )

    async def _answer_next(self, reply: ResponseWriter) -> bool:
        """Answer the next request; return whether there was one."""
        try:
            return await self._read_and_answer(reply)
        except (ConnectionClosedError, asyncio.CancelledError) as error:
            if not self._end_by(error).is_from_inside:
                raise
            _LOG.exception('request failed')
            return self.is_busy or has_input(self.channel)
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
        if self._is_surplus:
            self._is_refused = True
            reason = 'the router has no descriptors left'
            await self._server.refuse(reply, UNAVAILABLE_STATUS, reason)
            return True
        await self._handler_run.run(
            self._server.handle(request, reply),
            lambda: reply.is_complete,
            may_wait=not self.channel.has_peer_closed,
        )
        return True

    def _close(self) -> None:
        has_answered = self._reply is not None and self._reply.has_started
        if _is_unanswered(self.channel, self.is_busy and not has_answered):
            self._server.note_unanswered(self.channel, self._end)
        self.channel.close()
        self._reader.held_body.release()
        if self._memory is not None:
            self._memory.release()

    def _end_by(
        self, error: ConnectionClosedError | asyncio.CancelledError
    ) -> ConnectionEnd:
        """Return why the connection ends with an error."""
        if isinstance(error, asyncio.CancelledError):
            return cancellation_end(
                self.channel, is_idle=self._is_closed_as_idle
            )
        is_cut = self._reply is not None and self._reply.is_caller_cut
        is_cut = is_cut or self._has_stalled
        return closed_end(error, self.channel, is_cut=is_cut)


def _break_off(channel: Channel, reply: ResponseWriter | None) -> None:
    """Close a connection so that an unfinished response shows."""
    if reply is not None and reply.ends_with_connection:
        channel.reset()
    else:
        channel.abort()


def _is_complete(reply: ResponseWriter | None) -> bool:
    return reply is not None and reply.is_complete


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
