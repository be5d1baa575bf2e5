"""Sends announcements to the homes of a runner's models."""

import asyncio
from collections.abc import Iterable

from lagoonflow.clock import Clock
from lagoonflow.placement.peers import RankedPeers
from lagoonflow.results import Refusal
from lagoonflow.runners.state import RunnerState
from lagoonflow.wire.methods import ANNOUNCE

ANNOUNCE_INTERVAL_S = 3
# The home and the next agent in the ranking, which stands in for it.
MAX_HOMES_TRIED = 2


class AnnouncementTask:
    """Announces changes at once and all models periodically.

    :param nonce: tells a restarted agent from its predecessor.
    """

    def __init__(
        self,
        state: RunnerState,
        peers: RankedPeers,
        clock: Clock,
        nonce: str,
    ) -> None:
        self._state = state
        self._ranked_peers = peers
        self._clock = clock
        self._nonce = nonce
        self._changed_models: set[str] = set()
        self._has_changes = asyncio.Event()

    def announce(self, models: Iterable[str]) -> None:
        """Announce these models soon."""
        self._changed_models.update(models)
        self._has_changes.set()

    def announce_all(self) -> None:
        """Announce all models soon."""
        self.announce(self._state.components.announcements.models())

    async def run(self) -> None:
        """Announce until cancelled."""
        while True:
            await self._wait_for_changes()
            groups = self._group_by_homes(self._changed_models)
            self._changed_models.clear()
            await asyncio.gather(
                *(self._send(homes, names) for homes, names in groups.items()),
            )

    async def _wait_for_changes(self) -> None:
        try:
            async with asyncio.timeout(ANNOUNCE_INTERVAL_S):
                await self._has_changes.wait()
        except TimeoutError:
            self.announce_all()
        self._has_changes.clear()

    def _group_by_homes(
        self,
        models: Iterable[str],
    ) -> dict[tuple[str, ...], list[str]]:
        groups: dict[tuple[str, ...], list[str]] = {}
        for model in sorted(models):
            homes = tuple(self._ranked_peers.ranking(model))[:MAX_HOMES_TRIED]
            groups.setdefault(homes, []).append(model)
        return groups

    async def _send(self, homes: tuple[str, ...], models: list[str]) -> None:
        """Send to the first home that can be reached."""
        for home in homes:
            announcement = self._state.announcement(
                self._clock(), self._nonce, models
            )
            reply = await self._ranked_peers.send(home, ANNOUNCE, announcement)
            if not isinstance(reply, Refusal):
                return
