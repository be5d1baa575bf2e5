"""Settings of homes, and how they look up models and rankings."""

import dataclasses
from collections.abc import Callable, Sequence
from typing import Protocol

from lagoonflow.releases.messages import ModelSpec

# Agents by rank for a model; the first is its home.
Ranking = Callable[[str], Sequence[str]]


class Models(Protocol):
    """Looks up models in the release notes that are in force."""

    def model(self, name: str) -> ModelSpec | None:
        """Return the specification of a model, or ``None`` if unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class HomeSettings:
    """Settings of the homes of one agent.

    :param name: name of the agent.
    :param nonce: value that a restart of the agent changes.
    :param asked_by_hash: number of top-ranked agents that a round of bids
        asks, besides the agents that are known to have the model.
    :param early_close_ms: age at which a round that has a usable bid stops
        waiting for further bids, in ms.
    :param round_timeout_ms: age at which a round closes with whatever bids
        have arrived, in ms.
    :param gather_ms: time during which a new home asks all agents, in ms.
    :param announcement_lifetime_ms: time after which the home drops a
        replica or checkpoint that isn't announced again, in ms.
    :param unreachable_ms: time for which an agent that couldn't be reached
        counts as unreachable, in ms.
    :param spill_interval_ms: minimum time between two attempts to add a
        replica of a model whose requests wait too long, in ms.
    """

    name: str
    nonce: str
    asked_by_hash: int = 4
    early_close_ms: int = 30
    round_timeout_ms: int = 300
    gather_ms: int = 1_000
    announcement_lifetime_ms: int = 10_000
    unreachable_ms: int = 3_000
    spill_interval_ms: int = 2_000
