"""Which backend servers take requests now."""

from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.messages import BackendServer


def usable_servers(fleet: Fleet, service: str) -> list[BackendServer]:
    """Return the servers of a service that are not leaving."""
    return [
        server
        for server in fleet.roster.usable(service)
        if not _is_leaving(fleet, server)
    ]


def pause_left_ms(fleet: Fleet, server: BackendServer, now_ms: float) -> float:
    """Return the time until a server wants requests again, in ms."""
    return fleet.availability.pause_left_ms(
        server.instance, server.started_ms, now_ms
    )


def may_send(fleet: Fleet, server: BackendServer, now_ms: float) -> bool:
    """Return whether a server that was chosen still takes requests."""
    listed = fleet.roster.get(server.instance)
    if listed is None or listed.is_draining or _is_leaving(fleet, server):
        return False
    return not pause_left_ms(fleet, server, now_ms)


def _is_leaving(fleet: Fleet, server: BackendServer) -> bool:
    return fleet.availability.is_leaving(server.instance, server.started_ms)
