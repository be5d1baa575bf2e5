"""Closing a listening socket whose queue holds connections."""

import asyncio
import contextlib
import errno
import math
import socket
import ssl
import threading
import time

from lagoonflow.http1 import listening
from lagoonflow.http1.accepting import Acceptor


async def open_listener(protocol_factory):
    listener = socket.create_server(('127.0.0.1', 0))
    listener.setblocking(False)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(protocol_factory, sock=listener)
    return server, listener


async def test_a_silent_tls_client_does_not_hold_up_the_stop(monkeypatch):
    monkeypatch.setattr(listening, 'HANDSHAKES_MS', 50)
    server, listener = await open_listener(asyncio.Protocol)
    with socket.create_connection(listener.getsockname()) as client:
        client.settimeout(1)
        async with asyncio.timeout(1):
            await listening.stop_listening(
                server,
                listener,
                asyncio.Protocol,
                ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER),
            )
        assert await asyncio.to_thread(client.recv, 1) == b''


async def test_a_closed_listener_does_not_fail_the_stop():
    server, listener = await open_listener(asyncio.Protocol)
    server.close()
    await listening.stop_listening(server, listener, asyncio.Protocol)
    assert not server.is_serving()


async def test_a_cancelled_opening_of_a_connection_does_not_fail_the_stop(
    monkeypatch,
):
    async def cancelled(*_args, **_options):
        raise asyncio.CancelledError

    server, listener = await open_listener(asyncio.Protocol)
    loop = asyncio.get_running_loop()
    monkeypatch.setattr(loop, 'connect_accepted_socket', cancelled)
    with socket.create_connection(listener.getsockname()):
        await listening.stop_listening(server, listener, asyncio.Protocol)
    assert not server.is_serving()


def connect(address, outcomes):
    try:
        with socket.create_connection(address, timeout=5) as client:
            client.sendall(b'request')
            outcomes.append(client.recv(1))
    except OSError as error:
        outcomes.append(type(error))


async def test_a_client_that_connects_at_the_last_moment_is_not_reset(
    monkeypatch,
):
    server, listener = await open_listener(asyncio.Protocol)
    outcomes = []
    client = threading.Thread(
        target=connect, args=(listener.getsockname(), outcomes)
    )
    accept_pending = listening._accept_pending

    def accept_before_the_client(listener):
        yield from accept_pending(listener)
        client.start()
        time.sleep(0.1)

    monkeypatch.setattr(listening, '_accept_pending', accept_before_the_client)
    await listening.stop_listening(server, listener, asyncio.Protocol)
    await asyncio.to_thread(client.join)
    assert outcomes == [ConnectionRefusedError]


class ShortListener(socket.socket):
    """Accepts nothing for a time, as the process has no descriptors left."""

    short_until_s = 0.0

    def accept(self):
        if time.monotonic() < self.short_until_s:
            raise OSError(errno.EMFILE, 'Too many open files')
        return super().accept()


async def test_connections_that_wait_for_descriptors_are_not_reset_by_a_stop():
    """Their callers had sent whole requests, and got a reset."""
    listener = ShortListener()
    listener.bind(('127.0.0.1', 0))
    listener.listen(10)
    listener.setblocking(False)
    opened = []

    def open_channel(*_):
        opened.append(asyncio.Protocol())
        return opened[-1]

    acceptor = Acceptor(listener, open_channel, bool, math.isinf)
    acceptor.start()
    listener.short_until_s = time.monotonic() + 0.2
    with contextlib.ExitStack() as callers:
        for _ in range(3):
            caller = socket.create_connection(listener.getsockname())
            callers.enter_context(caller)
        await asyncio.sleep(0.05)
        assert not opened
        await listening.stop_listening(acceptor, listener, open_channel)
    assert len(opened) == 3
    await listening.stop_listening(acceptor, listener, open_channel)
