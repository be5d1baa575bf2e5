"""TCP connection that speaks HTTP/1.1, as client or as server."""

import array
import asyncio
import contextlib
import fcntl
import termios
from collections.abc import Callable

import h11

from lagoonflow.clock import boottime_ms
from lagoonflow.http1.socket_options import end_by_reset, limit_kernel_buffers
from lagoonflow.time_limits import time_limit

# Reading pauses above this many unread bytes, so that TCP slows the peer.
MAX_UNREAD_BYTES = 262_144
# After this many events without a wait, other tasks run.
MAX_EVENTS_IN_ROW = 32


class ConnectionClosedError(Exception):
    """The connection was closed or reset, or the peer violated HTTP/1.1.

    :ivar channel: the connection; ``None`` where it isn't known.
    """

    def __init__(self, reason: str, channel: 'Channel | None' = None) -> None:
        """Create an error of a connection."""
        super().__init__(reason)
        self.channel = channel


class Channel(asyncio.Protocol):
    """Parses received bytes with ``h11`` and returns the parsed events.

    :param role: ``h11.SERVER`` or ``h11.CLIENT``.
    :param max_head_bytes: longest accepted message head, in bytes.
    :param on_peer_closed: called when the peer stops sending, and when the
        connection has ended, even if this side closed it.
    :param is_bounded: keep the kernel's buffers of the connection small, and
        treat it as full while any written byte is left.
    :ivar on_peer_closed: the same; ``None`` for nothing.
    :ivar on_writable: called when the write buffer has room again; ``None``
        for nothing.
    :ivar written_bytes: bytes that were written so far.
    :ivar received_bytes: bytes that were received so far.
    :ivar received_at_ms: boot time at which bytes last arrived.
    """

    def __init__(
        self,
        role: type,
        max_head_bytes: int,
        on_peer_closed: Callable[[], None] | None = None,
        *,
        is_bounded: bool = False,
    ) -> None:
        """Create the protocol; asyncio calls ``connection_made`` later."""
        self.http = h11.Connection(role, max_head_bytes)
        self.is_open = False
        self.has_peer_closed = False
        self.unread_bytes = 0
        # Between two exchanges; the peer has nothing to send then.
        self.is_idle = False
        self._events_in_row = 0
        self.transport: asyncio.Transport | None = None
        self.on_peer_closed = on_peer_closed
        self.on_writable: Callable[[], None] | None = None
        self.written_bytes = 0
        self.received_bytes = 0
        self.received_at_ms: float = 0
        self._is_bounded = is_bounded
        # What the peer sends is dropped.
        self.is_discarding = False
        self._bytes_arrived: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self.is_paused = False

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self.transport = transport
        self.is_open = True
        if self._is_bounded:
            limit_kernel_buffers(transport)
            transport.set_write_buffer_limits(high=0)

    def data_received(self, data: bytes) -> None:
        """Pass bytes to ``h11`` and wake the task that waits for them."""
        if self.is_idle:
            self.reset()
            return
        if self.is_discarding:
            _resolve(self._bytes_arrived)
            return
        self.received_at_ms = boottime_ms()
        self.received_bytes += len(data)
        self.unread_bytes += len(data)
        self.http.receive_data(data)
        _resolve(self._bytes_arrived)
        if self.unread_bytes > MAX_UNREAD_BYTES and not self.is_paused:
            self.is_paused = True
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Record that the peer sends no more; the transport stays open."""
        # Responses may end with the connection; a request that isn't whole by
        # then is cut, not malformed.
        if self.http.our_role is h11.CLIENT and not self.is_discarding:
            self.http.receive_data(b'')
        self._mark_peer_closed()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection has ended."""
        self.is_open = False
        self._mark_peer_closed()
        _resolve(self._writable)

    def pause_writing(self) -> None:
        """Make ``send`` wait: the write buffer is full."""
        if self._writable is None:
            loop = asyncio.get_running_loop()
            self._writable = loop.create_future()

    def resume_writing(self) -> None:
        """Let ``send`` continue: the write buffer has room again."""
        _resolve(self._writable)
        self._writable = None
        if self.on_writable is not None:
            self.on_writable()

    # Called by the task that uses the connection.

    async def next_event(self, *, may_wait: bool = True) -> h11.Event | type:
        """Return the next ``h11`` event, waiting for bytes as needed.

        :raises TimeoutError: when bytes are needed and it may not wait.
        :raises ConnectionClosedError: when the peer closed the connection
            in the middle of a message, or violated HTTP/1.1.
        """
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                raise ConnectionClosedError(str(error), self) from error
            if event is not h11.NEED_DATA:
                self._events_in_row += 1
                if self._events_in_row % MAX_EVENTS_IN_ROW == 0:
                    await asyncio.sleep(0)
                return event
            _expect_bytes(self, may_wait=may_wait)
            await self.wait_for_bytes()

    async def wait_for_request(self) -> None:
        """Wait for the first bytes of the next request.

        :raises ConnectionClosedError: when the peer closed the connection.
        """
        while not self.http.trailing_data[0]:
            _expect_bytes(self)
            await self.wait_for_bytes()

    async def send(self, *events: h11.Event) -> None:
        """Write events, then wait while the write buffer is full.

        :raises ConnectionClosedError: when the connection is closed.
        """
        self.write(*events)
        if self._writable is not None:
            await asyncio.shield(self._writable)

    def write(self, *events: h11.Event) -> None:
        """Write events without waiting.

        :raises ConnectionClosedError: when the connection is closed.
        """
        if not is_writable(self):
            raise ConnectionClosedError('connection is closed', self)
        parts = [self.http.send(event) or b'' for event in events]
        write_raw(self, b''.join(parts))

    def close(self) -> None:
        """Close once all written data is sent; may be called repeatedly."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once, discarding data that is not yet sent."""
        if self.transport is not None:
            self.transport.abort()

    def reset(self) -> None:
        """Close with a TCP reset, which discards bytes in transit."""
        if self.transport is not None and self.is_open:
            end_by_reset(self.transport)
            self.transport.abort()

    async def wait_for_bytes(self) -> None:
        """Wait until the peer sends more, or no longer sends."""
        self.unread_bytes = 0
        self._events_in_row = 0
        if self.is_paused:
            self.is_paused = False
            self.transport.resume_reading()
        self._bytes_arrived = asyncio.get_running_loop().create_future()
        try:
            await self._bytes_arrived
        finally:
            self._bytes_arrived = None

    def _mark_peer_closed(self) -> None:
        self.has_peer_closed = True
        _resolve(self._bytes_arrived)
        if self.on_peer_closed is not None:
            self.on_peer_closed()


