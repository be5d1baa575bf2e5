"""Limits on the gRPC messages that a program receives."""

from collections.abc import Awaitable, Callable
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError

from lagoonflow.http1.body_memory import FREE_BYTES, MEMORY, reserve_part
from lagoonflow.http1.messages import ExchangeError

# Longest message: an answer of 8 MB, with its headers.
MAX_MESSAGE_BYTES = 9_437_184


def limit_messages(stream: Any) -> None:
    """Make a grpclib stream reject messages that are too long.

    Long messages share their memory with the bodies of HTTP answers. grpclib
    itself accepts messages of up to 4 GB.

    :param stream: stream of a client or a server, once its request was sent or
        received.
    """
    # Both kinds of streams read through this HTTP/2 stream.
    inner = stream._stream  # noqa: SLF001, WPS437
    inner.recv_data = _BoundedReader(inner.recv_data)


class _BoundedReader:
    """Reads the bytes of a message in parts, within the limits."""

    def __init__(self, read: Callable[[int], Awaitable[bytes]]) -> None:
        self._read = read

    async def __call__(self, size: int) -> bytes:
        """Return so many bytes.

        :raises GRPCError: when the message is too long, or when long messages
            already use all memory.
        :raises ProtocolError: when the stream ends within the message.
        """
        if size > MAX_MESSAGE_BYTES:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, 'message is too long')
        if size <= FREE_BYTES:
            return await self._read(size)
        try:
            return await self._read_long(size)
        except ExchangeError as error:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, str(error)) from error

    async def _read_long(self, size: int) -> bytes:
        pieces = bytearray()
        reserved_bytes = 0
        try:
            while len(pieces) < size:
                part = await self._read(min(size - len(pieces), FREE_BYTES))
                if not part:
                    raise ProtocolError('message cut off')
                pieces += part
                reserved_bytes += reserve_part(len(pieces), len(part))
            return bytes(pieces)
        finally:
            MEMORY.give_back(reserved_bytes)
