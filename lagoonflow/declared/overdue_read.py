"""Repeats a long poll of the metadata store whose answer is overdue."""

import asyncio
import dataclasses
import functools
from collections.abc import Callable

import structlog

from lagoonflow.clock import MS_PER_S, Clock
from lagoonflow.declared.positions import Position
from lagoonflow.declared.records import (
    DEFAULT_OPTIONS,
    Answer,
    KeyedStore,
    ReadOptions,
    RecordCut,
    RecordPage,
    StoreFailure,
)

# The clocks of the store and of this host may differ by this much during one
# wait, in ms.
MAX_CLOCK_DRIFT_MS = 50
# Answers of a store that is known to be slow are overdue later, up to this
# long after the wait of their read, in ms.
MAX_OVERDUE_MS = 1500
# The same as a multiple of how late the store's last answer was.
OVERDUE_RATIO = 1.5
# An answer that is as late as this counts as lost, in ms.
LOST_MS = 3000
# A page is given up when nothing has arrived for so long after the wait of its
# read, in ms.
MAX_SILENCE_MS = 7000
# Bytes that a repetition asks for until the store has answered one: it competes
# with the answer that it repeats, which may only be late.
PROBE_BYTES = 16_384
# Reads of whole pages that may be in progress at once, all of them silent.
MAX_WHOLE_READS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class TimedAnswer:
    """An answer, and until when it is known to have been current.

    :param current_at_ms: boot time; nothing that was written until then is
        missing from the answer.
    :param is_from_router: whether another router has answered for the store.
    """

    answer: Answer
    current_at_ms: float
    is_from_router: bool = False

    @property
    def is_usable(self) -> bool:
        """Whether the store has answered with what was asked for."""
        return not isinstance(self.answer, StoreFailure | RecordCut)


class OverdueRead:
    """Reads a topic; an overdue read is repeated beside those before it.

    The first usable answer is returned, so that one lost or late answer delays
    the reader only by ``overdue_ms``. Only one read transfers a page: one whose
    bytes arrive ends those that have received fewer, and is overdue again only
    once its bytes stop arriving.

    :param overdue_ms: time beyond the wait of a read after which its answer is
        overdue, in ms; longer while the store is slow.
    :param stalled_ms: returns for how long this process stood still so far;
        that is not silence of the store.
    """

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        overdue_ms: float,
        clock: Clock,
        stalled_ms: Callable[[], float] = float,
    ) -> None:
        """Begin nothing yet."""
        self._stalled_ms = stalled_ms
        self._store = store
        self._topic = topic
        self._overdue_ms = overdue_ms
        self._clock = clock
        self._late_ms: float = 0
        # Grows to the longest record that was seen.
        self._max_bytes = DEFAULT_OPTIONS.max_bytes

    async def read(
        self,
        position: Position,
        wait_ms: int,
        max_replaced_bytes: float = DEFAULT_OPTIONS.max_replaced_bytes,
    ) -> TimedAnswer:
        """Return the records from a position on.

        :param wait_ms: longest time to wait for the first record, in ms.
        :param max_replaced_bytes: as in :class:`ReadOptions`.
        """
        whole = ReadOptions(LOST_MS, self._max_bytes, max_replaced_bytes)
        race = _Race(
            self._store,
            self._topic,
            position,
            whole,
            self._clock,
            self._stalled_ms,
        )
        overdue_ms = min(
            max(self._late_ms * OVERDUE_RATIO, self._overdue_ms), MAX_OVERDUE_MS
        )
        race.begin(wait_ms)
        try:
            found = await race.run(overdue_ms)
        finally:
            await race.end()
        self._max_bytes = race.max_bytes
        if found.is_usable:
            self._late_ms = race.late_ms
        return found


@dataclasses.dataclass(eq=False, slots=True)
class _Read:
    """One request to the store.

    :ivar due_at_ms: time without stalls at which its wait ends.
    :ivar arrived_bytes: bytes of its answer that have arrived.
    """

    begun_at_ms: float
    due_at_ms: float
    is_whole: bool
    arrived_bytes: int = 0
    task: asyncio.Task[TimedAnswer] | None = None


