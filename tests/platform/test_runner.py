"""How an agent reads the identity of its runner."""

import asyncio

from lagoonflow.platform.runner import RunnerClient


async def serve_answer(answer: bytes) -> str:
    """Start a server that gives one answer to all; return its address."""

    async def handle(reader, writer) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(answer)
        await writer.drain()

    server = await asyncio.start_server(handle, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    return f'127.0.0.1:{port}'


async def test_reads_the_identity_of_a_runner():
    address = await serve_answer(
        b'HTTP/1.1 200 OK\r\nInstance-Id: i-7\r\nContent-Length: 0\r\n\r\n'
    )
    client = RunnerClient(address, 'agent-1')
    assert await client.identify('/healthz') == 'i-7'


async def test_reads_the_identity_of_a_full_runner():
    address = await serve_answer(
        b'HTTP/1.1 503 Full\r\nInstance-Id: i-7\r\nContent-Length: 0\r\n\r\n'
    )
    client = RunnerClient(address, 'agent-1')
    assert await client.identify('/healthz') == 'i-7'


async def test_an_unreachable_runner_has_no_identity():
    client = RunnerClient('127.0.0.1:1', 'agent-1')
    assert not await client.identify('/healthz')
