"""Derives from the platform's host list which members are gone or leaving."""

import dataclasses
import enum
from collections.abc import Mapping

import xxhash

from lagoonflow.roster.messages import Gone, Member
from lagoonflow.roster.state import RosterFold


class HostState(enum.StrEnum):
    """State of a host in the platform's list.

    The platform is about to reclaim a host that is leaving.
    """

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class HostMonitorSettings:
    """Timing of the reports of members that are gone.

    :param list_lag_ms: maximum time that the host list lags behind, in ms;
        a member is reported only if its host is missing for longer.
    :param jitter_ms: time over which processes spread their first reports of
        a member, in ms; the first report makes those of the others needless.
    :param report_interval_ms: time between reports of the same member, in
        ms.
    """

    list_lag_ms: float = 5000
    jitter_ms: float = 2000
    report_interval_ms: float = 5000


class HostMonitor:
    """Tracks the states of hosts and reports members whose host is gone.

    :param own_name: name of this process in the roster.
    :param own_host: IP address of the host of this process.
    """

    def __init__(
        self,
        own_name: str,
        own_host: str,
        settings: HostMonitorSettings | None = None,
    ) -> None:
        """Start without a host list; all members are schedulable until then."""
        self._own_name = own_name
        self._own_host = own_host
        self._settings = settings or HostMonitorSettings()
        self._report_due_ms: dict[tuple[str, str], float] = {}
        self._leaving_hosts: frozenset[str] = frozenset()
        self._listed_hosts: frozenset[str] | None = None

    def on_host_list(
        self,
        now_ms: float,
        hosts: Mapping[str, HostState],
        fold: RosterFold,
    ) -> list[Gone]:
        """Process a host list and return the departures to append.

        A list without the host of this process is ignored: either the
        platform has not listed the host yet, or the list is incomplete.

        :param now_ms: current time, in ms.
        :param hosts: states of the listed hosts by IP address.
        :param fold: the current roster.
        """
        if self._own_host not in hosts:
            return []
        self._listed_hosts = frozenset(hosts)
        self._leaving_hosts = frozenset(
            host for host, state in hosts.items() if state != HostState.LIVE
        )
        unlisted = [
            member for member in fold.members if self._is_unlisted(member)
        ]
        self._forget_relisted(unlisted)
        return [
            Gone(member.name, member.nonce, reporter=self._own_name)
            for member in unlisted
            if self._is_report_due(now_ms, member)
        ]

    def is_schedulable(self, member: Member) -> bool:
        """Return whether a member may get new work."""
        if member.host in self._leaving_hosts:
            return False
        return self._listed_hosts is None or not self._is_unlisted(member)

    def is_leaving(self, member: Member) -> bool:
        """Return whether the platform is about to reclaim a member's host."""
        return member.host in self._leaving_hosts

    def _is_unlisted(self, member: Member) -> bool:
        if self._listed_hosts is None:
            return False
        return member.host not in self._listed_hosts

    def _forget_relisted(self, unlisted: list[Member]) -> None:
        keys = {(member.name, member.nonce) for member in unlisted}
        self._report_due_ms = {
            key: due_ms
            for key, due_ms in self._report_due_ms.items()
            if key in keys
        }

    def _is_report_due(self, now_ms: float, member: Member) -> bool:
        key = (member.name, member.nonce)
        due_ms = self._report_due_ms.get(key)
        if due_ms is None:
            delay_ms = self._settings.list_lag_ms + self._jitter_ms(member)
            self._report_due_ms[key] = now_ms + delay_ms
            return False
        if now_ms <= due_ms:
            return False
        self._report_due_ms[key] = now_ms + self._settings.report_interval_ms
        return True

    def _jitter_ms(self, member: Member) -> float:
        subject = f'{self._own_name}/{member.name}/{member.nonce}'
        digest = xxhash.xxh3_64_intdigest(subject.encode())
        return self._settings.jitter_ms * digest / (1 << 64)
