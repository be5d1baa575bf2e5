"""Options of the sockets of connections."""

import asyncio
import socket
import struct

# Sizes of the kernel's buffers for the connections of a process whose memory is
# bounded. The kernel doubles them; unbounded ones grow to some MB for each peer
# that reads slowly.
KERNEL_BUFFER_BYTES = 32_768
# SO_LINGER with a time of 0 s: closing the socket sends a TCP reset.
_NO_LINGER = struct.pack('ii', 1, 0)
_DEFAULT_LINGER = struct.pack('ii', 0, 0)


def limit_kernel_buffers(transport: asyncio.BaseTransport) -> None:
    """Bound the bytes that the kernel holds for a connection."""
    raw = transport.get_extra_info('socket')
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        raw.setsockopt(socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES)


def end_by_reset(transport: asyncio.BaseTransport) -> None:
    """Let a TCP reset end an open connection, however it is closed.

    The kernel does so, too, when this process is killed.
    """
    _set_linger(transport, _NO_LINGER)


def end_in_order(transport: asyncio.BaseTransport) -> None:
    """Let an open connection end in order again when it is closed."""
    _set_linger(transport, _DEFAULT_LINGER)


def _set_linger(transport: asyncio.BaseTransport, linger: bytes) -> None:
    raw = transport.get_extra_info('socket')
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
