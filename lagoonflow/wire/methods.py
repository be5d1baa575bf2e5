"""gRPC methods of routers and agents: paths and message types."""

import dataclasses

from grpclib.const import Cardinality

from lagoonflow.calls import messages as calls
from lagoonflow.placement import messages as placement
from lagoonflow.quotas import messages as quotas
from lagoonflow.streams import messages as streams


@dataclasses.dataclass(frozen=True, slots=True)
class Method:
    """A gRPC method with the types of its messages."""

    path: str
    request_type: type
    reply_type: type
    cardinality: Cardinality = Cardinality.UNARY_UNARY


PULL = Method('/lagoonflow.Peer/Pull', streams.PullRequest, streams.PullReply)
BORROW = Method(
    '/lagoonflow.Router/Borrow',
    quotas.BorrowRequest,
    quotas.BorrowReply,
)
HAND_OVER = Method(
    '/lagoonflow.Router/HandOver', quotas.HandOver, placement.Ack
)
RETURN = Method('/lagoonflow.Router/Return', quotas.Returned, placement.Ack)
ACK_ROSTER = Method(
    '/lagoonflow.Router/AckRoster', quotas.RosterAck, placement.Ack
)
RUN = Method(
    '/lagoonflow.Agent/Run',
    calls.AttemptRequest,
    calls.Chunk,
    Cardinality.UNARY_STREAM,
)
REVOKE = Method(
    '/lagoonflow.Agent/Revoke', calls.RevokeRequest, calls.RevokeReply
)
CANCEL = Method('/lagoonflow.Agent/Cancel', calls.CancelRequest, placement.Ack)
LOCATE = Method(
    '/lagoonflow.Home/Locate', placement.LocateRequest, placement.LocateReply
)
BID = Method('/lagoonflow.Agent/Bid', placement.BidRequest, placement.Bid)
DECIDE = Method(
    '/lagoonflow.Agent/Decide', placement.Decision, placement.DecisionReply
)
ANNOUNCE = Method(
    '/lagoonflow.Home/Announce', placement.Announcement, placement.Ack
)
PERMIT = Method(
    '/lagoonflow.Home/Permit', placement.PermitRequest, placement.PermitReply
)
LOAD_FINISHED = Method(
    '/lagoonflow.Home/LoadFinished', placement.LoadFinished, placement.Ack
)
