"""Folds the roster stream into the set of members."""

import dataclasses

from lagoonflow.roster.messages import (
    Gone,
    Joined,
    Left,
    Member,
    Role,
    RosterChange,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """A member and when it joined.

    :param joined_version: first roster version that includes the member.
    """

    member: Member
    joined_version: int


class RosterFold:
    """The members as of one version of the roster stream.

    :ivar version: offset of the next record of the stream.
    """

    def __init__(self) -> None:
        """Start with no members."""
        self.version = 0
        self._memberships: dict[str, Membership] = {}

    @property
    def memberships(self) -> tuple[Membership, ...]:
        """All members in the order in which they joined."""
        return tuple(self._memberships.values())

    @property
    def members(self) -> tuple[Member, ...]:
        """All members in the order in which they joined."""
        return tuple(entry.member for entry in self._memberships.values())

    def change(self, change: RosterChange, version: int | None = None) -> None:
        """Apply one change in stream order.

        :param version: roster version after the change; default is the next.
        """
        self.version = self.version + 1 if version is None else version
        match change:
            case Joined(member=member):
                self._add(member)
            case Left(name=name, nonce=nonce) | Gone(name=name, nonce=nonce):
                self._remove(name, nonce)

    def routers(self) -> tuple[Member, ...]:
        """Routers in the order in which they joined."""
        return self._with_role(Role.ROUTER)

    def agents(self) -> tuple[Member, ...]:
        """Agents in the order in which they joined."""
        return self._with_role(Role.AGENT)

    def engine_agents(self) -> tuple[Member, ...]:
        """Agents whose backend server is a model engine."""
        return tuple(agent for agent in self.agents() if agent.has_engine)

    def agents_of(self, service: str) -> tuple[Member, ...]:
        """Agents whose backend server offers a plain service."""
        return tuple(
            agent for agent in self.agents() if service in agent.services
        )

    def member(self, name: str) -> Member | None:
        """Member of this name, if there is one."""
        entry = self._memberships.get(name)
        return entry.member if entry else None

    def is_member(self, name: str, nonce: str) -> bool:
        """Whether exactly this process, not a successor, is a member."""
        member = self.member(name)
        return member is not None and member.nonce == nonce

    def _with_role(self, role: Role) -> tuple[Member, ...]:
        return tuple(
            entry.member
            for entry in self._memberships.values()
            if entry.member.role is role
        )

    def _add(self, member: Member) -> None:
        if self.is_member(member.name, member.nonce):
            return
        # A restarted process joins anew: its predecessor's place in the
        # order of joining must not pass to it.
        self._memberships.pop(member.name, None)
        self._memberships[member.name] = Membership(member, self.version)

    def _remove(self, name: str, nonce: str) -> None:
        if self.is_member(name, nonce):
            self._memberships.pop(name)
