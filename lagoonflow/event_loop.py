"""Event loops that note how long their rounds take."""

import asyncio
import selectors
import time
import weakref


class Rounds:
    """Measures the rounds of an event loop: all that it runs between two waits.

    It refers to no event loop, so that a meter of a loop may keep it.
    """

    def __init__(self) -> None:
        """Begin with a round that starts now."""
        self._longest_s: float = 0
        self._began_s = time.monotonic()

    def begin(self) -> None:
        """Note that a wait has ended."""
        self._began_s = time.monotonic()

    def end(self) -> None:
        """Note that a wait begins."""
        self._longest_s = self.longest_s()

    def longest_s(self) -> float:
        """Return the time of the longest round, with the present one, in s."""
        return max(self._longest_s, time.monotonic() - self._began_s)

    def restart(self) -> None:
        """Forget all that ran until now."""
        self._longest_s = 0
        self._began_s = time.monotonic()


class RoundSelector(selectors.DefaultSelector):
    """Waits for sockets, and notes the rounds between its waits.

    :ivar rounds: rounds of the event loop that uses the selector.
    """

    def __init__(self) -> None:
        """Begin with a round."""
        super().__init__()
        self.rounds = Rounds()

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready sockets.

        :param timeout: longest wait, in s; ``None`` for no limit.
        """
        self.rounds.end()
        ready = super().select(timeout)
        self.rounds.begin()
        return ready


_rounds: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, Rounds] = (
    weakref.WeakKeyDictionary()
)


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop whose rounds are measured."""
    selector = RoundSelector()
    loop = asyncio.SelectorEventLoop(selector)
    _rounds[loop] = selector.rounds
    return loop


def rounds_of(loop: asyncio.AbstractEventLoop) -> Rounds | None:
    """Return the rounds of a loop; ``None`` if they aren't measured."""
    return _rounds.get(loop)
