"""An event loop whose time passes at once while all tasks wait."""

import asyncio
import selectors

from lagoonflow.clock import MS_PER_S


class _SkippingSelector(selectors.DefaultSelector):
    """Advances the time instead of waiting for it."""

    def __init__(self):
        super().__init__()
        self.now_s = 0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout:
            self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks in virtual time, for coroutines without sockets."""

    def __init__(self):
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self):
        """Return the virtual time, in s."""
        return self._skipping.now_s

    def time_ms(self):
        """Return the virtual time, in ms."""
        return self._skipping.now_s * MS_PER_S


def run_virtually(main):
    """Run ``main(loop)`` to its end in virtual time; return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main(loop))
    finally:
        loop.close()
