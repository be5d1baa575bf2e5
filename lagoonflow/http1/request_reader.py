"""Reads the requests of a caller's connection within their limits."""

import asyncio
import dataclasses
from collections.abc import Callable
from math import inf

import h11

from lagoonflow.clock import MS_PER_S, boottime_ms
from lagoonflow.http1.body_parts import Body, LongBody, shortened
from lagoonflow.http1.channel import (
    Channel,
    ConnectionClosedError,
    has_input,
)
from lagoonflow.http1.connection_memory import ConnectionMemory, NoMemoryError
from lagoonflow.http1.messages import RequestHead
from lagoonflow.http1.request_bodies import (
    BodiesTooLargeError,
    HeldBody,
    RequestBodies,
)
from lagoonflow.time_limits import TimeLimit, time_limit

TIMEOUT_STATUS = 408
TOO_LARGE_STATUS = 413
BAD_REQUEST_STATUS = 400
HEAD_TOO_LARGE_STATUS = 431
UNAVAILABLE_STATUS = 503
# Callers are told that a connection stays open for this share of the idle time,
# so that requests they send at its end still arrive before it is closed.
STATED_IDLE_SHARE = 0.8
# A request is read on for this long after reading was stopped, in ms: what has
# arrived by then may complete it.
STOPPED_READ_MS = 20
# Bytes of a head beside its method, target, and names and values of headers.
LINE_OVERHEAD_BYTES = len('  HTTP/1.1\r\n\r\n')
HEADER_OVERHEAD_BYTES = len(': \r\n')


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits on the size and the duration of callers' requests.

    :param head_bytes: longest accepted request head, in bytes.
    :param body_bytes: longest accepted request body, in bytes.
    :param header_timeout_ms: longest time from the first byte of a request
        to the end of its head, in ms.
    :param idle_timeout_ms: longest time without a request on an open
        connection, or between two parts of a request body, in ms.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete request of a caller."""

    head: RequestHead
    body: Body


class BadRequestError(Exception):
    """The request is malformed or breaks a limit; no handler runs for it.

    :ivar status: HTTP status of the refusal.
    """

    def __init__(self, status: int, reason: str) -> None:
        """Create an error whose message is shown to the caller."""
        super().__init__(reason)
        self.status = status


class RequestReader:
    """Reads one request after the other from a caller's connection.

    :param limits: returns the limits in force.
    :param memory: bounds what is held for the connection; ``None`` for no
        bound.
    :param bodies: bounds the bodies of all requests.
    :ivar is_busy: whether a request is being read or answered.
    :ivar held_body: memory of its body, to be released when it has ended.
    :ivar method: method of that request; empty until its head was read.
    """

    def __init__(
        self,
        channel: Channel,
        limits: Callable[[], ServerLimits],
        memory: ConnectionMemory | None,
        bodies: RequestBodies,
    ) -> None:
        """Prepare to read the first request."""
        self.is_busy = False
        self.method = b''
        self._channel = channel
        self._get_limits = limits
        # Those of the current request, as they were when its head was read.
        self._limits = limits()
        self._parsed_head_bytes = self._limits.head_bytes
        self._memory = memory
        self.held_body = HeldBody(bodies)
        # Limit of the part of a request that is being read.
        self._part_limit: TimeLimit | None = None
        self._is_stopped = False
        self._read_until_ms = inf
        self._stated_idle_s = 0

    def state_idle_s(self) -> int:
        """Return for how many s the connection stays open after the answer.

        The connection is kept for that time, also if the limit is lowered.
        """
        idle_ms = self._get_limits().idle_timeout_ms * STATED_IDLE_SHARE
        self._stated_idle_s = int(idle_ms // MS_PER_S)
        return self._stated_idle_s

    def stop_reading(self) -> None:
        """Refuse a request that is being read, as there is no time for it."""
        self._is_stopped = True
        self._read_until_ms = boottime_ms() + STOPPED_READ_MS
        if self._part_limit is not None:
            self._part_limit.reschedule(asyncio.get_running_loop().time())

    async def read(self) -> CallerRequest | None:
        """Return the next request; ``None`` when the connection was idle.

        :raises BadRequestError: when the request is malformed or breaks a
            limit.
        :raises ConnectionClosedError: when the caller has closed the
            connection.
        """
        self.method = b''
        has_arrived = bool(self._channel.http.trailing_data[0])
        if not await self._wait_for_request():
            return None
        self.is_busy = True
        if has_arrived:
            # A caller may send requests without waiting for answers.
            await asyncio.sleep(0)
        head = await self._read_head()
        if head is None:
            return None
        self._limits = self._get_limits()
        if _head_bytes(head) > self._limits.head_bytes:
            raise BadRequestError(
                HEAD_TOO_LARGE_STATUS, 'request head is too large'
            )
        if self._memory is not None:
            self._memory.begin_request(head)
        content_length = head.get(b'content-length')
        if (
            content_length is not None
            and int(content_length) > self._limits.body_bytes
        ):
            raise BadRequestError(TOO_LARGE_STATUS, 'request body is too large')
        if self._channel.http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self._channel.send(interim)
        return CallerRequest(head, await self._read_body())

    async def _wait_for_request(self) -> bool:
        """Wait for the first byte of a request; return whether it came.

        The caller may rely on any idle time that was in force during the wait.
        """
        stated_ms = self._stated_idle_s * MS_PER_S / STATED_IDLE_SHARE
        self._stated_idle_s = 0
        limit = LongestLimit(
            lambda: max(self._get_limits().idle_timeout_ms, stated_ms)
        )
        while True:
            left_ms = limit.left_ms()
            if left_ms <= 0 and not has_input(self._channel):
                return False
            try:
                async with time_limit(max(left_ms, 0)):
                    await self._channel.wait_for_request()
            except TimeoutError:
                continue
            return True

    async def _read_head(self) -> RequestHead | None:
        limit = LongestLimit(lambda: self._get_limits().header_timeout_ms)
        event = None
        while event is None:
            self._apply_head_limit()
            event = await self._next_head_event(limit)
        if not isinstance(event, h11.Request):
            return None
        self.method = event.method
        headers = tuple(event.headers.raw_items())
        return RequestHead(event.method, event.target, headers)

    async def _next_head_event(
        self, limit: 'LongestLimit'
    ) -> h11.Event | type | None:
        """Return the next event; ``None`` if a raised limit allows more."""
        try:
            return await self._next_event(max(limit.left_ms(), 0))
        except TimeoutError as error:
            if limit.left_ms() <= 0 or self._is_stopped:
                raise self._timeout_error('head') from error
        except BadRequestError as error:
            if error.status != HEAD_TOO_LARGE_STATUS or not self._has_raised():
                raise
        return None

    def _has_raised(self) -> bool:
        """Return whether a higher limit on heads has come into force."""
        return self._get_limits().head_bytes > self._parsed_head_bytes

    def _apply_head_limit(self) -> None:
        """Parse the next head with the limit on its size that is in force."""
        head_bytes = self._get_limits().head_bytes
        if head_bytes == self._parsed_head_bytes:
            return
        self._parsed_head_bytes = head_bytes
        # A head is parsed as a whole, so nothing of this one was parsed yet.
        unparsed, has_ended = self._channel.http.trailing_data
        http = h11.Connection(h11.SERVER, head_bytes)
        if unparsed:
            http.receive_data(unparsed)
        if has_ended:
            http.receive_data(b'')
        self._channel.http = http

    async def _read_body(self) -> Body:
        body = LongBody()
        try:
            return await self._collect_body(body)
        except MemoryError as error:
            # The error would keep what was read.
            body.clear()
            reason = 'the router has no memory left'
            raise BadRequestError(UNAVAILABLE_STATUS, reason) from error

    async def _collect_body(self, body: LongBody) -> Body:
        while True:
            try:
                event = await self._next_event(self._limits.idle_timeout_ms)
            except TimeoutError as error:
                raise self._timeout_error('body') from error
            if not isinstance(event, h11.Data):
                return shortened(body)
            body.append(event.data)
            if len(body) > self._limits.body_bytes:
                raise BadRequestError(
                    TOO_LARGE_STATUS, 'request body is too large'
                )
            await self._hold_body(len(body))

    def _timeout_error(self, part: str) -> BadRequestError:
        if self._is_stopped:
            return BadRequestError(
                UNAVAILABLE_STATUS, f'the router stops, request {part} missing'
            )
        return BadRequestError(
            TIMEOUT_STATUS, f'request {part} not received in time'
        )

    async def _hold_body(self, body_bytes: int) -> None:
        try:
            self.held_body.grow(body_bytes)
            if self._memory is not None:
                await self._memory.hold_body(body_bytes)
        except (BodiesTooLargeError, NoMemoryError) as error:
            reason = 'request bodies use all memory of the router'
            raise BadRequestError(UNAVAILABLE_STATUS, reason) from error

    async def _next_event(self, timeout_ms: float) -> h11.Event | type:
        # Each part of a body begins a new limit, also after reading was stopped.
        left_ms = max(self._read_until_ms - boottime_ms(), 0)
        try:
            async with time_limit(min(timeout_ms, left_ms)) as limit:
                self._part_limit = limit
                return await self._channel.next_event(may_wait=left_ms > 0)
        except ConnectionClosedError as error:
            cause = error.__cause__
            if isinstance(cause, h11.RemoteProtocolError):
                raise BadRequestError(
                    cause.error_status_hint or BAD_REQUEST_STATUS, str(cause)
                ) from error
            raise


class LongestLimit:
    """A time limit that may be changed; the longest one in force counts.

    :param limit_ms: returns the limit in force, in ms.
    """

    def __init__(self, limit_ms: Callable[[], float]) -> None:
        """Start the time."""
        self._limit_ms = limit_ms
        self._began_ms = boottime_ms()
        self._longest_ms: float = 0

    def left_ms(self) -> float:
        """Return the time that is left; not positive when it has passed."""
        self._longest_ms = max(self._longest_ms, self._limit_ms())
        return self._longest_ms - (boottime_ms() - self._began_ms)


def _head_bytes(head: RequestHead) -> int:
    """Return the size of a head without optional whitespace, in bytes."""
    line_bytes = len(head.method) + len(head.target) + LINE_OVERHEAD_BYTES
    return line_bytes + sum(
        len(name) + len(text) + HEADER_OVERHEAD_BYTES
        for name, text in head.headers
    )
