"""Flags of the programs under test: the one place to fill in.

The names below are placeholders until the programs land.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """Addresses of the stand-ins that every program talks to.

    :param log: address of the log service.
    :param host_list: address of the host list.
    :param store: address of the weight store.
    """

    log: str
    host_list: str
    store: str


def router_flags(platform: Platform, name: str, zone: str) -> list[str]:
    """Return the flags of a router."""
    return [
        *_common_flags(platform, name, zone),
    ]


def agent_flags(
    platform: Platform,
    name: str,
    zone: str,
    engine: str,
    plain_services: dict[str, str],
) -> list[str]:
    """Return the flags of an agent.

    :param engine: address of its engine.
    :param plain_services: addresses of its plain services, by name.
    """
    flags = [
        *_common_flags(platform, name, zone),
        '--engine',
        engine,
    ]
    for service, address in plain_services.items():
        flags += ['--plain', f'{service}={address}']
    return flags


def _common_flags(platform: Platform, name: str, zone: str) -> list[str]:
    return [
        '--name',
        name,
        '--zone',
        zone,
        '--port',
        '0',
        '--admin-port',
        '0',
        '--log',
        platform.log,
        '--hosts',
        platform.host_list,
    ]
