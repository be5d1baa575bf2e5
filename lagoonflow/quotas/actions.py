"""Actions that the quota logic returns for its task to carry out."""

import dataclasses

from lagoonflow.quotas.messages import (
    BorrowRequest,
    HandOver,
    Returned,
    RosterAck,
)
from lagoonflow.results import Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request has been charged and may run.

    :param charge_id: id to settle the charge with.
    """

    request_id: str
    charge_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request is refused, for the reason in ``refusal``."""

    request_id: str
    refusal: Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class SendBorrowRequest:
    """Send a borrow request and pass the reply to the quota logic."""

    peer: str
    request: BorrowRequest


@dataclasses.dataclass(frozen=True, slots=True)
class SendRosterAck:
    """Send an acknowledgement and report when it has been delivered."""

    peer: str
    ack: RosterAck


@dataclasses.dataclass(frozen=True, slots=True)
class SendHandOver:
    """Offer a peer the tokens of this router, which is shutting down."""

    peer: str
    hand_over: HandOver


@dataclasses.dataclass(frozen=True, slots=True)
class SendReturn:
    """Return tokens to the peer that lent them."""

    peer: str
    returned: Returned


Action = (
    Admitted
    | Refused
    | SendBorrowRequest
    | SendRosterAck
    | SendHandOver
    | SendReturn
)
