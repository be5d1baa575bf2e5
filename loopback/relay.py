"""A TCP relay in a thread, which can delay, drop or cut connections."""

import asyncio
import contextlib
import threading
from collections.abc import Callable

READ_BYTES = 64 * 1024
START_TIMEOUT_S = 5


class _Link:
    """A relayed connection.

    :ivar is_silent: whether bytes are dropped in both directions.
    :ivar drops_answers: whether bytes from the target are dropped.
    """

    def __init__(
        self,
        client_writer: asyncio.StreamWriter,
        target_writer: asyncio.StreamWriter,
    ) -> None:
        self.is_silent = False
        self.drops_answers = False
        self._writers = (client_writer, target_writer)

    def cut(self) -> None:
        for writer in self._writers:
            writer.transport.abort()


class Relay:
    """Relays TCP connections from clients to a target.

    :param target: `IP:port` behind the relay.
    :param listen: `IP:port` to bind; a free port of loopback by default.
    :ivar delay_s: delay of each chunk that is passed on, in seconds.
    """

    def __init__(self, target: str, listen: str = '127.0.0.1:0') -> None:
        host, _, port = target.rpartition(':')
        self._target = (host, int(port))
        self._listen = listen
        self.delay_s: float = 0
        self._links: set[_Link] = set()
        self._accepted = 0
        self._refuses_new = False
        self._silences_new = False
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self._stop = asyncio.Event()
        self.address = ''
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        if not self._ready.wait(START_TIMEOUT_S):
            raise TimeoutError('the relay did not start in time')

    @property
    def accepted(self) -> int:
        """Return how many connections the relay has accepted so far."""
        return self._accepted

    @property
    def open_links(self) -> int:
        """Return how many connections are open."""
        return len(self._links)

    def silence_open(self) -> None:
        """Drop all further bytes of the connections that are open now.

        They stay open, and `heal` does not make them work again.
        """
        self._run_in_loop(self._silence_open)

    def silence_answers(self) -> None:
        """Drop what the target sends on the connections that are open now."""
        self._run_in_loop(self._drop_answers_of_open)

    def silence_all(self) -> None:
        """Drop all further bytes of open and of new connections."""
        self._silences_new = True
        self.silence_open()

    def cut_all(self) -> None:
        """Reset all open connections and refuse new ones."""
        self._refuses_new = True
        self._run_in_loop(self._cut_open)

    def cut_open(self) -> None:
        """Reset all open connections; new ones still work."""
        self._run_in_loop(self._cut_open)

    def heal(self) -> None:
        """Accept new connections and pass on their bytes again."""
        self._refuses_new = False
        self._silences_new = False

    def close(self) -> None:
        """Close the relay and its connections."""
        if self._thread.is_alive():
            self._loop.call_soon_threadsafe(self._stop.set)
            self._thread.join(START_TIMEOUT_S)

    def _run_in_loop(self, action: Callable[[], None]) -> None:
        """Run an action in the thread of the relay and wait for its end."""
        done = threading.Event()

        def run() -> None:
            action()
            done.set()

        self._loop.call_soon_threadsafe(run)
        if not done.wait(START_TIMEOUT_S):
            raise TimeoutError('the relay did not run the action in time')

    def _silence_open(self) -> None:
        for link in self._links:
            link.is_silent = True

    def _drop_answers_of_open(self) -> None:
        for link in self._links:
            link.drops_answers = True

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
            self._handle_connection, listen_host, int(listen_port)
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

    async def _handle_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._accepted += 1
        if self._refuses_new:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        link = _Link(writer, target_writer)
        link.is_silent = self._silences_new
        self._links.add(link)
        try:
            # Python 3.11 logs a cancelled handler as an error.
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(
                    self._copy(link, reader, target_writer, is_answer=False),
                    self._copy(link, target_reader, writer, is_answer=True),
                )
        finally:
            self._links.discard(link)
            link.cut()

    async def _copy(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        """Copy bytes until the end of the stream, unless they are dropped."""
        with contextlib.suppress(OSError):
            while chunk := await reader.read(READ_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if not link.is_silent and not (
                    is_answer and link.drops_answers
                ):
                    writer.write(chunk)
                    await writer.drain()
            if not link.is_silent and writer.can_write_eof():
                writer.write_eof()
