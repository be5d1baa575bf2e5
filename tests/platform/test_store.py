"""How pages of records are read from the metadata store."""

import asyncio
import struct

import pytest

from lagoonflow.declared.positions import MAX_ERA
from lagoonflow.declared.records import (
    DEFAULT_OPTIONS,
    Answer,
    EraChanged,
    HistoryTooLong,
    ReadOptions,
    RecordCut,
    RecordPage,
    StoreFailure,
)
from lagoonflow.platform.store import MAX_RECORD_BYTES, StoreClient
from tests.support.endless import serving
from tests.support.positions import at

RECORDS = (b'\x01aone', b'\x01btwo')
FIRST_OFFSET = 7
PAGE = struct.pack('>QQ', FIRST_OFFSET + len(RECORDS), 0) + b''.join(
    struct.pack('>I', len(record)) + record for record in RECORDS
)
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\n'


async def read_page(
    answer: bytes, options: ReadOptions = DEFAULT_OPTIONS
) -> Answer:
    """Read from a store that sends these bytes and closes the connection."""
    return await call_store(
        answer,
        lambda client: client.read('keyed.op', at(FIRST_OFFSET), 0, options),
    )


async def call_store(answer: bytes, call) -> Answer:
    """Call a store that sends these bytes and closes the connection."""

    async def handle(reader, writer) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(answer)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(handle, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    async with server:
        client = StoreClient(f'127.0.0.1:{port}')
        return await call(client)


async def test_a_whole_page_is_current():
    page = await read_page(UNFRAMED + PAGE)
    assert [record.value for record in page.records] == [b'one', b'two']
    assert page.is_current


@pytest.mark.parametrize('length', range(len(PAGE)))
async def test_a_page_that_was_cut_is_not_current(length):
    page = await read_page(UNFRAMED + PAGE[:length])
    if isinstance(page, RecordPage):
        assert not page.is_current
        assert page.next_position.offset == FIRST_OFFSET + len(page.records)


def framed(body: bytes) -> bytes:
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body) + body


async def test_newest_records_without_the_last_page_are_a_failure():
    """They would confirm a configuration that is no longer the newest one."""
    body = b'{"items":[],"end_offset":7,"has_more":true}'
    newest = await call_store(
        framed(body), lambda client: client.newest('keyed.op')
    )
    assert isinstance(newest, StoreFailure)


async def test_newest_records_are_in_the_order_in_which_they_were_written():
    """Of two servers at one address, the last one to write owns it."""
    body = (
        b'{"items":[{"key":"a","value":"Mg==","offset":6},'
        b'{"key":"b","value":"MQ==","offset":4}],"end_offset":7}'
    )
    newest = await call_store(
        framed(body), lambda client: client.newest('keyed.servers')
    )
    assert [record.value for record in newest.records] == [b'1', b'2']


async def test_a_record_longer_than_asked_for_is_reported_with_its_length():
    page = await read_page(framed(PAGE), ReadOptions(max_bytes=6))
    assert page == RecordCut(4 + len(RECORDS[0]))


async def test_a_record_longer_than_any_that_is_read_is_a_failure():
    length = struct.pack('>I', MAX_RECORD_BYTES)
    page = await read_page(framed(PAGE[:16] + length + b'a' * 9))
    assert isinstance(page, StoreFailure)


@pytest.mark.parametrize(
    ('max_bytes', 'is_too_long'), [(len(RECORDS[1]), True), (100, False)]
)
async def test_a_history_with_many_bytes_after_its_first_record_is_not_read(
    max_bytes, is_too_long
):
    options = ReadOptions(max_replaced_bytes=max_bytes)
    page = await read_page(framed(PAGE), options)
    assert isinstance(page, HistoryTooLong) is is_too_long


async def test_progress_is_reported_once_records_arrive():
    progress = []
    options = ReadOptions(on_progress=progress.append)
    await read_page(framed(PAGE[:16]), options)
    assert not progress
    await read_page(framed(PAGE), options)
    assert progress[-1] == len(PAGE)


