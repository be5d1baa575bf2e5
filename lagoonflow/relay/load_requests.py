"""Models and adapters that requests at this router wait for."""

import dataclasses

from lagoonflow.gossip.messages import LoadRequest
from lagoonflow.relay.admission import Ticket

# A wish of a request that was refused, because its model would come too late,
# is kept for those who come after it, in ms.
LINGER_MS = 2000
# The same for a model that must be loaded from the weight store: about the
# time of such a load, in ms.
STORE_LINGER_MS = 8000


@dataclasses.dataclass(frozen=True, slots=True)
class _Hope:
    """What one request hopes for.

    :param until_ms: when the request, or its lingering wish, has ended.
    """

    instance: str
    model: str
    adapter: str
    urgency: int
    until_ms: float


class LoadRequests:
    """Which runner each waiting request hopes for."""

    def __init__(self) -> None:
        """Start without requests."""
        self._waiting: dict[int, _Hope] = {}
        self._lingering: dict[tuple[str, str, str], _Hope] = {}

    def put(self, ticket: Ticket, instance: str) -> bool:
        """Note what a request waits for; tells whether that is new."""
        hope = _hope(ticket, instance, ticket.limit_ms)
        is_new = self._waiting.get(id(ticket)) != hope
        self._waiting[id(ticket)] = hope
        return is_new

    def drop(self, ticket: Ticket) -> None:
        """Note that a request does not wait any more."""
        self._waiting.pop(id(ticket), None)

    def linger(
        self,
        ticket: Ticket,
        instance: str,
        now_ms: float,
        *,
        is_from_store: bool = False,
    ) -> None:
        """Keep the wish of a request that is refused for a while."""
        linger_ms = STORE_LINGER_MS if is_from_store else LINGER_MS
        hope = _hope(ticket, instance, now_ms + linger_ms)
        self._lingering[(instance, hope.model, hope.adapter)] = hope

    def for_runner(
        self, instance: str, now_ms: float
    ) -> tuple[LoadRequest, ...]:
        """Wishes for one runner."""
        self._lingering = {
            key: hope
            for key, hope in self._lingering.items()
            if hope.until_ms > now_ms
        }
        groups: dict[tuple[str, str], list[_Hope]] = {}
        for hope in (*self._waiting.values(), *self._lingering.values()):
            if hope.instance == instance:
                key = (hope.model, hope.adapter)
                groups.setdefault(key, []).append(hope)
        return tuple(_wish(key, hopes, now_ms) for key, hopes in groups.items())


def _hope(ticket: Ticket, instance: str, until_ms: float) -> _Hope:
    call = ticket.call
    return _Hope(instance, call.model, call.adapter, ticket.urgency, until_ms)


def _wish(
    key: tuple[str, str], hopes: list[_Hope], now_ms: float
) -> LoadRequest:
    left_ms = max(hope.until_ms for hope in hopes) - now_ms
    return LoadRequest(
        model=key[0],
        adapter=key[1],
        waiting=len(hopes),
        urgency=min(hope.urgency for hope in hopes),
        deadline_left_ms=max(int(left_ms), 0),
    )
