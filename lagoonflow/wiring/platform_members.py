"""Keeps the registrations in the metadata store to those of running processes."""

import asyncio

from lagoonflow.clock import MS_PER_S, boottime_ms
from lagoonflow.gossip.members import Members
from lagoonflow.gossip.removals import RemovalTurns
from lagoonflow.platform.store import StoreClient
from lagoonflow.wiring.platform_feeds import MembersFeed
from lagoonflow.wiring.platform_process import remove_registration

# Time between two checks, in ms.
CHECK_INTERVAL_MS = 500
# Time after a failed removal, in ms.
RETRY_INTERVAL_MS = 2500
# Silence after which an agent is taken to have ended, in ms. Nothing is divided
# among agents, and routers don't hear those of servers that aren't listed.
AGENT_SILENCE_MS = 600_000


class RegistrationRemover:
    """Removes the registrations of processes that are gone."""

    def __init__(
        self,
        store: StoreClient,
        feed: MembersFeed,
        routers: Members,
        agents: Members,
    ) -> None:
        """Start with nothing removed.

        :param feed: tells when the registrations were read.
        """
        self._store = store
        self._feed = feed
        self._routers = routers
        self._agents = agents
        self._turns = RemovalTurns(routers.own_name, routers)

    async def run(self) -> None:
        """Remove registrations until cancelled."""
        interval_ms = CHECK_INTERVAL_MS
        while True:
            await asyncio.sleep(interval_ms / MS_PER_S)
            interval_ms = CHECK_INTERVAL_MS
            if self._feed.has_read and not await self.remove_due(boottime_ms()):
                interval_ms = RETRY_INTERVAL_MS

    async def remove_due(self, now_ms: float) -> bool:
        """Remove what this router is to remove now.

        :returns: whether the store has taken all removals.
        """
        gone_routers = tuple(self._turns.due(self._routers, now_ms))
        gone_agents = tuple(
            self._turns.due(self._agents, now_ms, AGENT_SILENCE_MS)
        )
        for name in gone_routers + gone_agents:
            if not await remove_registration(self._store, name):
                return False
            self._routers.remove(name, now_ms)
            self._agents.remove(name, now_ms)
        return True
