"""The platform's list of hosts."""

import dataclasses
from typing import Literal


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """A host that the platform lists.

    :param name: name of the host.
    :param address: IP address of the program on the host.
    :param port: port of the program on the host.
    :param zone: availability zone.
    :param role: role of the program, such as agent.
    :param state: `leaving` when the platform is about to remove the host.
    """

    name: str
    address: str
    port: int
    zone: str
    role: str
    state: Literal['live', 'leaving']


@dataclasses.dataclass(frozen=True, slots=True)
class HostList:
    """The host list, which lags behind the state of the platform.

    :param hosts: hosts that the platform lists.
    """

    hosts: tuple[Host, ...]
