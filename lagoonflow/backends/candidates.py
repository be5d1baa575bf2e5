"""Which backend servers take requests now."""

from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.messages import BackendServer


def usable_servers(
    fleet: Fleet, service: str, now_ms: float
) -> list[BackendServer]:
    """Return the servers of a service that are neither leaving nor evacuated.

    There are none while it isn't known which servers have left.
    """
    is_outdated = fleet.roster.outages.is_list_outdated(now_ms)
    if is_outdated or fleet.evacuations.is_outdated(now_ms):
        return []
    return [
        server
        for server in fleet.roster.usable(service)
        if not _is_leaving(fleet, server)
        and not fleet.evacuations.is_evacuated(server.zone)
    ]


def pause_left_ms(fleet: Fleet, server: BackendServer, now_ms: float) -> float:
    """Return the time until a server wants requests again, in ms."""
    return fleet.availability.pause_left_ms(
        server.instance, server.started_ms, now_ms
    )


def may_send(fleet: Fleet, server: BackendServer, now_ms: float) -> bool:
    """Return whether a server that was chosen still takes requests.

    Evacuations are checked apart, by ``may_use_zone``.
    """
    listed = fleet.roster.get(server.instance)
    if listed is None or listed.is_draining or _is_leaving(fleet, server):
        return False
    if fleet.roster.is_removal_due(server.instance, now_ms):
        return False
    return not pause_left_ms(fleet, server, now_ms)


def is_list_outdated(fleet: Fleet, now_ms: float) -> bool:
    """Return whether the list of servers must be read before a send."""
    return fleet.roster.outages.is_list_outdated(now_ms)


def may_use_zone(fleet: Fleet, server: BackendServer, now_ms: float) -> bool:
    """Return whether the zone of a server that was chosen may be used."""
    evacuations = fleet.evacuations
    return not (
        evacuations.is_outdated(now_ms) or evacuations.is_evacuated(server.zone)
    )


def without_evacuated(
    fleet: Fleet, servers: list[BackendServer]
) -> list[BackendServer]:
    """Return the servers that are not in evacuated zones."""
    return [
        server
        for server in servers
        if not fleet.evacuations.is_evacuated(server.zone)
    ]


def _is_leaving(fleet: Fleet, server: BackendServer) -> bool:
    return fleet.availability.is_leaving(server.instance, server.started_ms)
