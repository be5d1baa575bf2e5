"""UDP socket for the messages of one process."""

import asyncio
from collections.abc import Callable

import structlog

from lagoonflow.gossip.messages import Message, decode, encode

# Largest encoded message that is sent, in bytes; larger ones are dropped. One
# UDP datagram can't hold much more. Datagrams larger than a network frame are
# fragmented by the network stack.
MAX_DATAGRAM_BYTES = 60_000
# Addresses are logged up to this length.
MAX_LOGGED_TEXT = 80

OnMessage = Callable[[Message, str], None]


class GossipSocket(asyncio.DatagramProtocol):
    """Sends and receives messages.

    :ivar malformed: number of datagrams that could not be decoded.
    :param on_message: called with each message and its sender's address.
    """

    def __init__(self, on_message: OnMessage) -> None:
        """Create the socket unbound; ``open`` binds it."""
        self.malformed = 0
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None
        self._log = structlog.get_logger(part='gossip')

    async def open(self, host: str, port: int) -> None:
        """Bind the socket to an address.

        :raises OSError: if the address can't be used.
        """
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        self._transport = endpoint[0]

    @property
    def port(self) -> int:
        """Port that the open socket is bound to."""
        return self._transport.get_extra_info('sockname')[1]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a decoded message on; count malformed ones."""
        message = decode(data)
        if message is None:
            self.malformed += 1
            return
        self._on_message(message, f'{addr[0]}:{addr[1]}')

    def error_received(self, exc: Exception) -> None:
        """Ignore an undeliverable datagram; the next message replaces it."""

    def send(self, message: Message, address: str) -> None:
        """Send a message; delivery is not confirmed.

        One that can't be encoded or sent is logged and dropped, so that it
        doesn't hold up those that follow.
        """
        if self._transport is None:
            return
        try:
            raw = encode(message)
            if len(raw) <= MAX_DATAGRAM_BYTES:
                host, _, port = address.rpartition(':')
                self._transport.sendto(raw, (host, int(port)))
        except (OSError, ValueError, OverflowError) as error:
            self._log.warning(
                'datagram not sent',
                to=address[:MAX_LOGGED_TEXT],
                kind=type(message).__name__,
                why=str(error),
            )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
