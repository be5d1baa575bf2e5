"""What a model engine reports: its listing and its load."""

import dataclasses
from typing import Literal


@dataclasses.dataclass(frozen=True, slots=True)
class ListedAdapter:
    """An adapter on a replica.

    :param name: name of the adapter.
    :param version: version of the adapter.
    :param state: progress of its load.
    :param memory_mb: memory that the adapter takes, in MB.
    """

    name: str
    version: str
    state: Literal['loading', 'ready', 'failed']
    memory_mb: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ListedReplica:
    """A replica in the memory of an engine.

    :param model: name of the model.
    :param version: version of the model.
    :param state: progress of its load.
    :param memory_mb: memory that the weights take, in MB.
    :param adapters: adapters on the replica.
    """

    model: str
    version: str
    state: Literal['loading', 'ready', 'failed']
    memory_mb: float
    adapters: tuple[ListedAdapter, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ListedCheckpoint:
    """A checkpoint that is stored on the host of an engine.

    :param model: name of the model.
    :param version: version of the model.
    :param tier: where it is stored.
    """

    model: str
    version: str
    tier: Literal['memory', 'disk']


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The replicas and the local checkpoints of an engine.

    :param epoch: value that changes whenever the engine restarts.
    :param memory_mb: memory for weights and adapters, in MB.
    :param replicas: replicas in memory.
    :param checkpoints: checkpoints on the host.
    :param fence: highest fencing number that the engine has seen.
    """

    epoch: str
    memory_mb: float
    replicas: tuple[ListedReplica, ...]
    checkpoints: tuple[ListedCheckpoint, ...]
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The load report of an engine, which lags behind its state.

    :param running: number of sequences that were running.
    :param queued: number of sequences that were waiting.
    :param as_of_ms: wall-clock time to which the counts apply, in ms.
    """

    running: int
    queued: int
    as_of_ms: int
