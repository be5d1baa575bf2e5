"""Requests over kept connections, against servers that misbehave."""

import asyncio

import pytest

from lagoonflow.http1.client import ConnectionPool, call
from lagoonflow.http1.messages import ExchangeError, ExchangeStage, RequestHead

GET = RequestHead(b'GET', b'/x', ((b'Host', b'h'),))
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
STALE = b'HTTP/1.1 200 OK\r\nAttempt-Id: old\r\nContent-Length: 3\r\n\r\nold'
OWN = b'HTTP/1.1 200 OK\r\nAttempt-Id: own\r\nContent-Length: 3\r\n\r\nown'


class ScriptedServer:
    """Sends one scripted piece of bytes for each request."""

    def __init__(self, *pieces: bytes, closes: bool = False) -> None:
        self.connections = 0
        self.requests: list[bytes] = []
        self._pieces = list(pieces)
        self._closes = closes

    async def __aenter__(self) -> ConnectionPool:
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        return ConnectionPool(f'127.0.0.1:{port}')

    async def __aexit__(self, *_error) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        while self._pieces:
            try:
                self.requests.append(await reader.readuntil(b'\r\n\r\n'))
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            writer.write(self._pieces.pop(0))
            await writer.drain()
        if self._closes:
            writer.close()


async def fetch(pool, timeout_ms=500):
    return await call(pool, GET, b'', timeout_ms)


async def test_keeps_a_connection_between_requests():
    server = ScriptedServer(ANSWER, ANSWER)
    async with server as pool:
        assert (await fetch(pool)).body == b'ok'
        assert (await fetch(pool)).body == b'ok'
    assert server.connections == 1


async def test_leaves_a_connection_that_the_server_wants_closed():
    closing = ANSWER.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n')
    server = ScriptedServer(closing, ANSWER)
    async with server as pool:
        await fetch(pool)
        await fetch(pool)
    assert server.connections == 2


async def test_leaves_a_connection_with_bytes_after_the_answer():
    server = ScriptedServer(ANSWER + ANSWER, ANSWER)
    async with server as pool:
        await fetch(pool)
        await fetch(pool)
    assert server.connections == 2


async def test_an_early_keep_alive_limit_is_respected():
    limited = ANSWER.replace(b'\r\n\r\n', b'\r\nKeep-Alive: timeout=0\r\n\r\n')
    server = ScriptedServer(limited, ANSWER)
    async with server as pool:
        await fetch(pool)
        await fetch(pool)
    assert server.connections == 2


async def test_a_truncated_answer_is_an_error():
    server = ScriptedServer(ANSWER[:-1], closes=True)
    async with server as pool:
        with pytest.raises(ExchangeError) as caught:
            await fetch(pool)
    assert caught.value.stage is ExchangeStage.ANSWERING


async def test_bytes_that_are_no_answer_are_an_error():
    server = ScriptedServer(b'\x00\x01 nonsense\r\n\r\n', closes=True)
    async with server as pool:
        with pytest.raises(ExchangeError) as caught:
            await fetch(pool)
    assert caught.value.stage is ExchangeStage.SENT


async def test_silence_ends_with_the_time_limit():
    async with ScriptedServer(b'') as pool:
        with pytest.raises(ExchangeError):
            await fetch(pool, timeout_ms=60)


async def test_a_refused_connection_was_not_sent():
    pool = ConnectionPool('127.0.0.1:1')
    with pytest.raises(ExchangeError) as caught:
        await fetch(pool)
    assert caught.value.stage is ExchangeStage.CONNECTING


async def test_skips_an_answer_to_an_earlier_request():
    async with ScriptedServer(STALE + OWN) as pool:
        connection = await pool.connect(500)
        await connection.send(GET, b'')
        head = await connection.read_head(
            lambda one: one.get(b'attempt-id') == b'own'
        )
        body = await connection.read_body(100)
    assert (head.get(b'attempt-id'), body) == (b'own', b'own')


async def test_an_answer_without_length_ends_with_its_connection():
    server = ScriptedServer(b'HTTP/1.1 200 OK\r\n\r\nwhole', closes=True)
    async with server as pool:
        assert (await fetch(pool)).body == b'whole'


async def test_giving_up_resets_the_connection():
    """What the network still holds must not reach the server later."""
    seen = asyncio.get_running_loop().create_future()

    async def serve(reader, _writer) -> None:
        await reader.readuntil(b'\r\n\r\n')
        try:
            await reader.read()
            seen.set_result('closed in order')
        except ConnectionResetError:
            seen.set_result('reset')

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    pool = ConnectionPool(f'127.0.0.1:{port}')
    with pytest.raises(ExchangeError):
        await fetch(pool, timeout_ms=50)
    assert await asyncio.wait_for(seen, 1) == 'reset'
    server.close()
