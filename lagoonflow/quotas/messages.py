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
    """What the peer has deducted from its own share; may be 0.

    :param left_tokens: what the peer could have lent beyond that.
    :param is_short: whether requests wait for tokens at the peer itself.
    """

    borrow_id: str
    amount_tokens: float
    versions: Versions
    left_tokens: float = 0
    is_short: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Returned:
    """Gives lent tokens back that the request did not use.

    :param return_id: unique among the returns of one borrow request.
    """

    borrow_id: str
    return_id: int
    organisation: str
    amount_tokens: float
    versions: Versions


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """Offers the tokens of a router that shuts down to a peer.

    The peer fetches them with a borrow request, so that tokens which come
    late are dropped like any others that were borrowed.
    """

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
