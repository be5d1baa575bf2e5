"""The platform's list of hosts."""

import dataclasses
from typing import Literal


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """A host that the platform lists.

    :param name: name of the host.
    :param address: IP address of the program on it.
    :param port: port of the program on it.
    :param zone: availability zone.
    :param role: duty of the host.
    :param state: whether the host is about to go.
    """

    name: str
    address: str
    port: int
    zone: str
    role: str
    state: Literal['live', 'leaving']


@dataclasses.dataclass(frozen=True, slots=True)
class HostList:
    """The hosts as the platform saw them a short while ago.

    :param hosts: the hosts.
    """

    hosts: tuple[Host, ...]
