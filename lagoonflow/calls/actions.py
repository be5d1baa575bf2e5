"""Actions that a call at the router decides on, for its task to execute."""

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
    """Find agents that may run the call.

    :param deadline_in_ms: time in ms left until the answer has to begin or to
        continue.
    :param stale_agents: names of agents that refused or failed the call and
        are to be left out.
    """

    deadline_in_ms: int
    stale_agents: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class OpenStream:
    """Send an attempt to an agent, or resume its stream there.

    The new stream replaces the one that the call had before.

    :param progress_timeout_ms: time in ms without a chunk after which the
        stream counts as broken.
    """

    agent: str
    request: AttemptRequest
    progress_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Revoke:
    """Ask an agent to revoke an attempt that has not started."""

    agent: str
    request: RevokeRequest


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Ask an agent to stop an attempt, without waiting for its reply."""

    agent: str
    request: CancelRequest


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverAnswer:
    """Pass status and headers of a plain service's answer to the caller."""

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
    """End the answer, all of which was delivered."""

    finish: Finish


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """End the answer with a refusal."""

    refusal: Refusal


Delivery = DeliverAnswer | DeliverText | DeliverBody | DeliverFinish | Refuse
Action = Locate | OpenStream | Revoke | Cancel | Delivery


def is_last(delivery: Delivery) -> bool:
    """Return whether a part ends the answer."""
    return isinstance(delivery, (DeliverFinish, Refuse))
