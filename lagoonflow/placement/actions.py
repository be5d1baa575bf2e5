"""Actions that the state of the homes returns for its task to execute."""

import dataclasses

from lagoonflow.placement.messages import (
    BidRequest,
    Decision,
    LocateReply,
)


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyToLocate:
    """Answers one waiting locate request.

    :param request_number: number under which the request was passed in.
    """

    request_number: int
    reply: LocateReply


@dataclasses.dataclass(frozen=True, slots=True)
class SendBidRequest:
    """Sends a bid request, or the withdrawal of an earlier one, to an agent."""

    agent: str
    request: BidRequest


@dataclasses.dataclass(frozen=True, slots=True)
class SendDecision:
    """Sends a decision to its agent."""

    decision: Decision


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Checks whether a peer can be reached and acts as home."""

    peer: str


HomeAction = ReplyToLocate | SendBidRequest | SendDecision | Probe
