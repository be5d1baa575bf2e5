"""What a call at the router is told."""

import dataclasses

from lagoonflow.calls.messages import AttemptId, AttemptState, Chunk
from lagoonflow.calls.spec import Candidate
from lagoonflow.results import Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Located:
    """Agents for the call, best first."""

    candidates: tuple[Candidate, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LocateFailed:
    """No place could be found."""

    refusal: Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkArrived:
    """A chunk has come in."""

    chunk: Chunk


@dataclasses.dataclass(frozen=True, slots=True)
class StreamBroke:
    """The stream of an attempt ended without its last chunk, or is silent.

    :param refusal: ``not_run`` when the request was never sent.
    """

    attempt: AttemptId
    refusal: Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class RevokeAnswered:
    """The agent has answered a request to revoke."""

    attempt: AttemptId
    state: AttemptState
    nonce: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RevokeFailed:
    """A request to revoke got no answer."""

    attempt: AttemptId


@dataclasses.dataclass(frozen=True, slots=True)
class AgentGone:
    """The roster says that an agent process is gone."""

    agent: str
    nonce: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller has closed its connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """The time for which the call asked has come."""


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