class _Race:
    """Reads of the same page, of which one is used.

    :ivar late_ms: how late the used answer was, where that is known.
    :ivar max_bytes: bytes that the reads of the whole page ask for.
    """

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        position: Position,
        options: ReadOptions,
        clock: Clock,
        stalled_ms: Callable[[], float],
    ) -> None:
        self._store = store
        self._topic = topic
        self._position = position
        self._options = options
        self._clock = clock
        self._stalled_ms = stalled_ms
        self._reads: list[_Read] = []
        self._progressed_at_ms = float('-inf')
        self._failure = StoreFailure('no answer')
        self._log = structlog.get_logger(part='store')
        self.max_bytes = options.max_bytes
        self.late_ms: float = 0

    def begin(self, wait_ms: int, *, is_whole: bool = True) -> None:
        """Begin a read."""
        now_ms = self._running_ms()
        read = _Read(now_ms, now_ms + wait_ms, is_whole)
        on_progress = functools.partial(self._note_progress, read)
        options = dataclasses.replace(
            self._options,
            max_bytes=self.max_bytes if is_whole else PROBE_BYTES,
            on_progress=on_progress if is_whole else None,
        )
        read.task = asyncio.create_task(
            read_timed(
                self._store,
                self._topic,
                self._position,
                wait_ms,
                self._clock,
                options,
            )
        )
        self._reads.append(read)

    async def run(self, overdue_ms: float) -> TimedAnswer:
        """Return the first usable answer; repeat the read while it is late."""
        silent_from_ms = self._reads[0].due_at_ms
        overdue_at_ms = silent_from_ms + overdue_ms
        while (
            self._reads and self._running_ms() < silent_from_ms + MAX_SILENCE_MS
        ):
            answered = await self._wait_until(overdue_at_ms)
            found = self._find_usable(answered)
            if found is not None:
                return found
            overdue_at_ms = self._repeat_if_overdue(overdue_at_ms, overdue_ms)
            silent_from_ms = max(silent_from_ms, self._progressed_at_ms)
        self._log.info(
            'read given up',
            topic=self._topic,
            reads=len(self._reads),
            reason=self._failure.reason,
        )
        return TimedAnswer(self._failure, float('-inf'))

    async def end(self) -> None:
        """Cancel the reads that are still in progress."""
        tasks = [read.task for read in self._reads]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _running_ms(self) -> float:
        return self._clock() - self._stalled_ms()

    async def _wait_until(self, until_ms: float) -> list[_Read]:
        """Wait for an answer; return the reads that have one."""
        await asyncio.wait(
            [read.task for read in self._reads],
            timeout=max(until_ms - self._running_ms(), 0) / MS_PER_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        done = [read for read in self._reads if read.task.done()]
        self._reads = [read for read in self._reads if not read.task.done()]
        return [read for read in done if not read.task.cancelled()]

    def _find_usable(self, answered: list[_Read]) -> TimedAnswer | None:
        """Return a usable answer; go on by what the other answers tell."""
        for read in answered:
            timed = read.task.result()
            match timed.answer:
                case RecordCut():
                    self._note_cut(read, timed.answer)
                case StoreFailure():
                    self._failure = timed.answer
                case _:
                    self._note_lateness(read, timed)
                    return timed
        return None

    def _repeat_if_overdue(
        self, overdue_at_ms: float, overdue_ms: float
    ) -> float:
        """Ask again if nothing arrives; return when to look again, in ms."""
        now_ms = self._running_ms()
        if now_ms < self._progressed_at_ms + overdue_ms:
            return self._progressed_at_ms + overdue_ms
        if not self._reads or now_ms < overdue_at_ms:
            return overdue_at_ms
        self.begin(0, is_whole=False)
        return overdue_at_ms + overdue_ms

    def _note_progress(self, read: _Read, arrived_bytes: int) -> None:
        """End other reads, which would transfer the same bytes.

        One that has received more may only have paused.
        """
        self._progressed_at_ms = self._running_ms()
        read.arrived_bytes = arrived_bytes
        for other in self._reads:
            if other is not read and other.arrived_bytes <= arrived_bytes:
                other.task.cancel()

    def _note_cut(self, read: _Read, cut: RecordCut) -> None:
        """Read the whole page, unless a read of it began after this one.

        An earlier one may have lost its answer, as the store answers by now.
        """
        self.max_bytes = max(self.max_bytes, cut.needed_bytes)
        whole = [one for one in self._reads if one.is_whole]
        is_newest = all(one.begun_at_ms <= read.begun_at_ms for one in whole)
        if is_newest and len(whole) < MAX_WHOLE_READS:
            self.begin(0)

    def _note_lateness(self, read: _Read, timed: TimedAnswer) -> None:
        has_records = (
            isinstance(timed.answer, RecordPage) and timed.answer.records
        )
        if not has_records:
            self.late_ms = max(self._running_ms() - read.due_at_ms, 0)


async def read_timed(
    store: KeyedStore,
    topic: str,
    position: Position,
    wait_ms: int,
    clock: Clock,
    options: ReadOptions = DEFAULT_OPTIONS,
) -> TimedAnswer:
    """Read a topic from a position on.

    The store answers as soon as there is a record, so an answer without any
    proves that none was written until its wait ended. An answer that comes
    before that proves nothing after the request.
    """
    requested_at_ms = clock()
    answer = await store.read(topic, position, wait_ms, options)
    has_waited = clock() - requested_at_ms >= wait_ms
    if has_waited and isinstance(answer, RecordPage) and not answer.records:
        waited_ms = max(wait_ms - MAX_CLOCK_DRIFT_MS, 0)
        return TimedAnswer(answer, requested_at_ms + waited_ms)
    return TimedAnswer(answer, requested_at_ms)
