"""Messages and values of the roster."""

import dataclasses
import enum


class Role(enum.StrEnum):
    """What a member does."""

    ROUTER = 'router'
    AGENT = 'agent'


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One process of the system.

    :param name: unique name of the process, its host's name included.
    :param host: IP address that other processes reach it at.
    :param port: gRPC port.
    :param admin_port: port of metrics, status and time line.
    :param nonce: tells a restarted process from its predecessor.
    :param services: plain services that its backend server offers.
    :param has_engine: whether its backend server is a model engine.
    """

    name: str
    role: Role
    host: str
    port: int
    zone: str
    nonce: str
    admin_port: int = 0
    services: tuple[str, ...] = ()
    has_engine: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Joined:
    """A member has joined the roster."""

    member: Member


@dataclasses.dataclass(frozen=True, slots=True)
class Left:
    """A member has left the roster by itself."""

    name: str
    nonce: str


@dataclasses.dataclass(frozen=True, slots=True)
class Gone:
    """The platform's list has dropped the host of a member."""

    name: str
    nonce: str
    reporter: str = ''


RosterChange = Joined | Left | Gone
