"""Where the other processes are: from the roster, else the host list."""

from lagoonflow.clients.messages.hosts import Host, HostList
from lagoonflow.roster.host_monitor import HostState
from lagoonflow.roster.messages import Member, Role
from lagoonflow.roster.state import RosterFold
from lagoonflow.wire.channel_pool import Endpoint


class Directory:
    """Finds members by name.

    The platform's list serves processes that the roster does not show,
    such as those that started while the log service was away.
    """

    def __init__(self, own_name: str, roster: RosterFold) -> None:
        """Start without a listing."""
        self._own_name = own_name
        self._roster = roster
        self._hosts: dict[str, Host] = {}

    def learn(self, listing: HostList) -> dict[str, HostState]:
        """Take a listing, and return the states of its hosts by address."""
        self._hosts = {host.name: host for host in listing.hosts}
        return {host.address: HostState(host.state) for host in listing.hosts}

    def resolve(self, name: str) -> Endpoint | None:
        """Return the gRPC endpoint of a process."""
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
        """Return agents that the list shows and the roster does not."""
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
