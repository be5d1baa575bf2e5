"""Datagrams without end, sound and malformed, at the port of a process."""

import asyncio
import socket

import msgspec
import prometheus_client as prometheus
import pytest

from lagoonflow.clock import boottime_ms
from lagoonflow.declared.overdue_read import TimedAnswer
from lagoonflow.declared.records import KeyedRecord, RecordPage
from lagoonflow.gossip.members import Members
from lagoonflow.gossip.messages import encode
from lagoonflow.gossip.topic_messages import (
    TopicAnswer,
    TopicEntry,
    TopicQuery,
)
from lagoonflow.gossip.transport import GossipSocket
from lagoonflow.wiring.platform_shared_reads import SharedReadService
from tests.support.endless import (
    MAX_GROWTH_MB,
    SLACK_MS,
    MemoryGrowth,
    processor_ms,
)
from tests.support.positions import at

PLAY_MS = 400
BATCH = 50
ENTRIES = tuple(TopicEntry(str(number), b'') for number in range(8000))
DATAGRAMS = {
    'no_message': bytes(60_000),
    'nested': b'\x91' * 60_000,
    'long_list': msgspec.msgpack.encode([0] * 59_000),
    'answer': encode(TopicAnswer('r', 7, ENTRIES)),
    'query': encode(TopicQuery('r', 7, 't', 0)),
    'unknown_topic': encode(TopicQuery('r', 7, 'x' * 50_000, 0)),
}


class Settings:
    """What the service reads of a router's settings."""

    node = 'own'
    zone = 'z'


async def send_datagrams(raw, address):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.setblocking(False)
        while True:
            for _ in range(BATCH):
                try:
                    sender.sendto(raw, address)
                except BlockingIOError:
                    break
            await asyncio.sleep(0)


@pytest.mark.parametrize('kind', DATAGRAMS)
async def test_datagrams_without_end_hold_up_neither_memory_nor_others(kind):
    def handle(message, sender):
        match message:
            case TopicQuery():
                service.answer(message, sender)
            case TopicAnswer():
                service.receive(message)

    gossip = GossipSocket(handle)
    await gossip.open('127.0.0.1', 0)
    service = SharedReadService(
        Settings(), Members('own'), gossip, prometheus.CollectorRegistry()
    )
    records = tuple(KeyedRecord(str(one), b'x' * 100) for one in range(100))
    history_reads = service.share('t', 1000)

    async def read_store(_position, _wait_ms):
        return TimedAnswer(RecordPage(records, at(100)), boottime_ms())

    await history_reads.read(at(0), 0, read_store)
    growth = MemoryGrowth()
    address = ('127.0.0.1', gossip.port)
    sender = asyncio.create_task(send_datagrams(DATAGRAMS[kind], address))
    ends_ms = boottime_ms() + PLAY_MS
    longest_ms = 0
    while boottime_ms() < ends_ms:
        began_ms = processor_ms()
        await asyncio.sleep(0.01)
        longest_ms = max(longest_ms, processor_ms() - began_ms)
    sender.cancel()
    gossip.close()
    assert longest_ms < SLACK_MS
    assert growth.peak_mb() < MAX_GROWTH_MB
