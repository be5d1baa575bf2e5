"""Decides when a follower reads, pulls, skips a gap or appends a checkpoint."""

import dataclasses
import random

from lagoonflow.clients.messages.common import Unavailable
from lagoonflow.clients.messages.log import Batch, Expired, ReadResult
from lagoonflow.streams.backoff import Backoff
from lagoonflow.streams.checkpoint_schedule import CheckpointSchedule
from lagoonflow.streams.fold import FoldBase
from lagoonflow.streams.stream_reader import StreamReader

MAX_READ_RECORDS = 1000
LIMIT_FACTOR = 4


@dataclasses.dataclass(frozen=True, slots=True)
class FollowerSettings:
    """Time limits and intervals of a follower.

    :param wait_ms: longest time that the log service delays the answer to a
        read when there are no records, in ms.
    :param answer_margin_ms: time that the answer may take beyond `wait_ms`,
        in ms.
    :param skip_gap_after_ms: shortest wait for a checkpoint before a process
        continues with its own state and a gap in it, in ms; jitter makes the
        wait up to twice as long.
    :param start_empty_after_ms: shortest further wait of a process without
        any state before it starts with an empty one, in ms; jitter makes the
        wait up to twice as long.
    :param checkpoint_interval_ms: shortest time between two checkpoints, in
        ms; at most a quarter of the log's retention.
    :param republish_within_ms: time within which some process appends a
        checkpoint when the log has none left, or after it has skipped a gap,
        in ms.
    """

    wait_ms: int = 3_000
    answer_margin_ms: int = 2_000
    skip_gap_after_ms: int = 2_000
    start_empty_after_ms: int = 30_000
    checkpoint_interval_ms: int = 120_000
    republish_within_ms: int = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """The next read of the log.

    :param wait_ms: how long to wait when there are no records, in ms.
    :param limit: largest number of records to read.
    """

    offset: int
    wait_ms: int
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """Wait this long before the next read."""

    duration_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendPullRequest:
    """Request the missing records from a peer."""


@dataclasses.dataclass(frozen=True, slots=True)
class AppendCheckpoint:
    """Append a checkpoint of the state."""


FollowAction = Pause | SendPullRequest | AppendCheckpoint


class FollowerLogic:
    """Keeps a fold up to date, and a checkpoint of it in the log.

    :param fold: the state of the stream.
    :param rng: source of the jitter in all delays.
    """

    def __init__(
        self,
        fold: FoldBase,
        rng: random.Random,
        settings: FollowerSettings,
        now_ms: int,
    ) -> None:
        self.is_log_available = False
        self.reader = StreamReader(fold)
        self._fold = fold
        self._rng = rng
        self._settings = settings
        self._backoff = Backoff(rng)
        self._schedule = CheckpointSchedule(
            rng, settings.checkpoint_interval_ms, now_ms
        )
        self._last_checkpoint_offset = -1
        self._skip_gap_at_ms: int | None = None
        self._may_start_empty = False
        self._limit = MAX_READ_RECORDS

    def next_read(self, now_ms: int) -> Read:
        """Return the next read of the log."""
        wait_ms = min(
            self._settings.wait_ms, self._schedule.remaining_ms(now_ms)
        )
        if self._skip_gap_at_ms is not None:
            remaining_ms = max(0, self._skip_gap_at_ms - now_ms)
            wait_ms = min(wait_ms, remaining_ms)
        if not self.is_log_available:
            wait_ms = 0
        return Read(self.reader.next_read(), wait_ms, self._limit)

    def on_read(
        self, now_ms: int, result: ReadResult
    ) -> tuple[FollowAction, ...]:
        """Process the answer to a read; return what to do before the next."""
        self.is_log_available = not isinstance(result, Unavailable)
        match result:
            case Unavailable():
                # An answer with large records may be too long to accept, which
                # is reported as Unavailable too, so request fewer records.
                self._limit = max(1, self._limit // LIMIT_FACTOR)
                return (SendPullRequest(), Pause(self._backoff.next_wait_ms()))
            case Expired():
                self.reader.on_expired(result)
            case Batch():
                self.reader.on_batch(result)
                self._observe_checkpoint(now_ms, result.earliest)
        self._backoff.reset()
        self._limit = min(MAX_READ_RECORDS, self._limit * LIMIT_FACTOR)
        return (
            *self._handle_gap(now_ms),
            *self._append_checkpoint_if_due(now_ms),
        )

    def _observe_checkpoint(self, now_ms: int, earliest: int) -> None:
        newest_offset = self._fold.last_checkpoint_offset
        if newest_offset != self._last_checkpoint_offset:
            self._last_checkpoint_offset = newest_offset
            self._schedule.restart(now_ms)
        if max(0, newest_offset) < earliest:
            self._schedule.bring_forward(
                now_ms, self._settings.republish_within_ms
            )

    def _handle_gap(self, now_ms: int) -> tuple[FollowAction, ...]:
        if not self.reader.is_waiting_for_checkpoint:
            self._skip_gap_at_ms = None
            self._may_start_empty = False
            return ()
        if not self.reader.is_at_head:
            return ()
        if self._skip_gap_at_ms is None:
            self._set_skip_time(now_ms, self._settings.skip_gap_after_ms)
            return (SendPullRequest(),)
        if now_ms >= self._skip_gap_at_ms:
            self._skip_gap(now_ms)
        return ()

    def _skip_gap(self, now_ms: int) -> None:
        if self.reader.skip_gap(may_be_empty=self._may_start_empty):
            self._schedule.bring_forward(
                now_ms, self._settings.republish_within_ms
            )
            return
        # Wait once more before starting empty. Any process that has the state
        # would append a checkpoint long before that time.
        self._may_start_empty = True
        self._set_skip_time(now_ms, self._settings.start_empty_after_ms)

    def _set_skip_time(self, now_ms: int, wait_ms: int) -> None:
        factor = 1 + self._rng.random()
        self._skip_gap_at_ms = now_ms + round(wait_ms * factor)

    def _append_checkpoint_if_due(
        self, now_ms: int
    ) -> tuple[FollowAction, ...]:
        if self.reader.is_waiting_for_checkpoint or not self.reader.is_at_head:
            return ()
        if not self._fold.next_offset or not self._schedule.is_due(now_ms):
            return ()
        self._schedule.restart(now_ms)
        return (AppendCheckpoint(),)
