"""Decides from the platform's host list which members are gone."""

import dataclasses
import enum
from collections.abc import Mapping

import xxhash

from lagoonflow.roster.messages import Gone, Member
from lagoonflow.roster.state import RosterFold


class HostState(enum.StrEnum):
    """State of a host in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class HostMonitorSettings:
    """Timing of departures.

    :param list_lag_ms: longest time that the host list lags behind.
    :param jitter_ms: processes spread their reports over this time.
    :param report_interval_ms: least time between reports of one member.
    """

    list_lag_ms: float = 5000
    jitter_ms: float = 2000
    report_interval_ms: float = 5000


class HostMonitor:
    """Watches the host list on behalf of one process.

    :param own_name: name of the process in the roster.
    :param own_host: IP address of its host.
    """

    def __init__(
        self,
        own_name: str,
        own_host: str,
        settings: HostMonitorSettings | None = None,
    ) -> None:
        """Start without any listing seen."""
        self._own_name = own_name
        self._own_host = own_host
        self._settings = settings or HostMonitorSettings()
        self._due_ms: dict[tuple[str, str], float] = {}
        self._unfit_hosts: frozenset[str] = frozenset()
        self._listed_hosts: frozenset[str] | None = None

    def on_host_list(
        self,
        now_ms: float,
        hosts: Mapping[str, HostState],
        fold: RosterFold,
    ) -> list[Gone]:
        """Take a listing and return the records to append.

        A listing without the own host is not trusted: the platform has
        not listed the host yet, or the listing is incomplete.

        :param hosts: state by IP address of the host.
        """
        if self._own_host not in hosts:
            return []
        self._listed_hosts = frozenset(hosts)
        self._unfit_hosts = frozenset(
            host for host, state in hosts.items() if state != HostState.LIVE
        )
        dropped = [
            member for member in fold.members if self._is_dropped(member)
        ]
        self._forget_all_but(dropped)
        return [
            Gone(member.name, member.nonce, reporter=self._own_name)
            for member in dropped
            if self._is_due(now_ms, member)
        ]

    def is_schedulable(self, member: Member) -> bool:
        """Whether a member may get new work."""
        if member.host in self._unfit_hosts:
            return False
        return self._listed_hosts is None or not self._is_dropped(member)

    def is_leaving(self, member: Member) -> bool:
        """Whether the platform is about to reclaim the member's host."""
        return member.host in self._unfit_hosts

    def _is_dropped(self, member: Member) -> bool:
        if self._listed_hosts is None:
            return False
        return member.host not in self._listed_hosts

    def _forget_all_but(self, dropped: list[Member]) -> None:
        keys = {(member.name, member.nonce) for member in dropped}
        self._due_ms = {
            key: due_ms for key, due_ms in self._due_ms.items() if key in keys
        }

    def _is_due(self, now_ms: float, member: Member) -> bool:
        key = (member.name, member.nonce)
        due_ms = self._due_ms.get(key)
        if due_ms is None:
            delay_ms = self._settings.list_lag_ms + self._jitter_ms(member)
            self._due_ms[key] = now_ms + delay_ms
            return False
        if now_ms <= due_ms:
            return False
        self._due_ms[key] = now_ms + self._settings.report_interval_ms
        return True

    def _jitter_ms(self, member: Member) -> float:
        subject = f'{self._own_name}/{member.name}/{member.nonce}'
        digest = xxhash.xxh3_64_intdigest(subject.encode())
        return self._settings.jitter_ms * digest / (1 << 64)
