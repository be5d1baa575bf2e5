"""Keeps a process in the roster and notifies listeners of changes."""

import asyncio
from collections.abc import Callable

from lagoonflow.clock import MS_PER_S
from lagoonflow.roster.homes import HomeRankings
from lagoonflow.roster.host_monitor import HostMonitorSettings
from lagoonflow.roster.messages import Member, Role
from lagoonflow.roster.task import RosterTask
from lagoonflow.streams.messages import Stream
from lagoonflow.time_limits import TimeLimit
from lagoonflow.wiring.core import Core

PART = 'roster'
LEAVE_TIMEOUT_S = 3


class Membership:
    """The membership of one process, and its view of the other members.

    :ivar homes: rankings of the agents by rendezvous hashing.
    """

    def __init__(
        self,
        core: Core,
        member: Member,
        on_pause: Callable[[], None],
        on_caught_up: Callable[[], None],
    ) -> None:
        """Create the membership; :meth:`start` joins the roster.

        :param member: roster entry of this process.
        :param on_pause: called after the process was paused for a while, so
            that its state may be outdated.
        :param on_caught_up: called once the streams are read again up to
            their ends after such a pause.
        """
        self.homes = HomeRankings(core.folds.roster)
        self._core = core
        self._member = member
        self._on_pause = on_pause
        self._on_caught_up = on_caught_up
        self._known_agents: dict[str, str] = {}
        self._gone_listeners: list[Callable[[str, str], None]] = []
        self._catching_up: asyncio.Task[None] | None = None
        self._roster_task = RosterTask(
            member,
            core.folds.roster,
            core.folds.roster_writer(f'{member.name}-{core.nonce}').append,
            core.read_hosts,
            self._handle_pause,
            HostMonitorSettings(
                list_lag_ms=core.settings.host_list_lag_s * MS_PER_S,
            ),
        )
        self._running_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Join the roster, and watch the host list and pauses."""
        follower = self._core.folds.followers[Stream.ROSTER]
        follower.listeners.append(self._on_roster_changed)
        self._running_task = asyncio.create_task(self._roster_task.run())

    def add_gone_listener(self, listener: Callable[[str, str], None]) -> None:
        """Add a listener, called with name and nonce of each agent gone."""
        self._gone_listeners.append(listener)

    def is_schedulable(self, name: str) -> bool:
        """Return whether an agent may get new work.

        An agent that isn't in the roster may: during an outage of the log
        service, agents are taken from the host list.
        """
        member = self._core.folds.roster.member(name)
        return member is None or self._roster_task.host_monitor.is_schedulable(
            member
        )

    def is_member(self) -> bool:
        """Return whether this process is in the roster."""
        return self._roster_task.is_member

    def ranking(self, model: str) -> tuple[str, ...]:
        """Return the names of the agents by rank for a model.

        A process that started during an outage of the log service has an
        empty roster; it uses the agents of the platform's host list then.
        """
        ranked = self.homes.ranking(model)
        if ranked:
            return tuple(member.name for member in ranked)
        listed = self._core.directory.listed_agents()
        return tuple(member.name for member in listed)

    def store_ranking(self) -> tuple[str, ...]:
        """Return the names of the agents by rank for the weight store."""
        return tuple(
            member.name for member in self.homes.weight_store_ranking()
        )

    def agents_offering(self, service: str) -> tuple[Member, ...]:
        """Return the agents of a plain service that may get new work."""
        agents = self._core.folds.roster.agents_offering(service)
        return tuple(
            agent
            for agent in agents
            if self._roster_task.host_monitor.is_schedulable(agent)
        )

    def is_own_host_leaving(self) -> bool:
        """Return whether the platform is about to reclaim this host."""
        return self._roster_task.host_monitor.is_leaving(self._member)

    async def leave(self) -> None:
        """Leave the roster, within ``LEAVE_TIMEOUT_S``."""
        if self._running_task is not None:
            self._running_task.cancel()
            await asyncio.gather(self._running_task, return_exceptions=True)
        try:
            async with TimeLimit(LEAVE_TIMEOUT_S, counts_stalls=True):
                await self._roster_task.leave()
        except TimeoutError:
            # Other members report this process as gone later.
            self._core.timeline.record(PART, 'leave_failed')

    def _handle_pause(self) -> None:
        self._core.timeline.record(PART, 'paused')
        self._on_pause()
        if self._catching_up is not None:
            self._catching_up.cancel()
        self._catching_up = asyncio.create_task(self._catch_up())

    async def _catch_up(self) -> None:
        await self._core.folds.catch_up()
        self._core.timeline.record(PART, 'caught_up')
        self._on_caught_up()

    def _on_roster_changed(self) -> None:
        current_agents = {
            member.name: member.nonce
            for member in self._core.folds.roster.members
            if member.role is Role.AGENT
        }
        gone = self._known_agents.items() - current_agents.items()
        joined = current_agents.items() - self._known_agents.items()
        self._known_agents = current_agents
        for name, _ in joined:
            self._core.timeline.record(PART, 'agent_joined', host=name)
        for name, nonce in gone:
            self._core.timeline.record(PART, 'agent_gone', host=name)
            for listener in self._gone_listeners:
                listener(name, nonce)
