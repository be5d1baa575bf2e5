"""Messages between routers about token shares."""

import dataclasses

from lagoonflow.streams.messages import Versions


@dataclasses.dataclass(frozen=True, slots=True)
class BorrowRequest:
    """Asks a peer router to lend tokens.

    :param borrow_id: unique among the borrow requests of all routers.
    :param borrower: name of the router that sends it.
    :param versions: versions of the streams that the sender has read.
    """

    borrow_id: str
    borrower: str
    organisation: str
    amount_tokens: float
    versions: Versions


@dataclasses.dataclass(frozen=True, slots=True)
class BorrowReply:
    """Answers a borrow request with the tokens that are lent.

    :param amount_tokens: what the peer has deducted from its own share; 0
        when it lends nothing.
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
    """Returns lent tokens that the borrower has not used.

    :param return_id: unique among the returns of one borrow request.
    """

    borrow_id: str
    return_id: int
    organisation: str
    amount_tokens: float
    versions: Versions


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """Offers a peer the tokens of a router that shuts down.

    The peer fetches them with a borrow request, so that tokens which arrive
    too late are dropped as with any other late reply.

    :param giver: name of the router that shuts down.
    """

    giver: str
    organisation: str
    amount_tokens: float
    versions: Versions


@dataclasses.dataclass(frozen=True, slots=True)
class RosterAck:
    """Says by which roster version the sender computes its share.

    :param sender_nonce: nonce of the sending process in the roster.
    """

    sender: str
    sender_nonce: str
    versions: Versions
