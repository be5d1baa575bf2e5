"""What the quota logic asks its task to do."""

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
    """The request has been charged and may run."""

    request_id: str
    charge_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request can't be admitted before its deadline."""

    request_id: str
    refusal: Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class SendBorrowRequest:
    """Send a borrow request; pass the reply on, if there is one."""

    peer: str
    request: BorrowRequest


@dataclasses.dataclass(frozen=True, slots=True)
class SendRosterAck:
    """Send an acknowledgement; report when it was delivered."""

    peer: str
    ack: RosterAck


@dataclasses.dataclass(frozen=True, slots=True)
class SendHandOver:
    """Offer the tokens of this router, which shuts down."""

    peer: str
    hand_over: HandOver


@dataclasses.dataclass(frozen=True, slots=True)
class SendReturn:
    """Send tokens back to the peer that lent them."""

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
