"""Models and adapters that requests at this router wait for."""

import dataclasses

from lagoonflow.gossip.messages import Wish
from lagoonflow.relay.admission import Ticket


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    instance: str
    ticket: Ticket


class Wishes:
    """Which runner each waiting request hopes for."""

    def __init__(self) -> None:
        """Start without requests."""
        self._waiting: dict[int, _Waiting] = {}

    def put(self, ticket: Ticket, instance: str) -> bool:
        """Note what a request waits for; tells whether that is new."""
        waiting = _Waiting(instance, ticket)
        is_new = self._waiting.get(id(ticket)) != waiting
        self._waiting[id(ticket)] = waiting
        return is_new

    def drop(self, ticket: Ticket) -> None:
        """Note that a request does not wait any more."""
        self._waiting.pop(id(ticket), None)

    def instances(self) -> set[str]:
        """Runners that requests hope for."""
        return {waiting.instance for waiting in self._waiting.values()}

    def at(self, instance: str, now_ms: float) -> tuple[Wish, ...]:
        """Wishes for one runner."""
        groups: dict[tuple[str, str], list[Ticket]] = {}
        for waiting in self._waiting.values():
            if waiting.instance == instance:
                call = waiting.ticket.call
                key = (call.model, call.adapter)
                groups.setdefault(key, []).append(waiting.ticket)
        return tuple(
            _wish(key, tickets, now_ms) for key, tickets in groups.items()
        )


def _wish(key: tuple[str, str], tickets: list[Ticket], now_ms: float) -> Wish:
    left_ms = max(ticket.left_ms(now_ms) for ticket in tickets)
    return Wish(
        model=key[0],
        adapter=key[1],
        waiting=len(tickets),
        urgency=min(ticket.urgency for ticket in tickets),
        deadline_left_ms=max(int(left_ms), 0),
    )
