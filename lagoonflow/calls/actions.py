"""What a call at the router asks for."""

import dataclasses

from lagoonflow.calls.messages import (
    AttemptRequest,
    CancelRequest,
    Finish,
    RevokeRequest,
    ServiceAnswer,
)
from lagoonflow.results import Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Locate:
    """Find agents for the call.

    :param stale_agents: agents found unfit for it.
    """

    deadline_in_ms: int
    stale_agents: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class OpenStream:
    """Send an attempt to an agent, or resume its stream there.

    It replaces the stream that the call had before.
    """

    agent: str
    request: AttemptRequest
    progress_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Revoke:
    """Ask an agent to revoke an attempt."""

    agent: str
    request: RevokeRequest


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Tell an agent to stop an attempt; no answer is needed."""

    agent: str
    request: CancelRequest


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverAnswer:
    """Pass the head of a plain service's answer to the caller."""

    answer: ServiceAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverText:
    """Pass generated text to the caller."""

    text: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverBody:
    """Pass a part of a plain service's body to the caller."""

    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverFinish:
    """The whole answer was passed on."""

    finish: Finish


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The final answer is a refusal."""

    refusal: Refusal


Delivery = DeliverAnswer | DeliverText | DeliverBody | DeliverFinish | Refuse
Action = Locate | OpenStream | Revoke | Cancel | Delivery


def is_last(delivery: Delivery) -> bool:
    """Whether nothing follows a part of the answer."""
    return isinstance(delivery, (DeliverFinish, Refuse))
