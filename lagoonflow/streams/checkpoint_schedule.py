"""Decides when a process appends a checkpoint."""

import random


class CheckpointSchedule:
    """Schedules checkpoints so that few processes append one simultaneously.

    After each checkpoint in the stream every process draws a new random
    time, between one and two intervals later. The process with the earliest
    time appends a checkpoint, after which the others draw again.

    :param interval_ms: shortest time between two checkpoints, in ms; at most
        a quarter of the log's retention.
    """

    def __init__(
        self, rng: random.Random, interval_ms: int, now_ms: int
    ) -> None:
        self._rng = rng
        self._interval_ms = interval_ms
        self._due_ms = now_ms
        self.restart(now_ms)

    def restart(self, now_ms: int) -> None:
        """Draw a new time for the next checkpoint."""
        factor = 1 + self._rng.random()
        self._due_ms = now_ms + round(self._interval_ms * factor)

    def bring_forward(self, now_ms: int, within_ms: int) -> None:
        """Make the next checkpoint due within this time, in ms."""
        if self.remaining_ms(now_ms) > within_ms:
            self._due_ms = now_ms + round(within_ms * self._rng.random())

    def remaining_ms(self, now_ms: int) -> int:
        """Return the time until the next checkpoint is due, in ms."""
        return max(0, self._due_ms - now_ms)

    def is_due(self, now_ms: int) -> bool:
        """Tell whether a checkpoint should be appended now."""
        return now_ms >= self._due_ms
