"""Closes listening sockets without a reset of the connections of their queues."""

import asyncio
import ctypes
import socket
import ssl
import struct
from collections.abc import Callable, Iterator

import structlog

from lagoonflow.clock import MS_PER_S
from lagoonflow.http1.accepting import Acceptor

# The first requests of the last connections to be accepted are still in transit
# for this long, in ms.
LAST_REQUESTS_MS = 100
# Longest time for the TLS handshakes of the last connections, in ms.
HANDSHAKES_MS = 1000
# Longest time for the last connections while descriptors are short, in ms. Most
# are refused and closed again within some hundred ms.
SHORTAGE_MS = 1000
# Socket option of Linux that the standard library doesn't name.
SO_ATTACH_FILTER = 26
# Classic BPF program that drops the segments that open a connection (SYN without
# ACK) and passes all others: code, jumps if true and false, operand.
_DROP_OPENINGS = (
    (0x30, 0, 0, 13),  # load the byte of the TCP flags
    (0x54, 0, 0, 0x12),  # keep SYN and ACK
    (0x15, 0, 1, 0x2),  # is SYN the only one?
    (0x6, 0, 0, 0),  # drop
    (0x6, 0, 0, 0xFFFFFFFF),  # pass
)
_LOG = structlog.get_logger(part='http')


async def stop_listening(
    server: asyncio.Server | Acceptor,
    listener: socket.socket,
    protocol_factory: Callable[[], asyncio.BaseProtocol],
    tls: ssl.SSLContext | None = None,
) -> None:
    """Close a listening socket, then wait for the requests sent before.

    Closing it resets the connections that the kernel has accepted and the
    process has not, so these are accepted first. Clients that connect meanwhile
    are refused when they repeat the first segment, after it is closed.

    :param listener: the only socket of the server, in non-blocking mode.
    :param protocol_factory: creates the protocol of a connection.
    :param tls: context of the server; None for plain TCP.
    """
    _drop_openings(listener)
    if isinstance(server, Acceptor):
        await server.accept_queue(SHORTAGE_MS)
    pending = list(_accept_pending(listener))
    server.close()
    loop = asyncio.get_running_loop()
    openings = [
        loop.create_task(
            loop.connect_accepted_socket(protocol_factory, accepted, ssl=tls)
        )
        for accepted in pending
    ]
    await _finish(openings)
    await asyncio.sleep(LAST_REQUESTS_MS / MS_PER_S)


def _drop_openings(listener: socket.socket) -> None:
    """Have the kernel accept no more connections.

    Connections that are accepted later inherit the filter; it passes all of
    their segments.
    """
    instructions = [struct.pack('HBBI', *one) for one in _DROP_OPENINGS]
    program = ctypes.create_string_buffer(b''.join(instructions))
    option = struct.pack('HP', len(instructions), ctypes.addressof(program))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, option)
    except OSError as error:
        _LOG.warning('last connections may be reset', why=str(error))


async def _finish(openings: list[asyncio.Task[object]]) -> None:
    if not openings:
        return
    done, late = await asyncio.wait(openings, timeout=HANDSHAKES_MS / MS_PER_S)
    for opening in late:
        opening.cancel()
    for opening in done:
        if opening.cancelled():
            _LOG.warning('connection not opened', why='cancelled')
        elif opening.exception() is not None:
            _LOG.warning('connection not opened', why=repr(opening.exception()))


def _accept_pending(listener: socket.socket) -> Iterator[socket.socket]:
    while True:
        try:
            accepted, _ = listener.accept()
        except ConnectionAbortedError:
            continue
        except BlockingIOError:
            return
        except OSError as error:
            _LOG.warning('connections not accepted', why=str(error))
            return
        accepted.setblocking(False)
        yield accepted
