"""Long bodies of requests are kept in parts, and sent part by part."""

import asyncio
import contextlib
import random

from lagoonflow.http1.body_parts import PART_BYTES, LongBody, shortened
from lagoonflow.http1.client import ConnectionPool
from lagoonflow.http1.messages import RequestHead

LENGTH = 4_000_001
CONTENT = random.Random(1).randbytes(LENGTH)
HEAD = RequestHead(
    b'POST', b'/x', ((b'Host', b'h'), (b'Content-Length', b'%d' % LENGTH))
)
REFUSAL = b'HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n'
# Parts that may wait in the write buffer: one that the kernel doesn't take, and
# one that is written when the buffer isn't full.
MAX_UNSENT_BYTES = 2 * PART_BYTES


def long_body(received=(CONTENT,)):
    body = LongBody()
    for part in received:
        body.append(part)
    return body


def test_parts_of_any_length_give_the_same_body():
    rng = random.Random(2)
    received, start = [], 0
    while start < LENGTH:
        end = start + rng.choice((1, 70, PART_BYTES, 200_000))
        received.append(CONTENT[start:end])
        start = end
    body = long_body(received)
    assert (bytes(body), len(body)) == (CONTENT, LENGTH)
    assert {len(part) for part in list(body)[:-1]} == {PART_BYTES}
    assert shortened(long_body([b'a', b'b'])) == b'ab'


@contextlib.asynccontextmanager
async def sending(serve):
    """Send a long body; yield the connection and the task that sends."""
    server = await asyncio.start_server(serve, '127.0.0.1', 0, limit=PART_BYTES)
    port = server.sockets[0].getsockname()[1]
    connection = await ConnectionPool(f'127.0.0.1:{port}').connect(500)
    sends = asyncio.create_task(connection.send(HEAD, long_body()))
    yield connection, sends
    connection.close()
    server.close()


async def test_a_server_that_reads_slowly_makes_no_copy_of_the_body():
    may_read = asyncio.Event()
    received = bytearray()

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        await may_read.wait()
        received.extend(await reader.readexactly(LENGTH))
        writer.write(REFUSAL)

    async with sending(serve) as (connection, sends):
        await asyncio.sleep(0.1)
        unsent_bytes = connection.channel.transport.get_write_buffer_size()
        assert 0 < unsent_bytes <= MAX_UNSENT_BYTES
        may_read.set()
        async with asyncio.timeout(5):
            await sends
            assert (await connection.read_head()).status == 503
        assert received == CONTENT


async def test_an_answer_before_the_end_of_the_body_is_read():
    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(REFUSAL)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.transport.abort()

    async with sending(serve) as (connection, sends), asyncio.timeout(5):
        await sends
        assert (await connection.read_head()).status == 503
