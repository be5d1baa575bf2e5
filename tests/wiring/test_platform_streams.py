"""Routers tell each other of streams, also of those that one has missed."""

import asyncio
import contextlib
import types

import pytest

from lagoonflow.clock import boottime_ms
from lagoonflow.declared.messages import DeclaredState
from lagoonflow.declared.view import DeclaredView
from lagoonflow.gossip.members import Members, RouterMember
from lagoonflow.gossip.messages import decode, encode
from lagoonflow.gossip.transport import MAX_DATAGRAM_BYTES
from lagoonflow.resumption.messages import StreamOrigin
from lagoonflow.resumption.origins import StreamOrigins
from lagoonflow.wiring.platform_feeds import MembersFeed
from lagoonflow.wiring.platform_streams import (
    MAX_PAGE_BYTES,
    MISSED_AFTER_MS,
    PROBE_TIMEOUT_MS,
    StreamService,
)

SETTLE_S = 0.05


class Network:
    """Delivers datagrams between routers, unless one is cut off.

    :ivar sizes: bytes of the datagrams so far.
    """

    def __init__(self):
        self.routers = {}
        self.cut_off = set()
        self.sizes = []

    def gossip(self, sender):
        return types.SimpleNamespace(
            send=lambda message, address: self._send(sender, message, address)
        )

    def _send(self, sender, message, address):
        raw = encode(message)
        self.sizes.append(len(raw))
        name = address.partition(':')[0]
        if {sender, name} & self.cut_off or name not in self.routers:
            return
        receive = self.routers[name].service.receive
        asyncio.get_running_loop().call_soon(
            lambda: receive(decode(raw), boottime_ms(), f'{sender}:1')
        )


class Router:
    def __init__(self, network, name, others, version=3):
        now_ms = boottime_ms()
        members = Members(name)
        for other in others:
            members.register(RouterMember(other, f'{other}:1', 'z'), now_ms)
        feed = MembersFeed(members, 'router')
        feed.was_read.set()
        self.origins = StreamOrigins()
        self.view = DeclaredView()
        self.view.apply(DeclaredState(version, (), {}, ()))
        self.service = StreamService(
            types.SimpleNamespace(node=name, zone='z'),
            members,
            feed,
            self.origins,
            self.view,
            network.gossip(name),
            lambda: None,
        )
        network.routers[name] = self
        self.task = asyncio.ensure_future(self.service.run())

    def begin(self, *names):
        for name in names:
            expires_at_ms = boottime_ms() + 20_000
            self.service.announce(
                StreamOrigin(name, 'llm', 'v1', expires_at_ms)
            )

    def knows(self, *names):
        now_ms = boottime_ms()
        return all(self.origins.find(name, now_ms) for name in names)


@contextlib.asynccontextmanager
async def playing():
    network = Network()
    try:
        yield network
    finally:
        for router in network.routers.values():
            router.task.cancel()


async def test_a_router_that_starts_learns_the_streams_of_the_others():
    async with playing() as network:
        first = Router(network, 'r1', ['r2'])
        names = [f'{number:016x}' for number in range(1000)]
        first.begin(*names)
        await asyncio.sleep(SETTLE_S)
        network.sizes.clear()
        second = Router(network, 'r2', ['r1'])
        await asyncio.sleep(10 * SETTLE_S)
        assert second.origins.is_known
        assert second.knows(*names)
        assert max(network.sizes) < 2 * MAX_PAGE_BYTES


async def test_a_router_that_starts_learns_what_another_one_has_learnt():
    """The router at which the streams began may be gone by then."""
    async with playing() as network:
        Router(network, 'r1', ['r2']).begin('a')
        Router(network, 'r2', ['r1', 'r3'])
        await asyncio.sleep(2 * PROBE_TIMEOUT_MS / 1000 + SETTLE_S)
        network.cut_off.add('r1')
        third = Router(network, 'r3', ['r2'])
        await asyncio.sleep(SETTLE_S)
        assert third.knows('a')


async def test_a_router_that_was_cut_off_learns_what_it_has_missed():
    async with playing() as network:
        first = Router(network, 'r1', ['r2'])
        second = Router(network, 'r2', ['r1'])
        await asyncio.sleep(SETTLE_S)
        second.service.note_heard(boottime_ms())
        network.cut_off.add('r2')
        first.begin('a')
        second.begin('b')
        await asyncio.sleep(SETTLE_S)
        assert not second.knows('a')
        assert not first.knows('b')
        network.cut_off.clear()
        second.service.note_heard(boottime_ms() + MISSED_AFTER_MS + 1)
        await asyncio.sleep(SETTLE_S)
        second.service.publish_due(boottime_ms() + 5000)
        await asyncio.sleep(SETTLE_S)
        assert second.knows('a')
        assert first.knows('b')


async def test_streams_with_long_ids_are_told_in_datagrams_that_fit():
    """A datagram that is too long is dropped with all its streams."""
    async with playing() as network:
        first = Router(network, 'r1', ['r2'])
        second = Router(network, 'r2', ['r1'])
        await asyncio.sleep(SETTLE_S)
        names = [f'{number:0250d}' for number in range(400)]
        now_ms = boottime_ms()
        first.service.publish_due(now_ms)
        for name in names:
            first.origins.record(
                StreamOrigin(name, 'llm', 'v1', now_ms + 20_000), now_ms
            )
        first.service.publish_due(now_ms + 1)
        await asyncio.sleep(SETTLE_S)
        assert second.knows(*names)
        assert max(network.sizes) <= MAX_DATAGRAM_BYTES


@pytest.mark.parametrize(('version', 'is_refuted'), [(5, True), (3, False)])
async def test_a_router_that_starts_hears_which_version_is_in_force(
    version, is_refuted
):
    async with playing() as network:
        Router(network, 'r1', ['r2'], version=version)
        await asyncio.sleep(SETTLE_S)
        second = Router(network, 'r2', ['r1'])
        second.view.confirm(boottime_ms() + 1000)
        await asyncio.sleep(SETTLE_S)
        assert (second.view.age_ms(boottime_ms()) > 0) == is_refuted
