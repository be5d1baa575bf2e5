"""A TCP relay in a thread whose open connections can go silent."""

import asyncio
import contextlib
import threading
from collections.abc import Callable

READ_BYTES = 64 * 1024
START_TIMEOUT_S = 5


class _Link:
    """One relayed connection."""

    def __init__(
        self,
        inner: asyncio.StreamWriter,
        outer: asyncio.StreamWriter,
    ) -> None:
        self.is_silent = False
        self.is_deaf = False
        self._writers = (inner, outer)

    def cut(self) -> None:
        for writer in self._writers:
            writer.transport.abort()


class Relay:
    """Passes bytes between callers and a target.

    :param target: `IP:port` behind the relay.
    :param listen: `IP:port` to bind; a free port of loopback by default.
    :ivar delay_s: how long each piece is held back.
    """

    def __init__(self, target: str, listen: str = '127.0.0.1:0') -> None:
        host, _, port = target.rpartition(':')
        self._target = (host, int(port))
        self._listen = listen
        self.delay_s: float = 0
        self._links: set[_Link] = set()
        self._accepted = 0
        self._refuses = False
        self._silences_new = False
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self._stop = asyncio.Event()
        self.address = ''
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        if not self._ready.wait(START_TIMEOUT_S):
            raise TimeoutError('the relay did not start')

    @property
    def accepted(self) -> int:
        """Return how many connections were accepted so far."""
        return self._accepted

    @property
    def open_links(self) -> int:
        """Return how many connections are open."""
        return len(self._links)

    def silence_open(self) -> None:
        """Lose all bytes of the connections that are open now, for good."""
        self._call(self._silence_open)

    def silence_answers(self) -> None:
        """Lose what comes back on the connections that are open now."""
        self._call(self._deafen_open)

    def silence_all(self) -> None:
        """Lose all bytes of open and of new connections."""
        self._silences_new = True
        self.silence_open()

    def cut_all(self) -> None:
        """Reset all open connections and refuse new ones."""
        self._refuses = True
        self._call(self._cut_open)

    def cut_open(self) -> None:
        """Reset all open connections; new ones work."""
        self._call(self._cut_open)

    def heal(self) -> None:
        """Let new connections work again."""
        self._refuses = False
        self._silences_new = False

    def close(self) -> None:
        """Close the relay and its connections."""
        if self._thread.is_alive():
            self._loop.call_soon_threadsafe(self._stop.set)
            self._thread.join(START_TIMEOUT_S)

    def _call(self, action: Callable[[], None]) -> None:
        """Run an action in the thread of the relay and wait for it."""
        done = threading.Event()

        def run() -> None:
            action()
            done.set()

        self._loop.call_soon_threadsafe(run)
        if not done.wait(START_TIMEOUT_S):
            raise TimeoutError('the relay does not answer')

    def _silence_open(self) -> None:
        for link in self._links:
            link.is_silent = True

    def _deafen_open(self) -> None:
        for link in self._links:
            link.is_deaf = True

    def _cut_open(self) -> None:
        for link in list(self._links):
            link.cut()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        try:
            self._loop.run_until_complete(self._serve())
        finally:
            self._loop.close()

    async def _serve(self) -> None:
        listen_host, _, listen_port = self._listen.rpartition(':')
        server = await asyncio.start_server(
            self._accept, listen_host, int(listen_port)
        )
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        self._ready.set()
        await self._stop.wait()
        server.close()
        self._cut_open()
        handlers = asyncio.all_tasks() - {asyncio.current_task()}
        for handler in handlers:
            handler.cancel()
        await asyncio.gather(*handlers, return_exceptions=True)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._accepted += 1
        if self._refuses:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        link = _Link(writer, far_writer)
        link.is_silent = self._silences_new
        self._links.add(link)
        try:
            # Python 3.11 logs a cancelled handler as an error.
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(
                    self._pump(link, reader, far_writer, is_answer=False),
                    self._pump(link, far_reader, writer, is_answer=True),
                )
        finally:
            self._links.discard(link)
            link.cut()

    async def _pump(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        """Pass bytes on until the end; a silent link passes nothing on."""
        with contextlib.suppress(OSError):
            while piece := await reader.read(READ_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if not link.is_silent and not (is_answer and link.is_deaf):
                    writer.write(piece)
                    await writer.drain()
            if not link.is_silent and writer.can_write_eof():
                writer.write_eof()
