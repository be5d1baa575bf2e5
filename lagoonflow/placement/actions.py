"""Actions that a home asks its task to carry out."""

import dataclasses

from lagoonflow.placement.messages import (
    BidRequest,
    Decision,
    LocateReply,
)


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyToLocate:
    """Answers one waiting locate request."""

    request_number: int
    reply: LocateReply


@dataclasses.dataclass(frozen=True, slots=True)
class SendBidRequest:
    """Asks an agent for a bid, or withdraws the request."""

    agent: str
    request: BidRequest


@dataclasses.dataclass(frozen=True, slots=True)
class SendDecision:
    """Sends a decision to its agent."""

    decision: Decision


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Finds out whether a peer can be reached and acts as home."""

    peer: str


HomeAction = ReplyToLocate | SendBidRequest | SendDecision | Probe
