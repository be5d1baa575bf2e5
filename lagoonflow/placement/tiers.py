"""Tiers from which a model loads, and the speed of loads from them."""

import dataclasses
import enum


class Tier(enum.StrEnum):
    """Nearest place at which an agent has a model.

    READY: a replica that serves requests.
    LOADING: a replica that is still being loaded.
    MEMORY: a checkpoint in the memory of the host.
    DISK: a checkpoint on the disk of the host.
    REMOTE: only the weight store has the checkpoint.
    """

    READY = 'ready'
    LOADING = 'loading'
    MEMORY = 'memory'
    DISK = 'disk'
    REMOTE = 'remote'


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRate:
    """Observed speed of loads from one tier.

    :param ms_per_mb: load time for each MB of the model, in ms.
    """

    tier: Tier
    ms_per_mb: float
