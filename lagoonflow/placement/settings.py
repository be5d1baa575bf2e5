"""Settings of homes and of the router's cache of locations."""

import dataclasses
from collections.abc import Callable, Sequence
from typing import Protocol

from lagoonflow.releases.messages import ModelSpec

Ranking = Callable[[str], Sequence[str]]


class Models(Protocol):
    """What a home needs to know of the release notes in force."""

    def model(self, name: str) -> ModelSpec | None:
        """Find a model."""


@dataclasses.dataclass(frozen=True, slots=True)
class HomeSettings:
    """Settings of the homes of one agent.

    :param name: name of the agent.
    :param nonce: tells a restarted agent from its predecessor.
    :param asked_by_hash: agents that a round asks besides known holders.
    :param early_close_ms: when a round with a usable bid may close.
    :param round_timeout_ms: when a round closes whatever has come.
    :param gather_ms: how long a new home asks all agents.
    :param announcement_lifetime_ms: when unrepeated announcements expire.
    :param unreachable_ms: how long a peer counts as unreachable.
    :param spill_interval_ms: least time between added replicas of a model.
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
