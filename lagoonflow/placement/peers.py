"""How tasks reach the other processes."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

from lagoonflow.placement.settings import Ranking
from lagoonflow.wire.services import Method

Send = Callable[[str, Method, Any], Awaitable[Any]]


@dataclasses.dataclass(frozen=True, slots=True)
class RankedPeers:
    """Sends messages to members by name.

    :param send: sends to a member, the own process included; returns the
        reply, or a :class:`lagoonflow.results.Refusal` when none comes.
    :param ranking: agents by rank for a model; the first is its home.
    :param store_ranking: agents by rank for the weight store.
    """

    send: Send
    ranking: Ranking
    store_ranking: Callable[[], tuple[str, ...]]
