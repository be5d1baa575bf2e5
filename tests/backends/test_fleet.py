"""What a router keeps of servers that are gone."""

import dataclasses

from lagoonflow.backends.fleet import MAX_GONE_SERVERS, Fleet
from lagoonflow.backends.limits import LimitStatement
from lagoonflow.backends.messages import BackendServer
from lagoonflow.gossip.messages import AgentState

SERVER = BackendServer('', 'app', '127.0.0.1:1', 'z', 8, started_ms=1)
REPLACED = 1000
# Servers listed at the same time.
LISTED = 3


def use(fleet, instance, now_ms):
    fleet.begin_request(instance, 'm', now_ms, prefill_tokens=5)
    fleet.note_prefilled(instance, 5)
    fleet.end_request(instance, 'm')
    hear(fleet, instance, now_ms)


def hear(fleet, instance, now_ms):
    """Take a statement of an agent, and one in a late answer."""
    fleet.observe_agent(AgentState(instance, instance, 1), now_ms)
    fleet.limits.hear(LimitStatement(instance, 1, 5, now_ms))


def records(fleet):
    """Return how much is kept in each table of the fleet and its parts."""
    parts = (fleet, fleet.limits, fleet.liveness, fleet.cold, fleet.speeds)
    return {
        f'{type(part).__name__}.{name}': len(table)
        for part in parts
        for name, table in vars(part).items()
        if isinstance(table, dict)
    }


def test_what_is_kept_of_replaced_servers_is_bounded():
    fleet = Fleet()
    fleet.roster.put(dataclasses.replace(SERVER, instance='stays'), 0)
    fleet.begin_request('busy', 'm', 0)
    for number in range(REPLACED):
        name = f'i-{number}'
        fleet.roster.put(dataclasses.replace(SERVER, instance=name), number)
        use(fleet, name, number)
        gone = f'i-{number - LISTED}'
        if fleet.roster.get(gone) is not None:
            fleet.roster.remove(gone, number)
            fleet.forget(
                [one.instance for one in fleet.roster.remove_expired(1e9)]
            )
            hear(fleet, gone, number)
    fleet.health('stays').inflight += 1
    fleet.forget([])
    most = MAX_GONE_SERVERS + LISTED + 2
    assert {n: c for n, c in records(fleet).items() if c > most} == {}
    assert fleet.health('busy').inflight == 1
    assert fleet.health('stays').inflight == 1
