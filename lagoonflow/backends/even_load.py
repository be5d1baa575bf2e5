"""Choice among servers of nearly the same cost, so that load stays even.

Handles many routers that know the same about the servers and choose at the
same moment: if all took the server of the lowest cost, it would be overloaded
while others idle.
"""

import dataclasses
import random
from collections.abc import Sequence
from typing import Protocol, TypeVar

# Smaller steps of cost don't matter; it keeps the weights finite.
MIN_STEP_MS = 0.01


class Sendable(Protocol):
    """A server that a request can be sent to, as :class:`EvenLoad` needs it."""

    @property
    def cost_ms(self) -> float:
        """Estimated cost of the server."""

    @property
    def step_ms(self) -> float:
        """Cost that one more request adds there."""

    @property
    def unseen(self) -> float:
        """Requests that others have probably sent there since."""


Candidate = TypeVar('Candidate', bound=Sendable)


@dataclasses.dataclass(slots=True)
class ChoiceCounts:
    """Counted choices.

    :ivar made: choices among several servers.
    :ivar spread: those that were not the server of the lowest cost.
    """

    made: int = 0
    spread: int = 0


class EvenLoad:
    """Spreads choices among servers that may be the cheapest one by now.

    The requests that other routers have sent unseen, and the one to be sent,
    are imagined to fill the cheapest servers up to one level of cost. A server
    is chosen with a probability proportional to what it takes up to that
    level. With no unseen requests only servers within the cost of one request
    are chosen; a prompt that is cached, or a penalty, outweighs that.

    :ivar counts: counted choices.
    """

    def __init__(self, chance: random.Random) -> None:
        """Choose by the given random numbers."""
        self.counts = ChoiceCounts()
        self._chance = chance

    def pick(self, sends: Sequence[Candidate], now_ms: float) -> Candidate:
        """Return the server to send to.

        :param sends: possible servers, at least one.
        :param now_ms: boot time, in ms; the estimates are for this time.
        """
        lowest = min(sends, key=_cost_ms)
        if len(sends) == 1:
            return lowest
        level_ms = _level_ms(sends)
        weights = [
            max(level_ms - one.cost_ms, 0) / max(one.step_ms, MIN_STEP_MS)
            for one in sends
        ]
        chosen = lowest
        if any(weights):
            chosen = self._chance.choices(sends, weights)[0]
        self.counts.made += 1
        self.counts.spread += chosen.cost_ms > lowest.cost_ms
        return chosen


def _level_ms(sends: Sequence[Sendable]) -> float:
    """Return the cost up to which the unseen requests fill the servers."""
    requests = 1 + sum(one.unseen for one in sends)
    # Cost and requests of the servers below the level, by their steps.
    steps = requests
    rates: float = 0
    level_ms = float('inf')
    for one in sorted(sends, key=_cost_ms):
        if one.cost_ms >= level_ms:
            break
        rate = 1 / max(one.step_ms, MIN_STEP_MS)
        steps += one.cost_ms * rate
        rates += rate
        level_ms = steps / rates
    return level_ms


def _cost_ms(send: Sendable) -> float:
    return send.cost_ms
