"""Flags of routers and agents, and the names of their addresses.

Each program gets a loopback address of its own, since the platform's host list
identifies hosts by address.
"""

import dataclasses

PEER = 'peer'
ADMIN = 'admin'
CALLERS = 'callers'
LISTENERS = {'router': (CALLERS, PEER, ADMIN), 'agent': (PEER, ADMIN)}
ADMIN_PATHS = ('/live', '/ready', '/metrics', '/status', '/timeline')
SUBNETS = {'router': '127.0.1', 'agent': '127.0.2'}


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """Addresses of the stand-ins that every program talks to.

    :param log: address of the log service.
    :param host_list: address of the host list.
    """

    log: str
    host_list: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramInstance:
    """Identifies one router or agent of a fleet.

    :param role: `router` or `agent`.
    :param number: number among the programs of this role, from 1.
    :param zone: availability zone of the program.
    """

    role: str
    number: int
    zone: str

    @property
    def host(self) -> str:
        """Return the loopback address of the program."""
        return f'{SUBNETS[self.role]}.{self.number}'


@dataclasses.dataclass(frozen=True, slots=True)
class Backends:
    """The backend servers on the host of an agent.

    :param engine: address of the engine.
    :param service: name of the plain service.
    :param service_address: address of the plain service.
    :param memory_mb: memory of the engine, in MB.
    :param has_fencing: whether the engine rejects orders with an old fence.
    """

    engine: str
    service: str
    service_address: str
    memory_mb: int
    has_fencing: bool


def router_flags(platform: Platform, instance: ProgramInstance) -> list[str]:
    """Return the flags of a router."""
    return [
        *_common_flags(platform, instance),
        f'--address={instance.host}:0',
    ]


def agent_flags(
    platform: Platform, instance: ProgramInstance, backends: Backends
) -> list[str]:
    """Return the flags of an agent."""
    fencing = 'engine-fencing' if backends.has_fencing else 'no-engine-fencing'
    return [
        *_common_flags(platform, instance),
        f'--engine-url=http://{backends.engine}',
        f'--engine-memory-mb={backends.memory_mb}',
        f'--{fencing}',
        f'--service={backends.service}',
        f'--service-url=http://{backends.service_address}',
    ]


def _common_flags(platform: Platform, instance: ProgramInstance) -> list[str]:
    return [
        f'--name={instance.role}-{instance.number}',
        f'--zone={instance.zone}',
        f'--log-url=http://{platform.log}',
        f'--hosts-url=http://{platform.host_list}',
        f'--peer-address={instance.host}:0',
        f'--admin-address={instance.host}:0',
        '--host-list-lag-s=1',
    ]
