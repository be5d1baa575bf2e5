"""Tells the other routers what this one has observed of servers' speeds."""

from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.speeds import SpeedObservation
from lagoonflow.gossip.entries import SpeedEntry
from lagoonflow.gossip.members import Members
from lagoonflow.gossip.messages import Message, SpeedsState
from lagoonflow.gossip.transport import GossipSocket

# Each datagram has this many servers at most, under 1.4 kB, so that it fits
# into one network frame; the next one has the servers after them.
MAX_ENTRIES = 24
# A router sends a round of datagrams at most this often, and at most one
# datagram in this time per other router: 14 kB/s whatever the fleet's size.
MIN_INTERVAL_MS = 2000
DATAGRAM_INTERVAL_MS = 100
# Observations with less weight tell the others too little.
MIN_WEIGHT = 0.5


class SpeedPublisher:
    """Sends observations of speeds, and learns those of other routers.

    :param node: name of this router.
    """

    def __init__(
        self, node: str, members: Members, fleet: Fleet, gossip: GossipSocket
    ) -> None:
        """Start with nothing sent."""
        self._node = node
        self._members = members
        self._fleet = fleet
        self._gossip = gossip
        self._sent_at_ms = float('-inf')
        self._last_sent = ''

    def publish_due(self, now_ms: float) -> None:
        """Send the next servers' observations if that is due."""
        elapsed_ms = now_ms - self._sent_at_ms
        if elapsed_ms < MIN_INTERVAL_MS:
            return
        members = self._members.present(now_ms)
        if elapsed_ms < DATAGRAM_INTERVAL_MS * len(members):
            return
        self._sent_at_ms = now_ms
        entries = self._next_entries(now_ms)
        if not entries:
            return
        for member in members:
            self._gossip.send(SpeedsState(self._node, entries), member.address)

    def receive(self, message: Message, now_ms: float) -> None:
        """Learn the observations of another router; ignore other messages."""
        if not isinstance(message, SpeedsState):
            return
        for entry in message.speeds[:MAX_ENTRIES]:
            server = self._fleet.roster.get(entry.instance)
            if server is not None:
                observation = SpeedObservation(
                    entry.instance,
                    entry.started_ms,
                    entry.log_factor,
                    entry.weight,
                )
                self._fleet.speeds.learn(
                    message.router, server, observation, now_ms
                )

    def _next_entries(self, now_ms: float) -> tuple[SpeedEntry, ...]:
        """Return the observations of the servers after those sent last."""
        observations = sorted(
            (
                one
                for one in self._fleet.speeds.own_observations(now_ms)
                if one.weight >= MIN_WEIGHT
            ),
            key=lambda one: (one.instance <= self._last_sent, one.instance),
        )[:MAX_ENTRIES]
        if observations:
            self._last_sent = observations[-1].instance
        return tuple(
            SpeedEntry(
                one.instance,
                one.started_ms,
                round(one.log_factor, 3),
                round(one.weight, 1),
            )
            for one in observations
        )
