"""Events that a call at the router handles."""

import dataclasses

from lagoonflow.calls.messages import AttemptId, AttemptState, Chunk
from lagoonflow.calls.spec import Candidate
from lagoonflow.results import Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Located:
    """Agents that may run the call were found; the best comes first."""

    candidates: tuple[Candidate, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LocateFailed:
    """No agent was found that may run the call."""

    refusal: Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkArrived:
    """A chunk of an attempt's answer arrived."""

    chunk: Chunk


@dataclasses.dataclass(frozen=True, slots=True)
class StreamBroke:
    """The stream of an attempt broke or was silent for too long.

    :param refusal: why; its ``not_run`` is true only if the request was never
        sent.
    """

    attempt: AttemptId
    refusal: Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class RevokeAnswered:
    """An agent answered a request to revoke an attempt.

    :param state: the attempt's state at the agent after the request.
    :param nonce: identifies the agent process that answered.
    """

    attempt: AttemptId
    state: AttemptState
    nonce: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RevokeFailed:
    """No answer came to a request to revoke an attempt."""

    attempt: AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class AgentGone:
    """An agent process has left the roster."""

    agent: str
    nonce: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection before the answer was complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """The time returned by ``RouterCall.next_tick_ms`` has come."""


Event = (
    Located
    | LocateFailed
    | ChunkArrived
    | StreamBroke
    | RevokeAnswered
    | RevokeFailed
    | AgentGone
    | CallerGone
    | Tick
)
