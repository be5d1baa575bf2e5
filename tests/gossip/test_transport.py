"""Datagrams that can't be encoded or sent."""

import asyncio

import pytest

from lagoonflow.gossip.messages import MeterState, RouterState
from lagoonflow.gossip.transport import GossipSocket

GOOD = MeterState('r', 1)


@pytest.mark.parametrize(
    ('message', 'address'),
    [
        (RouterState('r', 'h', 1, 'i-1', 2**64 + 5), '127.0.0.1:9'),
        (GOOD, '127.0.0.1:99999'),
        (GOOD, '127.0.0.1:x'),
        (GOOD, f'{"a" * 300}.example:80'),
        (GOOD, 'a\0b:80'),
    ],
)
async def test_a_datagram_that_cannot_be_sent_does_not_hold_up_others(
    message, address
):
    received = asyncio.Queue()
    receiver = GossipSocket(lambda got, _sender: received.put_nowait(got))
    await receiver.open('127.0.0.1', 0)
    port = receiver.port
    sender = GossipSocket(lambda *_: None)
    await sender.open('127.0.0.1', 0)
    sender.send(message, address)
    sender.send(GOOD, f'127.0.0.1:{port}')
    async with asyncio.timeout(1):
        assert await received.get() == GOOD
    sender.close()
    receiver.close()
