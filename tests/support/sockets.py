"""Endings of TCP connections."""

import asyncio
import socket
import struct

_NO_LINGER = struct.pack('ii', 1, 0)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    raw = writer.get_extra_info('socket')
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.transport.abort()
