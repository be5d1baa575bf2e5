"""The task that joins the roster, watches the host list and leaves."""

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

TICK_INTERVAL_MS = 200
HOSTS_INTERVAL_MS = 1000
JOIN_RETRY_MS = 1000


class RosterTask:
    """Keeps one process in the roster.

    :param member: the own entry, with a nonce that is new at every start.
    :param fold: the roster as it is followed by the process.
    :param append: appends a change; returns after it was read back into
        the fold, or a refusal when the log is unavailable.
    :param read_hosts: reads the platform's host list.
    :param on_pause: called after the process did not run for a while.
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
        """Prepare; nothing is sent before ``run``."""
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
        """Whether this very process is in the roster."""
        return self._fold.is_member(self._member.name, self._member.nonce)

    async def run(self) -> None:
        """Join, rejoin when reported gone, and watch until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._keep_joined())
            group.create_task(self._watch_hosts())
            group.create_task(self._watch_pauses())

    async def leave(self) -> Refusal | None:
        """Append the own departure; cancel ``run`` first."""
        if not self.is_member:
            return None
        return await self._append(Left(self._member.name, self._member.nonce))

    async def _keep_joined(self) -> None:
        while True:
            if not self.is_member:
                await self._append(Joined(self._member))
            await _sleep_ms(JOIN_RETRY_MS)

    async def _watch_hosts(self) -> None:
        while True:
            hosts = await self._read_hosts()
            if not isinstance(hosts, Refusal):
                await self._report_gone(hosts)
            await _sleep_ms(HOSTS_INTERVAL_MS)

    async def _report_gone(self, hosts: Mapping[str, HostState]) -> None:
        for gone in self.host_monitor.on_host_list(
            boottime_ms(), hosts, self._fold
        ):
            await self._append(gone)

    async def _watch_pauses(self) -> None:
        detector = PauseDetector(boottime_ms())
        while True:
            await _sleep_ms(TICK_INTERVAL_MS)
            if detector.tick(boottime_ms()):
                self._on_pause()


async def _sleep_ms(duration_ms: float) -> None:
    await asyncio.sleep(duration_ms / MS_PER_S)
