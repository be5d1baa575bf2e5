"""Evacuations of zones: what is chosen, sent and loaded meanwhile."""

import asyncio
import dataclasses
import types

import pytest
import structlog

from lagoonflow.backends.choosing import NoServer, Send, Wake
from lagoonflow.backends.evacuations import ZoneEvacuations
from lagoonflow.clock import boottime_ms
from lagoonflow.declared.records import KeyedRecord, RecordPage, StoreFailure
from lagoonflow.declared.topic_follower import TopicFollower
from lagoonflow.declared.view import DeclaredView
from lagoonflow.gossip.messages import HeldModelState, decode
from lagoonflow.platform.store import CONFIGURATION_KEY
from lagoonflow.relay.load_requests import LoadRequests
from lagoonflow.wiring.platform_feeds import ConfigurationFeed, EvacuationsFeed
from lagoonflow.wiring.platform_publishing import RouterStatePublisher
from tests.backends.test_choosing import (
    ENGINE,
    NOW_MS,
    PLAIN,
    agent,
    choose,
    fleet_of,
)
from tests.relay.harness import RelayHarness, answer_with
from tests.support.positions import at
from tests.wiring.test_platform_publishing import RecordingSocket

CONFIGURATION = b'{"version":3,"routes":[],"services":[],"limits":{}}'


def records(*zones, value=b'{}'):
    return tuple(KeyedRecord(f'evacuate/{zone}', value) for zone in zones)


def feed_for(fleet, on_change=lambda: None):
    fleet.evacuations = ZoneEvacuations(5000)
    return EvacuationsFeed(fleet, on_change)


def plain_fleet(*zones):
    agents = [agent(f'i-{number}') for number in range(len(zones))]
    return fleet_of(*agents, service='app', zones=zones)


def apply(feed, *page, is_snapshot=False):
    feed.on_page(RecordPage(page, at(9)), is_snapshot, NOW_MS)


def test_evacuations_repeat_add_up_and_end():
    changes = []
    fleet = plain_fleet('a', 'b/1', 'c')
    feed = feed_for(fleet, lambda: changes.append(fleet.evacuations.zones))
    apply(feed, *records('a'))
    apply(feed, *records('a', 'b/1'))
    apply(feed)
    apply(feed, *records('a'), *records('a', value=None))
    apply(feed, *records('c'), is_snapshot=True)
    assert changes == [{'a'}, {'a', 'b/1'}, {'b/1'}, {'c'}]


def test_without_a_bound_the_feature_is_off():
    fleet = plain_fleet('a')
    apply(EvacuationsFeed(fleet, lambda: None), *records('a'))
    assert isinstance(choose(fleet, service=PLAIN), Send)


def test_invalid_and_unknown_zones_leave_known_ones_usable():
    fleet = plain_fleet('a')
    feed = feed_for(fleet)
    with structlog.testing.capture_logs() as lines:
        apply(feed, *records('', 'nowhere', 'a/'))
    assert isinstance(choose(fleet, service=PLAIN), Send)
    assert [line['event'] for line in lines] == [
        'evacuation ignored',
        'zone evacuated',
        'zone evacuated',
    ]
    assert not any(line['has_servers'] for line in lines[1:])


def test_calls_go_to_the_other_zones_or_are_told_when_to_return():
    fleet = plain_fleet('z', 'b')
    feed = feed_for(fleet)
    apply(feed, *records('z'))
    assert choose(fleet, service=PLAIN).server.zone == 'b'
    apply(feed, *records('b'))
    refused = choose(fleet, service=PLAIN)
    assert isinstance(refused, NoServer)
    assert not refused.may_change
    assert refused.retry_after_ms > 0


