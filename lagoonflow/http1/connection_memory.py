"""Memory that callers' connections hold, and the waits for room in it."""

import asyncio
import dataclasses
from collections.abc import Callable

import structlog

from lagoonflow.clock import MS_PER_S, Clock, boottime_ms
from lagoonflow.http1.body_parts import PART_BYTES
from lagoonflow.http1.channel import Channel, unsent_bytes
from lagoonflow.http1.memory_budget import (
    Direction,
    Holding,
    MemoryBudget,
    ReaderProgress,
)
from lagoonflow.http1.messages import RequestHead
from lagoonflow.time_limits import time_limit

# Interval at which slow readers are looked at, in ms. A call that was stopped
# reads on within it, well before a server aborts its answer.
SWEEP_INTERVAL_MS = 100
# Longer intervals between two sweeps mean that this process did not run, so
# that no caller could take anything.
MAX_SWEEP_MS = 300
# Besides the body that is kept for further sends, the write buffer of the
# connection to the server holds at most two parts of it.
SEND_BUFFER_BYTES = 2 * PART_BYTES
# A call whose request body finds no room within this time is refused, in ms:
# well below the time within which most callers expect an answer.
BODY_ROOM_TIMEOUT_MS = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Requester:
    """Who sent a request.

    :param caller: name of the organisation; empty when there is none.
    :param request_id: id that the caller gives to the request.
    """

    caller: str
    request_id: str = ''


class NoMemoryError(Exception):
    """No memory became free in time for the body of a request."""


class ConnectionMemory:
    """What the process holds for one caller's connection.

    :param channel: the connection.
    :param stall_timeout_ms: returns the time after which the caller is
        disconnected when it takes nothing, in ms.
    :ivar requester: who sent the current request.
    :ivar is_cut: whether the caller was disconnected for taking nothing.
    """

    def __init__(
        self,
        memory: 'ProcessMemory',
        channel: Channel,
        stall_timeout_ms: Callable[[], float],
    ) -> None:
        """Start with nothing held."""
        self.requester = Requester('')
        self.is_cut = False
        self._memory = memory
        self._channel = channel
        self._stall_timeout_ms = stall_timeout_ms
        self._progress = ReaderProgress()
        self._unsent_bytes = 0
        self._waiter: asyncio.Future[None] | None = None
        self._is_wait_over: Callable[[], bool] = bool
        self._holdings = self._open_holdings()
        channel.on_writable = self._wake

    def begin_request(self, head: RequestHead) -> None:
        """Charge what follows to the sender of a request."""
        self.release()
        self.requester = self._memory.identify(head)
        self._holdings = self._open_holdings()

    def release(self) -> None:
        """Stop counting what is held, as the request has ended."""
        self._unsent_bytes = 0
        for holding in self._holdings.values():
            holding.update(0)

    def note_written(self) -> None:
        """Count an answer whose parts were passed to the connection."""
        self._unsent_bytes = 0
        self._measure()

    def has_room(self, pending_bytes: int, *, is_whole: bool = False) -> bool:
        """Return whether more of the answer may be read from the server.

        :param pending_bytes: bytes of it that were read, but not passed to the
            connection yet.
        :param is_whole: the answer is forwarded only once it is whole.
        """
        self._unsent_bytes = pending_bytes
        self._measure()
        holding = self._holdings[Direction.ANSWERS]
        return holding.may_grow(is_whole=is_whole)

    async def wait_for_room(
        self, pending_bytes: int, *, is_whole: bool = False
    ) -> None:
        """Wait until more of the answer may be read from the server."""
        if self.has_room(pending_bytes, is_whole=is_whole):
            return
        self._memory.note_pause(Direction.ANSWERS)
        await self._wait_until(
            lambda: self.has_room(pending_bytes, is_whole=is_whole)
        )

    async def hold_body(self, body_bytes: int) -> None:
        """Count the body of the request, and wait until more may be read.

        :param body_bytes: bytes of it that were read.
        :raises NoMemoryError: when there is no room in time.
        """
        holding = self._holdings[Direction.REQUESTS]
        holding.update(body_bytes + min(body_bytes, SEND_BUFFER_BYTES))
        if holding.may_grow(is_whole=True):
            return
        self._memory.note_pause(Direction.REQUESTS)
        try:
            async with time_limit(BODY_ROOM_TIMEOUT_MS):
                await self._wait_until(lambda: holding.may_grow(is_whole=True))
        except TimeoutError as error:
            raise NoMemoryError from error

    async def wait_until_taken(self) -> None:
        """Wait until the caller has taken what was written, or has left.

        The body of its request is no longer counted.
        """
        self._holdings[Direction.REQUESTS].update(0)
        channel = self._channel
        await self._wait_until(
            lambda: not (channel.is_open and unsent_bytes(channel))
        )
        self._measure()

    def sweep(self, elapsed_ms: float) -> bool:
        """Disconnect a caller that takes nothing; let a stopped call read on.

        :return: whether the connection must be looked at again.
        """
        self._measure()
        channel = self._channel
        held_bytes = unsent_bytes(channel)
        stalled_ms = self._progress.observe(
            held_bytes, channel.written_bytes - held_bytes, elapsed_ms
        )
        if stalled_ms >= self._stall_timeout_ms() and channel.is_open:
            self.is_cut = True
            self._memory.note_cut(self.requester, held_bytes, stalled_ms)
            channel.abort()
        self._wake()
        return channel.is_open and bool(held_bytes or self._waiter)

    @property
    def held_bytes(self) -> int:
        """Bytes that are held for the connection in both directions."""
        return sum(holding.held_bytes for holding in self._holdings.values())

    def _open_holdings(self) -> dict[Direction, Holding]:
        return {
            direction: self._memory.budget.open(
                direction, self.requester.caller
            )
            for direction in Direction
        }

    def _measure(self) -> None:
        held_bytes = unsent_bytes(self._channel) + self._unsent_bytes
        self._holdings[Direction.ANSWERS].update(held_bytes)
        if held_bytes:
            self._memory.watch(self)

    async def _wait_until(self, is_over: Callable[[], bool]) -> None:
        """Check in each sweep, and when all is taken, whether a wait ends."""
        while not is_over():
            self._is_wait_over = is_over
            self._memory.watch(self)
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done() and self._is_wait_over():
            waiter.set_result(None)


