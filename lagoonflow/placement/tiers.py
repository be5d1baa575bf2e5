"""Tiers of checkpoints and how fast models load from them."""

import dataclasses
import enum


class Tier(enum.StrEnum):
    """Where the nearest copy of a checkpoint lies."""

    READY = 'ready'
    LOADING = 'loading'
    MEMORY = 'memory'
    DISK = 'disk'
    REMOTE = 'remote'


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRate:
    """Observed speed of loads from one tier.

    :param ms_per_mb: time per MB of the model, in ms.
    """

    tier: Tier
    ms_per_mb: float
