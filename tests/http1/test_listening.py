"""Closing a listening socket whose queue holds connections."""

import asyncio
import socket
import ssl

from lagoonflow.http1 import listening


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