class ProcessMemory:
    """What the process holds for all callers' connections.

    :param identify: returns who sent a request.
    :ivar budget: decides whose calls may hold more.
    :ivar cuts: number of callers that were disconnected for taking nothing.
    :ivar pauses: number of waits for room, by direction.
    """

    def __init__(
        self,
        budget: MemoryBudget,
        identify: Callable[[RequestHead], Requester],
        clock: Clock = boottime_ms,
    ) -> None:
        """Start without connections; :meth:`run` looks at them regularly."""
        self.budget = budget
        self.identify = identify
        self.cuts = 0
        self.pauses = dict.fromkeys(Direction, 0)
        self._clock = clock
        self._log = structlog.get_logger(part='memory')
        self._watched: dict[ConnectionMemory, None] = {}
        self._used_up: set[Direction] = set()
        self._swept_at_ms = clock()

    def attach(
        self, channel: Channel, stall_timeout_ms: Callable[[], float]
    ) -> ConnectionMemory:
        """Return the memory of a new connection."""
        return ConnectionMemory(self, channel, stall_timeout_ms)

    def watch(self, connection: ConnectionMemory) -> None:
        """Look at a connection in each sweep until it holds nothing."""
        self._watched[connection] = None

    def note_pause(self, direction: Direction) -> None:
        """Count a call that waits for room."""
        self.pauses[direction] += 1

    def note_cut(
        self, requester: Requester, held_bytes: int, stalled_ms: float
    ) -> None:
        """Count and log a caller that is disconnected for taking nothing."""
        self.cuts += 1
        self._log.info(
            'slow reader disconnected',
            request=requester.request_id,
            organisation=requester.caller,
            held_bytes=held_bytes,
            took_nothing_ms=int(stalled_ms),
        )

    def sweep(self) -> None:
        """Look at all connections that hold something or wait for room."""
        now_ms = self._clock()
        elapsed_ms = min(now_ms - self._swept_at_ms, MAX_SWEEP_MS)
        self._swept_at_ms = now_ms
        # Those that hold least read on first.
        watched = sorted(self._watched, key=_held_bytes)
        self._watched = {}
        for connection in watched:
            if connection.sweep(elapsed_ms):
                self.watch(connection)
        for direction in Direction:
            self._log_change(direction)

    async def run(self) -> None:
        """Sweep at regular intervals."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_MS / MS_PER_S)
            self.sweep()

    def _log_change(self, direction: Direction) -> None:
        is_used_up = self.budget.is_used_up(direction)
        if is_used_up == (direction in self._used_up):
            return
        self._used_up ^= {direction}
        self._log.info(
            'memory budget used up' if is_used_up else 'memory budget has room',
            direction=direction.value,
            held_bytes=self.budget.held_bytes(direction),
            connections=len(self._watched),
        )


def _held_bytes(connection: ConnectionMemory) -> int:
    return connection.held_bytes
