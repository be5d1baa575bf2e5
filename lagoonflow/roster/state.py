"""Folds the roster stream into the set of members."""

import dataclasses
from typing import Any

import msgspec

from lagoonflow.results import Refusal, Result
from lagoonflow.roster.messages import (
    Gone,
    Joined,
    Left,
    Member,
    Role,
    RosterChange,
)
from lagoonflow.roster.records import decode_change
from lagoonflow.streams.envelope import Envelope
from lagoonflow.streams.fold import FoldBase
from lagoonflow.streams.messages import Stream

_UNKNOWN_KIND = 'The kind of the record is unknown.'


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """A member and the roster version in which it joined.

    :param joined_version: first roster version that includes the member.
    """

    member: Member
    joined_version: int


_states = msgspec.json.Decoder(tuple[Membership, ...])


class RosterFold(FoldBase):
    """The members as of one version of the roster stream."""

    stream = Stream.ROSTER

    def __init__(self) -> None:
        """Start with no members."""
        super().__init__()
        self._memberships: dict[str, Membership] = {}

    @property
    def version(self) -> int:
        """Version of the roster: the offset of the next record to fold."""
        return self.next_offset

    @property
    def memberships(self) -> tuple[Membership, ...]:
        """All memberships in the order in which the members joined."""
        return tuple(self._memberships.values())

    @property
    def members(self) -> tuple[Member, ...]:
        """All members in the order in which they joined."""
        return tuple(
            membership.member for membership in self._memberships.values()
        )

    def routers(self) -> tuple[Member, ...]:
        """Return the routers in the order in which they joined."""
        return _with_role(self.members, Role.ROUTER)

    def agents(self) -> tuple[Member, ...]:
        """Return the agents in the order in which they joined."""
        return _with_role(self.members, Role.AGENT)

    def engine_agents(self) -> tuple[Member, ...]:
        """Return the agents whose backend server is a model engine."""
        return tuple(agent for agent in self.agents() if agent.has_engine)

    def agents_offering(self, service: str) -> tuple[Member, ...]:
        """Return the agents whose backend server offers a plain service."""
        return tuple(
            agent for agent in self.agents() if service in agent.services
        )

    def member(self, name: str) -> Member | None:
        """Return the member of a name; ``None`` if there is none."""
        membership = self._memberships.get(name)
        return membership.member if membership else None

    def is_member(self, name: str, nonce: str) -> bool:
        """Return whether a process is a member; false for its successor."""
        member = self.member(name)
        return member is not None and member.nonce == nonce

    def _fold(self, envelope: Envelope, offset: int) -> Refusal | None:
        change = decode_change(envelope)
        if change is None:
            return Refusal(Result.RECORD_REJECTED, _UNKNOWN_KIND)
        self._apply_change(change, offset + 1)
        return None

    def _dump(self) -> Any:
        return self.memberships

    def _load(self, state: msgspec.Raw) -> None:
        memberships = _states.decode(state)
        self._memberships = {
            membership.member.name: membership for membership in memberships
        }

    def _apply_change(self, change: RosterChange, version: int) -> None:
        match change:
            case Joined(member=member):
                self._add(member, version)
            case Left(name=name, nonce=nonce) | Gone(name=name, nonce=nonce):
                self._remove(name, nonce)

    def _add(self, member: Member, version: int) -> None:
        if self.is_member(member.name, member.nonce):
            return
        # A restarted process counts as a new member: removing its predecessor
        # first puts it last in the order of joining.
        self._memberships.pop(member.name, None)
        self._memberships[member.name] = Membership(member, version)

    def _remove(self, name: str, nonce: str) -> None:
        if self.is_member(name, nonce):
            self._memberships.pop(name)


def _with_role(members: tuple[Member, ...], role: Role) -> tuple[Member, ...]:
    return tuple(member for member in members if member.role is role)