def test_a_model_of_an_evacuated_zone_is_loaded_elsewhere():
    holder = agent('i-0', HeldModelState('m1'), on_disk=('m1',))
    other = agent('i-1', free_mb=90_000)
    fleet = fleet_of(holder, other, zones=('z', 'b'))
    apply(feed_for(fleet), *records('z'))
    choice = choose(fleet)
    assert isinstance(choice, Wake)
    assert choice.server.instance == 'i-1'
    socket = RecordingSocket()
    settings = types.SimpleNamespace(node='r', ip_address='i', peer_port=1)
    publisher = RouterStatePublisher(settings, fleet, LoadRequests(), socket)
    state = types.SimpleNamespace(services={'llm': ENGINE})
    publisher.publish_due(state, NOW_MS)
    sent = [decode(datagram) for datagram, _ in socket.sent]
    preloads = {message.instance: message.preload for message in sent}
    assert not preloads['i-0']
    assert preloads['i-1']


def test_a_router_started_meanwhile_knows_the_zone_before_it_serves():
    """All routers may be killed after the acknowledgement."""
    fleet = plain_fleet('a')
    seen = []
    feed = ConfigurationFeed(
        DeclaredView(),
        lambda: seen.append(fleet.evacuations.zones),
        feed_for(fleet).on_page,
    )
    configuration = KeyedRecord(CONFIGURATION_KEY, CONFIGURATION)
    feed.on_page(
        RecordPage((configuration, *records('a')), at(3)), True, NOW_MS
    )
    assert seen == [{'a'}]


@pytest.mark.parametrize('is_store_up', [True, False])
def test_a_suspended_router_sends_nothing_before_it_has_read_again(is_store_up):
    fleet = plain_fleet('a')
    feed = feed_for(fleet)
    apply(feed)
    assert isinstance(choose(fleet, service=PLAIN), Send)
    evacuations = fleet.evacuations
    resumed_ms = NOW_MS + 8000
    assert evacuations.is_outdated(resumed_ms)
    # A read that began before the suspension proves nothing.
    evacuations.note_read(NOW_MS + 100)
    assert evacuations.is_outdated(resumed_ms + 1)
    if is_store_up:
        evacuations.note_read(resumed_ms + 2)
        assert not evacuations.is_outdated(resumed_ms + 3)
    evacuations.note_running(resumed_ms + 800)
    assert not evacuations.is_outdated(resumed_ms + 1600)


class FailingStore:
    """Fails after the first read, and then has an evacuation."""

    def __init__(self, view):
        self._view = view
        self.zones_while_down = []

    async def newest(self, topic, max_late_ms):
        return RecordPage(records('a'), at(1))

    async def read(self, topic, offset, wait_ms, options):
        if len(self.zones_while_down) < 2:
            self.zones_while_down.append(self._view())
            return StoreFailure('down')
        await asyncio.sleep(0.01)
        return RecordPage(records('b'), at(2))


async def test_the_last_known_state_holds_while_the_store_is_down():
    fleet = plain_fleet('a', 'b')
    changed = asyncio.Event()
    feed = feed_for(fleet, changed.set)
    store = FailingStore(lambda: fleet.evacuations.zones)
    follower = TopicFollower(
        store, 't', 10, 0, feed.on_page, lambda _: None, is_urgent=True
    )
    task = asyncio.create_task(follower.run())
    await changed.wait()
    changed.clear()
    await asyncio.wait_for(changed.wait(), 3)
    task.cancel()
    assert store.zones_while_down == [{'a'}, {'a'}]
    assert fleet.evacuations.zones == {'a', 'b'}


async def test_a_zone_evacuated_during_the_connect_gets_no_request():
    harness = RelayHarness()
    scripts = [answer_with('200 OK', name) for name in ('first', 'second')]
    backends = await harness.add_backends(*scripts)
    for server in harness.fleet.roster.all():
        zoned = dataclasses.replace(server, zone=server.instance)
        harness.fleet.roster.put(zoned, boottime_ms())
    feed = feed_for(harness.fleet)
    connect = harness.sender.pools.connect

    async def connect_and_evacuate(server, *details):
        connection = await connect(server, *details)
        if not harness.fleet.evacuations.zones:
            apply(feed, *records(server.zone))
        return connection

    harness.sender.pools.connect = connect_and_evacuate
    status, _, _ = await harness.send_request('/book/x')
    (evacuated,) = harness.fleet.evacuations.zones
    assert status == 200
    assert not backends[int(evacuated[-1])].requests
    assert not harness.fleet.health(evacuated).is_avoided(boottime_ms())
