"""Answers whose server is killed never look complete."""

import asyncio
import contextlib
import sys

import pytest

from tests.http1.unframed_server import LARGE_BODY, PART

pytestmark = pytest.mark.process

TIMEOUT_S = 5
SMALL_BUFFER_BYTES = 4096
PAUSE_S = 0.3


@contextlib.asynccontextmanager
async def server_process():
    """Start the server; yield its process and port."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'tests.http1.unframed_server',
        '127.0.0.1:0',
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        line = await asyncio.wait_for(process.stdout.readline(), TIMEOUT_S)
        yield process, int(line.split()[1])
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


async def ask(port, path, version):
    """Send a request; return the reader of its answer after the head."""
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', port, limit=SMALL_BUFFER_BYTES
    )
    writer.write(f'GET {path} HTTP/{version}\r\nHost: h\r\n\r\n'.encode())
    head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), TIMEOUT_S)
    is_framed = b'content-length' in head or b'transfer-encoding' in head
    assert not is_framed
    return reader, writer


@pytest.mark.parametrize(
    ('path', 'version'),
    [('/stream', '1.1'), ('/stream', '1.0'), ('/chunks', '1.0')],
)
async def test_a_stream_is_reset_when_its_server_is_killed(path, version):
    async with server_process() as (process, port):
        reader, _ = await ask(port, path, version)
        assert await reader.readexactly(len(PART)) == PART
        process.kill()
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.read(), TIMEOUT_S)


@pytest.mark.parametrize('version', ['1.0', '1.1'])
async def test_a_body_that_was_not_taken_is_reset_when_its_server_is_killed(
    version,
):
    async with server_process() as (process, port):
        reader, _ = await ask(port, '/large', version)
        await asyncio.sleep(PAUSE_S)
        process.kill()
        await process.wait()
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.read(), TIMEOUT_S)


@pytest.mark.parametrize('version', ['1.0', '1.1'])
@pytest.mark.parametrize(
    ('path', 'body'), [('/whole', PART), ('/large', LARGE_BODY)]
)
async def test_a_whole_body_ends_in_order(path, body, version):
    async with server_process() as (_, port):
        reader, _ = await ask(port, path, version)
        assert await asyncio.wait_for(reader.read(), TIMEOUT_S) == body


async def test_a_whole_body_that_was_taken_survives_its_server():
    async with server_process() as (process, port):
        reader, _ = await ask(port, '/whole', '1.1')
        await asyncio.sleep(PAUSE_S)
        process.kill()
        await process.wait()
        assert await asyncio.wait_for(reader.read(), TIMEOUT_S) == PART
