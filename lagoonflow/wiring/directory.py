"""Addresses of other processes, from the roster or else the host list."""

from lagoonflow.clients.messages.hosts import Host, HostList
from lagoonflow.roster.host_monitor import HostState
from lagoonflow.roster.messages import Member, Role
from lagoonflow.roster.state import RosterFold
from lagoonflow.wire.channel_pool import Endpoint


class Directory:
    """Looks up processes by name.

    The roster comes first. The platform's host list covers processes that
    aren't in the roster, such as those that started during an outage of
    the log service.
    """

    def __init__(self, own_name: str, roster: RosterFold) -> None:
        """Start without a host list."""
        self._own_name = own_name
        self._roster = roster
        self._hosts: dict[str, Host] = {}

    def update(self, listing: HostList) -> dict[str, HostState]:
        """Store a new host list.

        :returns: the states of the hosts by IP address.
        """
        self._hosts = {host.name: host for host in listing.hosts}
        return {host.address: HostState(host.state) for host in listing.hosts}

    def resolve(self, name: str) -> Endpoint | None:
        """Return the gRPC endpoint of a process; ``None`` if unknown."""
        member = self._roster.member(name)
        if member is not None:
            return Endpoint(member.host, member.port)
        host = self._hosts.get(name)
        return Endpoint(host.address, host.port) if host else None

    def peers(self) -> tuple[str, ...]:
        """Return the names of all other processes."""
        members = {member.name for member in self._roster.members}
        names = members.union(self._hosts)
        return tuple(sorted(names - {self._own_name}))

    def listed_agents(self) -> tuple[Member, ...]:
        """Return the agents that only the host list shows."""
        return tuple(
            Member(
                name=host.name,
                role=Role.AGENT,
                host=host.address,
                port=host.port,
                zone=host.zone,
                nonce='',
                has_engine=True,
            )
            for host in self._hosts.values()
            if host.role == Role.AGENT
            and self._roster.member(host.name) is None
        )
