"""Joins and leaves the roster, and reports members whose host is gone."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping

from lagoonflow.clock import MS_PER_S, boottime_ms
from lagoonflow.results import Refusal
from lagoonflow.roster.host_monitor import (
    HostMonitor,
    HostMonitorSettings,
    HostState,
)
from lagoonflow.roster.messages import Joined, Left, Member, RosterChange
from lagoonflow.roster.pause import PauseDetector
from lagoonflow.roster.state import RosterFold

Append = Callable[[RosterChange], Awaitable[Refusal | None]]
ReadHosts = Callable[[], Awaitable[Mapping[str, HostState] | Refusal]]

PAUSE_CHECK_INTERVAL_MS = 200
HOST_LIST_INTERVAL_MS = 1000
JOIN_RETRY_MS = 1000


class RosterTask:
    """Keeps this process in the roster and watches the other members.

    :param member: this process, with a nonce that is new at each start.
    :param fold: the roster, which the caller keeps current.
    :param append: appends a change; returns once the change is folded into
        the roster, or a refusal when the log is unavailable.
    :param read_hosts: reads the platform's host list.
    :param on_pause: called after this process was suspended for a while.
    :param settings: timing of the reports of members that are gone.
    """

    def __init__(
        self,
        member: Member,
        fold: RosterFold,
        append: Append,
        read_hosts: ReadHosts,
        on_pause: Callable[[], None],
        settings: HostMonitorSettings | None = None,
    ) -> None:
        """Set up the task; it sends nothing before ``run``."""
        self.host_monitor = HostMonitor(
            member.name,
            member.host,
            settings,
        )
        self._member = member
        self._fold = fold
        self._append = append
        self._read_hosts = read_hosts
        self._on_pause = on_pause

    @property
    def is_member(self) -> bool:
        """Whether this process, not a predecessor of it, is in the roster."""
        return self._fold.is_member(self._member.name, self._member.nonce)

    async def run(self) -> None:
        """Stay in the roster and watch hosts and pauses, until cancelled.

        If this process is not in the roster, for example because it was
        reported gone by mistake, it joins again.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._rejoin_when_missing())
            group.create_task(self._watch_hosts())
            group.create_task(self._watch_pauses())

    async def leave(self) -> Refusal | None:
        """Leave the roster.

        Cancel ``run`` first: it would join again.
        """
        if not self.is_member:
            return None
        return await self._append(Left(self._member.name, self._member.nonce))

    async def _rejoin_when_missing(self) -> None:
        while True:
            if not self.is_member:
                await self._append(Joined(self._member))
            await _sleep_ms(JOIN_RETRY_MS)

    async def _watch_hosts(self) -> None:
        while True:
            hosts = await self._read_hosts()
            if not isinstance(hosts, Refusal):
                await self._report_gone(hosts)
            await _sleep_ms(HOST_LIST_INTERVAL_MS)

    async def _report_gone(self, hosts: Mapping[str, HostState]) -> None:
        for gone in self.host_monitor.on_host_list(
            boottime_ms(), hosts, self._fold
        ):
            await self._append(gone)

    async def _watch_pauses(self) -> None:
        detector = PauseDetector(boottime_ms())
        while True:
            await _sleep_ms(PAUSE_CHECK_INTERVAL_MS)
            if detector.tick(boottime_ms()):
                self._on_pause()


async def _sleep_ms(duration_ms: float) -> None:
    await asyncio.sleep(duration_ms / MS_PER_S)
