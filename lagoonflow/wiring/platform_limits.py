"""Tells the other routers which limits backend servers have named."""

from lagoonflow.backends.cold import RouterShares
from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.limits import LimitStatement
from lagoonflow.gossip.entries import LimitEntry
from lagoonflow.gossip.members import Members
from lagoonflow.gossip.messages import LimitsState
from lagoonflow.gossip.transport import GossipSocket


class LimitPublisher:
    """Sends what this router hears of limits, and learns from the others.

    :param node: name of this router.
    """

    def __init__(
        self,
        node: str,
        members: Members,
        fleet: Fleet,
        gossip: GossipSocket,
    ) -> None:
        """Start with nothing sent."""
        self._node = node
        self._members = members
        self._limits = fleet.limits
        self._cold = fleet.cold
        self._gossip = gossip

    def publish_due(self, now_ms: float) -> None:
        """Send the statements that are due, and update who shares limits
        and the rates of cold servers."""
        present = self._members.present(now_ms)
        self._limits.update_routers(
            self._node, (member.name for member in present)
        )
        group = self._members.share_group(now_ms)
        self._cold.update_shares(
            RouterShares(
                self._node,
                group.names | {self._node},
                group.valid_from_ms,
                group.valid_until_ms,
            )
        )
        due = self._limits.take_due(now_ms)
        if not due:
            return
        entries = tuple(
            LimitEntry(
                statement.instance,
                statement.started_ms,
                statement.limit_per_s,
                int(now_ms - statement.stated_at_ms),
            )
            for statement in due
        )
        for member in present:
            self._gossip.send(LimitsState(self._node, entries), member.address)

    def receive(self, message: LimitsState, now_ms: float) -> None:
        """Learn the statements that another router has heard."""
        for entry in message.limits:
            self._limits.learn(
                LimitStatement(
                    entry.instance,
                    entry.started_ms,
                    entry.limit_per_s,
                    now_ms - max(entry.age_ms, 0),
                )
            )
