"""Actions of a runner's state, and the values that they carry."""

import dataclasses

from lagoonflow.calls.messages import AttemptId, AttemptRequest, Usage
from lagoonflow.placement.messages import PermitRequest
from lagoonflow.results import Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaKey:
    """Key of a replica on its runner, which has one per model and version."""

    model: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterKey:
    """Key of an adapter on a replica."""

    replica: ReplicaKey
    adapter: str
    version: str


# What the engine loads and unloads, and what memory is allocated to.
LoadableKey = ReplicaKey | AdapterKey


@dataclasses.dataclass(frozen=True, slots=True)
class OrderLoad:
    """Orders the engine to load a replica."""

    fence: int
    replica: ReplicaKey
    checkpoint: str
    memory_mb: int
    decision_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class OrderUnload:
    """Orders the engine to unload a replica."""

    fence: int
    replica: ReplicaKey


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAdapterLoad:
    """Orders the engine to load an adapter on a replica."""

    fence: int
    adapter: AdapterKey
    checkpoint: str
    memory_mb: int


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAdapterUnload:
    """Orders the engine to unload an adapter from a replica."""

    fence: int
    adapter: AdapterKey


@dataclasses.dataclass(frozen=True, slots=True)
class StartGeneration:
    """Starts a queued attempt on a loaded replica.

    :param queue_ms: time that the attempt spent in the queue.
    :param load_ms: part of it until the replica was loaded.
    """

    request: AttemptRequest
    replica: ReplicaKey
    adapter_version: str = ''
    queue_ms: int = 0
    load_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseQueued:
    """Refuses an attempt that has not run."""

    attempt: AttemptId
    refusal: Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class StopGeneration:
    """Cancels a running generation at the engine."""

    attempt: AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class SendPermitRequest:
    """Asks the home of the weight store for a permit for one load."""

    request: PermitRequest


@dataclasses.dataclass(frozen=True, slots=True)
class SendLoadReport:
    """Tells the home of the weight store that a permitted load has ended.

    :param is_loaded: false when it failed or the permit was not used.
    """

    permit_id: str
    took_ms: int
    is_loaded: bool
    memory_mb: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SendAnnouncement:
    """Announces the runner's state of these models to their homes."""

    models: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PollListing:
    """Fetches a listing soon, to learn the outcome of a change."""


EngineOrder = OrderLoad | OrderUnload | OrderAdapterLoad | OrderAdapterUnload
Action = (
    EngineOrder
    | StartGeneration
    | RefuseQueued
    | StopGeneration
    | SendPermitRequest
    | SendLoadReport
    | SendAnnouncement
    | PollListing
)


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEnd:
    """How a generation ended at the engine.

    :param first_token_ms: time to the first token; 0 when there was none.
    :param took_ms: time from the start to the end.
    :param is_complete: whether the answer is complete.
    """

    attempt: AttemptId
    usage: Usage = Usage()
    first_token_ms: int = 0
    took_ms: int = 0
    is_complete: bool = True