def with_eras(status: bytes, body: bytes, *eras: bytes) -> bytes:
    """Return a response that states these eras."""
    lines = b''.join(b'Store-Era: %s\r\n' % era for era in eras)
    length = b'Content-Length: %d\r\n\r\n' % len(body)
    return b'HTTP/1.1 %s\r\n%s%s%s' % (status, lines, length, body)


class EraStore:
    """Answers with the given responses in turn, the last one for good."""

    def __init__(self, *answers: bytes) -> None:
        self._answers = list(answers)

    async def answer(self, reader, writer) -> None:
        while True:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self._answers[0])
            if len(self._answers) > 1:
                self._answers.pop(0)
            await writer.drain()


async def read_in_turn(position, *answers: bytes) -> list[Answer]:
    """Return what a client reads from a position, once for each answer."""
    store = EraStore(*answers)
    async with serving(store.answer) as address:
        client = StoreClient(address)
        return [await client.read('keyed.op', position, 0) for _ in answers]


ERA_7 = with_eras(b'200 OK', PAGE, b'7')
# What is no era counts as none.
UNREADABLE_ERAS = {
    'absent': (),
    'empty': (b'',),
    'not a number': (b'seven',),
    'negative': (b'-7',),
    'a fraction': (b'7.0',),
    'huge': (b'9' * 20,),
    'thousands of digits': (b'7' * 5000,),
    'beyond the greatest': (b'%d' % (MAX_ERA + 1),),
    'two': (b'7', b'8'),
}


async def test_a_page_of_the_same_era_is_read():
    (page,) = await read_in_turn(at(FIRST_OFFSET, era=7), ERA_7)
    assert page.next_position == at(FIRST_OFFSET + 2, era=7)


@pytest.mark.parametrize('status', [b'200 OK', b'410 Gone'])
@pytest.mark.parametrize('era', [b'6', b'8'])
async def test_a_page_of_another_era_is_not_applied(era, status):
    """Its records have the offsets of others that were read before."""
    answers = await read_in_turn(
        at(FIRST_OFFSET, era=7), with_eras(status, PAGE, era)
    )
    assert answers == [EraChanged()]


async def test_an_era_that_is_repeated_alike_is_that_era():
    (page,) = await read_in_turn(
        at(FIRST_OFFSET, era=7), with_eras(b'200 OK', PAGE, b'7', b'7')
    )
    assert isinstance(page, RecordPage)


@pytest.mark.parametrize(
    'eras', UNREADABLE_ERAS.values(), ids=UNREADABLE_ERAS.keys()
)
async def test_an_era_that_can_not_be_read_loses_nothing(eras):
    """The history is read anew, and again once the era can be read."""
    odd = with_eras(b'200 OK', PAGE, *eras)
    unstated = at(FIRST_OFFSET)
    assert await read_in_turn(at(FIRST_OFFSET, era=7), ERA_7, odd, ERA_7) == [
        (await read_in_turn(at(FIRST_OFFSET, era=7), ERA_7))[0],
        EraChanged(),
        (await read_in_turn(at(FIRST_OFFSET, era=7), ERA_7))[0],
    ]
    (page,) = await read_in_turn(unstated, odd)
    assert page.next_position == at(FIRST_OFFSET + 2)


async def test_newest_records_of_two_eras_are_a_failure():
    """The first page may lack what the second one would have told."""
    body = b'{"items":[{"key":"a"}],"end_offset":7,"has_more":%s}'
    store = EraStore(
        with_eras(b'200 OK', body % b'true', b'1'),
        with_eras(b'200 OK', body % b'false', b'2'),
    )
    async with serving(store.answer) as address:
        newest = await StoreClient(address).newest('keyed.op')
    assert isinstance(newest, StoreFailure)


async def test_fencing_tokens_rise_over_eras_though_offsets_fall():
    """Two holders of one token would both order a runner."""
    tokens = []
    for era, offset in ((1, 6), (1, 9), (2, 4), (3, 0), (3, 2)):
        body = b'{"offset":%d}' % offset
        registered = await call_store(
            with_eras(b'200 OK', body, b'%d' % era),
            lambda client: client.append('t', 'agent', b'x'),
        )
        tokens.append(registered.rank)
    assert tokens == sorted(set(tokens))