def is_writable(channel: Channel) -> bool:
    """Return whether the connection is open and not about to close."""
    return channel.is_open and not channel.transport.is_closing()


def write_raw(channel: Channel, payload: bytes) -> None:
    """Write bytes that ``h11`` does not see.

    :raises ConnectionClosedError: when the connection is closed.
    """
    if not is_writable(channel):
        raise ConnectionClosedError('connection is closed', channel)
    channel.written_bytes += len(payload)
    channel.transport.write(payload)


async def discard_until_closed(channel: Channel, max_pause_ms: float) -> None:
    """Send no more, and drop what the peer sends until it closes.

    Closing a connection with unread bytes resets it, which would discard what
    the peer has not read yet.

    :param max_pause_ms: return when nothing arrives for so long, in ms.
    """
    if channel.has_peer_closed or not is_writable(channel):
        return
    channel.is_discarding = True
    channel.on_peer_closed = None
    try:
        channel.transport.write_eof()
    except OSError:
        # The peer has reset the connection, which asyncio has not seen yet.
        return
    with contextlib.suppress(TimeoutError):
        while not channel.has_peer_closed:
            async with time_limit(max_pause_ms):
                await channel.wait_for_bytes()


def unsent_bytes(channel: Channel) -> int:
    """Return how many written bytes the kernel has not taken yet."""
    if channel.transport is None or not channel.is_open:
        return 0
    return channel.transport.get_write_buffer_size()


def undelivered_bytes(channel: Channel) -> int:
    """Return how many written bytes the peer's kernel has not confirmed."""
    if channel.transport is None or not channel.is_open:
        return 0
    queued_bytes = _query_bytes(channel.transport, termios.TIOCOUTQ)
    return unsent_bytes(channel) + queued_bytes


def has_input(channel: Channel) -> bool:
    """Return whether the peer has sent more than was parsed."""
    if channel.http.trailing_data[0]:
        return True
    if channel.transport is None or not channel.is_open:
        return False
    return _query_bytes(channel.transport, termios.FIONREAD) > 0


def arrived_bytes(channel: Channel) -> int:
    """Return how many bytes have arrived, with those left in the kernel."""
    if channel.transport is None or not channel.is_open:
        return channel.received_bytes
    return channel.received_bytes + _query_bytes(
        channel.transport, termios.FIONREAD
    )


def parsed_bytes(channel: Channel) -> int:
    """Return how many of the received bytes were parsed."""
    return channel.received_bytes - len(channel.http.trailing_data[0])


async def arrives_in_time(channel: Channel, timeout_ms: float) -> bool:
    """Wait for the first bytes of a request; return whether they came.

    :param timeout_ms: longest wait, in ms.
    :raises ConnectionClosedError: when the peer closed the connection.
    """
    try:
        async with time_limit(timeout_ms):
            await channel.wait_for_request()
    except TimeoutError:
        return has_input(channel)
    return True


def pause_reading(channel: Channel) -> None:
    """Let received bytes wait in the kernel until more are needed."""
    if channel.is_open and not channel.is_paused:
        channel.is_paused = True
        channel.transport.pause_reading()


def _query_bytes(transport: asyncio.BaseTransport, request: int) -> int:
    """Return a number of bytes that the kernel holds for a connection."""
    raw = transport.get_extra_info('socket')
    count = array.array('i', [0])
    fcntl.ioctl(raw.fileno(), request, count)
    return count[0]


def _expect_bytes(channel: Channel, *, may_wait: bool = True) -> None:
    """Raise an error if no bytes can be waited for."""
    if channel.has_peer_closed:
        raise ConnectionClosedError('connection closed by the peer', channel)
    if not may_wait:
        raise TimeoutError


def _resolve(waiter: asyncio.Future[None] | None) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)
