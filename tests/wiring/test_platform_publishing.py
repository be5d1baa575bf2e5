"""What routers tell each other."""

import dataclasses
import types

from lagoonflow.clock import boottime_ms
from lagoonflow.gossip.members import Members, RouterMember
from lagoonflow.gossip.messages import decode, encode
from lagoonflow.relay.load_requests import LoadRequests
from lagoonflow.resumption.messages import StreamOrigin
from lagoonflow.resumption.origins import StreamOrigins
from lagoonflow.wiring.platform_publishing import RouterStatePublisher
from lagoonflow.wiring.platform_streams import OriginPublisher
from tests.backends.test_choosing import ENGINE, NOW_MS, agent, fleet_of


class RecordingSocket:
    """Keeps the datagrams that are sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, str]] = []

    def send(self, message, address) -> None:
        self.sent.append((encode(message), address))


def publisher(node, origins, socket):
    now_ms = boottime_ms()
    members = Members(node)
    for name in ('edge-1', 'edge-2'):
        members.register(RouterMember(name, f'{name}:1'), now_ms)
    settings = types.SimpleNamespace(node=node)
    return OriginPublisher(settings, members, origins, socket)


def test_another_router_learns_the_version_of_a_stream_at_once():
    socket, known = RecordingSocket(), StreamOrigins()
    now_ms = boottime_ms()
    origin = StreamOrigin('a1', 'llm', 'v2', now_ms + 5000)
    publisher('edge-1', StreamOrigins(), socket).announce(origin)
    (datagram, address), *_ = socket.sent
    assert address == 'edge-2:1'
    other = publisher('edge-2', known, RecordingSocket())
    other.receive(decode(datagram), now_ms)
    found = known.find('a1', now_ms + 4900)
    assert (found.service, found.software_version) == ('llm', 'v2')
    assert known.find('a1', now_ms + 5001) is None


def test_nothing_is_kept_of_the_messages_to_servers_that_are_gone():
    fleet = fleet_of(agent('i-0'))
    settings = types.SimpleNamespace(node='r', ip_address='i', peer_port=1)
    publisher = RouterStatePublisher(
        settings, fleet, LoadRequests(), RecordingSocket()
    )
    state = types.SimpleNamespace(services={'llm': ENGINE})
    first = fleet.roster.all()[0]
    for number in range(20):
        started = dataclasses.replace(first, instance=f'new-{number}')
        fleet.roster.put(started, NOW_MS)
        publisher.publish_due(state, NOW_MS)
        fleet.roster.remove(started.instance, NOW_MS)
        fleet.roster.remove_expired(NOW_MS)
    assert len(fleet.roster.all()) == 1
    publisher.publish_due(state, NOW_MS)
    assert list(publisher._last_sent) == ['i-0']  # noqa: SLF001
