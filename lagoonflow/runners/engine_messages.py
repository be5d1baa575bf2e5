"""Messages from an engine: its listing and its answers to orders."""

import dataclasses
import enum

from lagoonflow.placement.messages import Tier


class EngineState(enum.StrEnum):
    """State of a replica or adapter as the engine lists it."""

    LOADING = 'loading'
    READY = 'ready'
    UNLOADING = 'unloading'
    FAILED = 'failed'


@dataclasses.dataclass(frozen=True, slots=True)
class ListedAdapter:
    """An adapter as the engine lists it."""

    adapter: str
    version: str
    memory_mb: int = 0
    state: EngineState = EngineState.READY


@dataclasses.dataclass(frozen=True, slots=True)
class ListedReplica:
    """A replica as the engine lists it, from the start of its load."""

    model: str
    version: str
    state: EngineState
    memory_mb: int
    adapters: tuple[ListedAdapter, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ListedCheckpoint:
    """A local copy of a checkpoint as the engine lists it."""

    model: str
    version: str
    tier: Tier


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """What an engine has loaded or is loading, and its local checkpoints.

    :param epoch: changes when the engine restarts.
    :param capacity_mb: accelerator memory of the engine.
    :param last_fence: highest fencing number that the engine has seen.
    """

    epoch: str
    capacity_mb: int
    last_fence: int
    replicas: tuple[ListedReplica, ...] = ()
    checkpoints: tuple[ListedCheckpoint, ...] = ()


class Answer(enum.StrEnum):
    """Answer to an order; ``LOST`` when none was received."""

    ACCEPTED = 'accepted'
    DONE = 'done'
    STALE_FENCE = 'stale_fence'
    NO_MEMORY = 'no_memory'
    FAILED = 'failed'
    LOST = 'lost'


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswer:
    """The engine's answer to the order with this fencing number.

    :param last_fence: highest fencing number that the engine has seen; 0
        when the answer doesn't state it.
    """

    fence: int
    answer: Answer
    reason: str = ''
    last_fence: int = 0
