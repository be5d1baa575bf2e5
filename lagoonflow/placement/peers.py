"""How an agent reaches the other processes, and how agents rank."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

from lagoonflow.placement.settings import Ranking
from lagoonflow.wire.methods import Method

# Sends a message to a member by name.
Send = Callable[[str, Method, Any], Awaitable[Any]]


@dataclasses.dataclass(frozen=True, slots=True)
class RankedPeers:
    """Sends messages to members of the roster and ranks the agents.

    :param send: sends a message to the member of this name, which may be the
        own process; returns the reply, or a
        :class:`lagoonflow.results.Refusal` when no reply comes.
    :param ranking: agents by rank for a model; the first is its home.
    :param store_ranking: agents by rank for the weight store.
    """

    send: Send
    ranking: Ranking
    store_ranking: Callable[[], tuple[str, ...]]
