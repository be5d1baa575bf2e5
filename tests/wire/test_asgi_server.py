"""Stop of a server of ASGI applications beside callers that connect."""

import asyncio
import socket
import threading
import time

from lagoonflow.wire.address import Address
from lagoonflow.wire.asgi_server import AsgiServer, bind

GET = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
BLOCKED_S = 0.03
CALLERS = 4


async def answer(_scope, _receive, send):
    headers = [(b'content-length', b'4')]
    await send(
        {'type': 'http.response.start', 'status': 200, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': b'fine'})


def call_until_refused(address, outcomes):
    while True:
        try:
            caller = socket.create_connection(address, timeout=5)
        except ConnectionRefusedError:
            return
        except OSError as error:
            outcomes.append(repr(error))
            return
        with caller:
            try:
                caller.sendall(GET)
                outcomes.append(read_answer(caller))
            except OSError as error:
                outcomes.append(repr(error))


def read_answer(caller):
    raw = b''
    while not raw.endswith(b'fine'):
        received = caller.recv(4096)
        if not received:
            return f'cut after {len(raw)} bytes'
        raw += received
    return 'whole'


async def block_loop():
    """Keep the event loop as busy as one with many connections."""
    while True:
        time.sleep(BLOCKED_S)  # noqa: ASYNC251
        await asyncio.sleep(0)


async def test_a_stop_answers_or_refuses_callers_that_connect_meanwhile():
    server = AsgiServer(answer, bind(Address('127.0.0.1', 0)))
    await server.start()
    address = server.address
    await asyncio.sleep(0.2)
    blocking = asyncio.create_task(block_loop())
    outcomes = []
    callers = [
        threading.Thread(
            target=call_until_refused,
            args=((address.host, address.port), outcomes),
        )
        for _ in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    await asyncio.sleep(0.3)
    await server.stop()
    blocking.cancel()
    for caller in callers:
        await asyncio.to_thread(caller.join)
    assert set(outcomes) == {'whole'}, outcomes
