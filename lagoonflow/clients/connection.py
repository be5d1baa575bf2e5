"""Connections that carry one request each."""

import asyncio
import contextvars
import dataclasses
from typing import Any

from aiosonic.connection import Connection
from aiosonic.exceptions import ConnectionDisconnected

CONNECT_TIMEOUT_S = 1
LINE_END = b'\n'


@dataclasses.dataclass(slots=True)
class SendState:
    """Tells whether any byte of a request has been handed to a socket."""

    was_sent: bool = False


send_state: contextvars.ContextVar[SendState] = contextvars.ContextVar(
    'send_state',
)


class OneRequestConnection(Connection):
    """A connection that is closed after its request.

    A kept connection of aiosonic 1.3.3 returns to the pool when its request
    is cancelled or times out, and the next request reads the late answer.
    """

    def keep_alive(self) -> None:
        """Ignore that the server would keep the connection open."""
        self.keep = False

    async def connect(self, *args: Any, **kwargs: Any) -> None:
        """Connect within the connect timeout.

        :raises TimeoutError: when the server does not answer in time.
        """
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await super().connect(*args, **kwargs)

    async def readline(self) -> bytes:
        """Read a whole line.

        :raises ConnectionDisconnected: when the connection ends before it;
            the library would take the rest for a whole line.
        """
        line = await super().readline()
        if not line.endswith(LINE_END):
            raise ConnectionDisconnected('answer cut short')
        return line

    def write(self, data: bytes) -> None:
        """Write bytes, and note that the server may see them."""
        state = send_state.get(None)
        if state is not None:
            state.was_sent = True
        super().write(data)
