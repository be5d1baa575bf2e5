"""Connects the claims of a router to the claims stream of the log."""

import uuid

from lagoonflow.calls.claims_task import ClaimPorts
from lagoonflow.clock import boottime_ms
from lagoonflow.streams.messages import Stream
from lagoonflow.wiring.stream_folds import StreamFolds


def claim_ports(folds: StreamFolds) -> ClaimPorts:
    """Return the ports that claims use.

    :param folds: must include the fold of the claims stream.
    """
    follower = folds.followers[Stream.CLAIMS]
    return ClaimPorts(
        append=folds.appenders[Stream.CLAIMS].append,
        is_log_reachable=lambda: follower.is_log_available,
        is_member=folds.roster.is_member,
        clock_ms=boottime_ms,
        new_id=lambda: uuid.uuid4().hex,
    )
