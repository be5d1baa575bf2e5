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
    """A member and when it joined.

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
        """Offset of the next record of the stream."""
        return self.next_offset

    @property
    def memberships(self) -> tuple[Membership, ...]:
        """All members in the order in which they joined."""
        return tuple(self._memberships.values())

    @property
    def members(self) -> tuple[Member, ...]:
        """All members in the order in which they joined."""
        return tuple(entry.member for entry in self._memberships.values())

    def routers(self) -> tuple[Member, ...]:
        """Routers in the order in which they joined."""
        return _with_role(self.members, Role.ROUTER)

    def agents(self) -> tuple[Member, ...]:
        """Agents in the order in which they joined."""
        return _with_role(self.members, Role.AGENT)

    def engine_agents(self) -> tuple[Member, ...]:
        """Agents whose backend server is a model engine."""
        return tuple(agent for agent in self.agents() if agent.has_engine)

    def agents_offering(self, service: str) -> tuple[Member, ...]:
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

    def _fold(self, envelope: Envelope, offset: int) -> Refusal | None:
        change = decode_change(envelope)
        if change is None:
            return Refusal(Result.RECORD_REJECTED, _UNKNOWN_KIND)
        self._change(change, offset + 1)
        return None

    def _dump(self) -> Any:
        return self.memberships

    def _load(self, state: msgspec.Raw) -> None:
        memberships = _states.decode(state)
        self._memberships = {entry.member.name: entry for entry in memberships}

    def _change(self, change: RosterChange, version: int) -> None:
        match change:
            case Joined(member=member):
                self._add(member, version)
            case Left(name=name, nonce=nonce) | Gone(name=name, nonce=nonce):
                self._remove(name, nonce)

    def _add(self, member: Member, version: int) -> None:
        if self.is_member(member.name, member.nonce):
            return
        # A restarted process joins anew: its predecessor's place in the
        # order of joining must not pass to it.
        self._memberships.pop(member.name, None)
        self._memberships[member.name] = Membership(member, version)

    def _remove(self, name: str, nonce: str) -> None:
        if self.is_member(name, nonce):
            self._memberships.pop(name)


def _with_role(members: tuple[Member, ...], role: Role) -> tuple[Member, ...]:
    return tuple(member for member in members if member.role is role)
