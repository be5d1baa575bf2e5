"""Tests of answers in many parts that have arrived as their time ends."""

import asyncio
import socket
import time

import pytest

from lagoonflow.http1.client import ConnectionPool, send_request
from lagoonflow.http1.messages import ExchangeError, RequestHead

HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
PART = b'1\r\nx\r\n'
LIMIT_MS = 100
# The answer arrives this long before the limit.
EARLIER_MS = 8


class Exchange:
    """One request with a time limit to a server of the test."""

    def __init__(self):
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._listener.setblocking(False)
        host, port = self._listener.getsockname()
        self._pool = ConnectionPool(f'{host}:{port}')

    async def begin(self):
        head = RequestHead(b'GET', b'/x', ((b'host', b'h'),))
        self.request = asyncio.create_task(
            send_request(self._pool, head, b'', LIMIT_MS)
        )
        loop = asyncio.get_running_loop()
        self.server, _ = await loop.sock_accept(self._listener)
        await loop.sock_recv(self.server, 1000)

    def close(self):
        for one in (self.server, self._listener, self._pool):
            one.close()


@pytest.mark.parametrize('parts', [100, 1000, 10_000])
async def test_parts_that_arrive_as_their_time_ends_are_all_received(parts):
    exchange = Exchange()
    await exchange.begin()
    await asyncio.sleep((LIMIT_MS - EARLIER_MS) / 1000)
    exchange.server.sendall(HEAD + parts * PART + b'0\r\n\r\n')
    assert len((await exchange.request).body) == parts
    exchange.close()


async def test_parts_without_end_are_read_no_longer_than_those_that_arrived():
    exchange = Exchange()
    await exchange.begin()
    loop = asyncio.get_running_loop()

    async def send():
        await loop.sock_sendall(exchange.server, HEAD)
        while True:
            await loop.sock_sendall(exchange.server, 100 * PART)

    sending = asyncio.create_task(send())
    began_s = time.monotonic()
    with pytest.raises(ExchangeError, match='no response in time'):
        await exchange.request
    assert time.monotonic() - began_s < 1
    sending.cancel()
    exchange.close()
