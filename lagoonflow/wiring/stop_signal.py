"""Stops a program gracefully on a signal, and at once on a second one."""

import asyncio
import signal

from lagoonflow.telemetry.logs import get_logger

SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignal:
    """Set by the first signal; a second signal cancels the program's task."""

    def __init__(self) -> None:
        """Start without a signal."""
        self._event = asyncio.Event()
        self._program: asyncio.Task | None = None

    def install(self) -> None:
        """Handle SIGTERM and SIGINT; call it from the program's task."""
        self._program = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in SIGNALS:
            loop.add_signal_handler(number, self.set)

    def set(self) -> None:
        """Request a graceful stop; on a repeat, cancel the program."""
        log = get_logger('program')
        if not self._event.is_set():
            log.info('Stopping gracefully.')
            self._event.set()
            return
        log.warning('Stopping at once.')
        if self._program is not None:
            self._program.cancel()

    async def wait(self) -> None:
        """Wait for the first signal."""
        await self._event.wait()
