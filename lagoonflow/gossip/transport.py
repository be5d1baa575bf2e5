"""The UDP socket of one process."""

import asyncio
from collections.abc import Callable

from lagoonflow.gossip.messages import Message, decode, encode

# A datagram above the usual size of a frame is fragmented, which is allowed;
# one above this can't be sent.
LARGEST_BYTES = 60_000

Receive = Callable[[Message, str], None]


class GossipSocket(asyncio.DatagramProtocol):
    """Sends and receives messages.

    :param receive: called with each message and its sender's address.
    """

    def __init__(self, receive: Receive) -> None:
        """Prepare; ``open`` binds."""
        self.malformed = 0
        self._receive = receive
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, host: str, port: int) -> None:
        """Bind the socket.

        :raises OSError: when the address can't be used.
        """
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        self._transport = endpoint[0]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and pass it on."""
        message = decode(data)
        if message is None:
            self.malformed += 1
            return
        self._receive(message, f'{addr[0]}:{addr[1]}')

    def error_received(self, exc: Exception) -> None:
        """Ignore a datagram that found nobody; a next one follows."""

    def send(self, message: Message, address: str) -> None:
        """Send a message, without knowing whether it arrives."""
        raw = encode(message)
        if self._transport is None or len(raw) > LARGEST_BYTES:
            return
        host, _, port = address.rpartition(':')
        self._transport.sendto(raw, (host, int(port)))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
