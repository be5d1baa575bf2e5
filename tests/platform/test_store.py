"""How pages of records are read from the metadata store."""

import asyncio
import struct

import pytest

from lagoonflow.declared.records import RecordPage, StoreFailure
from lagoonflow.platform.store import StoreClient

RECORDS = (b'\x01aone', b'\x01btwo')
FIRST_OFFSET = 7
PAGE = struct.pack('>QQ', FIRST_OFFSET + len(RECORDS), 0) + b''.join(
    struct.pack('>I', len(record)) + record for record in RECORDS
)
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\n'


async def read_page(answer: bytes) -> RecordPage | StoreFailure:
    """Read from a store that sends these bytes and closes the connection."""

    async def handle(reader, writer) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(answer)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(handle, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    async with server:
        client = StoreClient(f'127.0.0.1:{port}')
        return await client.read('keyed.op', FIRST_OFFSET, 0)


async def test_a_whole_page_is_current():
    page = await read_page(UNFRAMED + PAGE)
    assert [record.value for record in page.records] == [b'one', b'two']
    assert page.is_current


@pytest.mark.parametrize('length', range(len(PAGE)))
async def test_a_page_that_was_cut_is_not_current(length):
    page = await read_page(UNFRAMED + PAGE[:length])
    if isinstance(page, RecordPage):
        assert not page.is_current
        assert page.next_offset == FIRST_OFFSET + len(page.records)
