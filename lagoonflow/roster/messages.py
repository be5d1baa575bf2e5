"""Members of the roster, and the changes of the roster."""

import dataclasses
import enum


class Role(enum.StrEnum):
    """Kind of program that a member runs."""

    ROUTER = 'router'
    AGENT = 'agent'


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One router or agent process.

    :param name: unique name of the process, which includes its host's name.
    :param host: IP address at which other processes reach it.
    :param port: gRPC port.
    :param zone: availability zone of the host.
    :param nonce: differs between a restarted process and its predecessor.
    :param admin_port: port of the metrics, status and time line.
    :param services: names of the plain services that its backend server
        offers.
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
    """A member has stopped as planned and left the roster."""

    name: str
    nonce: str


@dataclasses.dataclass(frozen=True, slots=True)
class Gone:
    """The host of a member is no longer in the platform's host list.

    :param reporter: name of the member that noticed it.
    """

    name: str
    nonce: str
    reporter: str = ''


RosterChange = Joined | Left | Gone
