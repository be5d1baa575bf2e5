"""Values and actions of the agent side of one runner."""

import dataclasses

from lagoonflow.calls.messages import AttemptId, AttemptRequest, Usage
from lagoonflow.placement.messages import PermitRequest
from lagoonflow.results import Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaKey:
    """Names a replica on its runner: one per model and version."""

    model: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterKey:
    """Names an adapter that is loaded on a replica."""

    replica: ReplicaKey
    adapter: str
    version: str


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
    """Starts a queued attempt on a ready replica.

    :param queue_ms: time that the attempt spent in the queue.
    :param load_ms: part of it that was spent loading.
    """

    request: AttemptRequest
    replica: ReplicaKey
    adapter_version: str = ''
    queue_ms: int = 0
    load_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseQueued:
    """Ends an attempt which has not run."""

    attempt: AttemptId
    refusal: Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class StopGeneration:
    """Cancels a running generation at the engine."""

    attempt: AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class SendPermitRequest:
    """Asks the home of the weight store for one load."""

    request: PermitRequest


@dataclasses.dataclass(frozen=True, slots=True)
class SendLoadReport:
    """Tells the home of the weight store that a load ended."""

    permit_id: str
    took_ms: int
    is_loaded: bool
    memory_mb: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SendAnnouncement:
    """The runner's state has changed for these models."""

    models: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PollListing:
    """The listing is needed to settle a change."""


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

    :param first_token_ms: time to the first token; 0 when none came.
    """

    attempt: AttemptId
    usage: Usage = Usage()
    first_token_ms: int = 0
    took_ms: int = 0
    is_complete: bool = True
