"""Values whose changes become visible after a delay."""

import time
from collections import deque
from typing import Generic, TypeVar

MS_PER_S = 1000

ValueT = TypeVar('ValueT')


class LaggedValue(Generic[ValueT]):
    """A value that readers see as it was a fixed time ago.

    :param initial: the value seen before the first change.
    :param lag_ms: delay after which readers see a change, in ms.
    """

    def __init__(self, initial: ValueT, lag_ms: float) -> None:
        self._seen = initial
        self._lag_ms = lag_ms
        self._pending: deque[tuple[float, ValueT]] = deque()

    def put(self, value: ValueT) -> None:
        """Change the value; readers see it after the lag."""
        self.get()
        self._pending.append((time.monotonic() * MS_PER_S, value))

    def get(self) -> ValueT:
        """Return the value as it was `lag_ms` ago."""
        horizon_ms = time.monotonic() * MS_PER_S - self._lag_ms
        while self._pending and self._pending[0][0] <= horizon_ms:
            self._seen = self._pending.popleft()[1]
        return self._seen
