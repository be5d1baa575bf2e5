"""Responses to the requests of callers."""

from collections.abc import Callable

import h11

from lagoonflow.clock import boottime_ms
from lagoonflow.http1.channel import (
    Channel,
    write_raw,
)
from lagoonflow.http1.connection_memory import ConnectionMemory
from lagoonflow.http1.messages import (
    LENGTH_HEADER,
    STATUSES_WITHOUT_BODY,
    BodyFraming,
    Headers,
    find_header,
    remove_headers,
)
from lagoonflow.http1.socket_options import end_by_reset, end_in_order

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

    :ivar channel: connection of the caller.
    :ivar started_at_ms: boot time at which a part of it was first sent.
    :ivar announces_close: whether the head says that the connection is closed
        after the response.
    :ivar ends_with_connection: whether only the end of the connection tells
        where the body ends. From the first byte on that end is a reset, also
        if this process is killed, until :func:`end_connection_in_order`.
    """

    def __init__(
        self,
        channel: Channel,
        *,
        closes: Callable[[], bool],
        method: Callable[[], bytes],
        state_idle_s: Callable[[], int] = int,
        memory: ConnectionMemory | None = None,
    ) -> None:
        """Create a writer that has sent nothing.

        :param method: returns the method of the request; empty if it could not
            be read.
        :param state_idle_s: returns for how many s the connection then stays
            open, which the head states; 0 to state nothing.
        :param closes: asked when the head is sent; whether the head announces
            that the connection is closed after the response.
        :param memory: bounds what is written and not yet taken; without it
            each method waits until the caller has taken most of it.
        """
        self._memory = memory
        self.started_at_ms: float | None = None
        self.is_complete = False
        self.ends_with_connection = False
        self.announces_close = False
        self.channel = channel
        self._closes = closes
        self._method = method
        self._state_idle_s = state_idle_s
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
        write_raw(self.channel, PLAIN_ERROR)
        end_connection_in_order(self)
        self.started_at_ms = boottime_ms()
        self.is_complete = True

    async def _send(self, *events: h11.Event) -> None:
        self._write(*events)
        if self._memory is None:
            # Waits for room in the write buffer.
            await self.channel.send()

    def _write(self, *events: h11.Event) -> None:
        is_first = not self.has_started and self.channel.is_open
        if is_first and self.ends_with_connection:
            end_by_reset(self.channel.transport)
        self.channel.write(*events)
        if self.started_at_ms is None:
            self.started_at_ms = boottime_ms()
        if self._memory is not None:
            self._memory.note_written()

    def _omit_framing(self) -> None:
        # h11 leaves out the framing only for callers that speak HTTP/1.0.
        self.channel.http.their_http_version = b'1.0'

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
        version = self.channel.http.their_http_version or b''
        self.ends_with_connection = not is_end_marked and version < b'1.1'
        self.announces_close = self._closes()
        extra = (
            CLOSE_HEADER if self.announces_close else self._keep_alive_header()
        )
        return h11.Response(
            status_code=status, reason=reason, headers=[*headers, *extra]
        )

    def _keep_alive_header(self) -> Headers:
        """Return for how long the connection stays open, if it does."""
        http = self.channel.http
        is_kept = http.their_state is h11.DONE and http.their_http_version != (
            b'1.0'
        )
        idle_s = self._state_idle_s() if is_kept else 0
        return ((b'keep-alive', b'timeout=%d' % idle_s),) if idle_s else ()


def end_connection_in_order(reply: ResponseWriter) -> None:
    """Let the end of the connection be that of a response, which was taken."""
    channel = reply.channel
    if reply.ends_with_connection and channel.is_open:
        end_in_order(channel.transport)
