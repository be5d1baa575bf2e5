"""Messages between routers about token shares."""

import dataclasses

from lagoonflow.streams.messages import Versions


@dataclasses.dataclass(frozen=True, slots=True)
class BorrowRequest:
    """Asks a peer router for tokens for one waiting request."""

    borrow_id: str
    borrower: str
    organisation: str
    amount_tokens: float
    versions: Versions


@dataclasses.dataclass(frozen=True, slots=True)
class BorrowReply:
    """What the peer has deducted from its own share; may be 0."""

    borrow_id: str
    amount_tokens: float
    versions: Versions


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """Gives the tokens of a router that shuts down to a peer."""

    giver: str
    organisation: str
    amount_tokens: float
    versions: Versions


@dataclasses.dataclass(frozen=True, slots=True)
class RosterAck:
    """Says which roster version the sender accrues by."""

    sender: str
    sender_nonce: str
    versions: Versions
