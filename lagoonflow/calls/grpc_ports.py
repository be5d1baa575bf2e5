"""The gRPC methods of agents for calls, and the client that calls them."""

from collections.abc import Awaitable
from typing import Any

from lagoonflow.calls.agent_calls import AgentCalls
from lagoonflow.calls.call_stream import Replies
from lagoonflow.calls.messages import (
    AttemptRequest,
    CancelRequest,
    RevokeReply,
    RevokeRequest,
)
from lagoonflow.results import Refusal
from lagoonflow.wire.grpc_server import Route
from lagoonflow.wire.methods import CANCEL, REVOKE, RUN
from lagoonflow.wire.peer_client import PeerClient

REVOKE_TIMEOUT_MS = 300
CANCEL_TIMEOUT_MS = 1000


def agent_routes(calls: AgentCalls) -> list[Route]:
    """Return the gRPC methods that an agent serves for calls."""
    return [
        Route(RUN, calls.run),
        Route(REVOKE, calls.revoke),
        Route(CANCEL, calls.cancel),
    ]


class AgentClient:
    """Calls the gRPC methods of agents for a router."""

    def __init__(self, peers: PeerClient) -> None:
        """Use the connections of ``peers`` to the agents."""
        self._peers = peers

    def open_stream(
        self, agent: str, request: AttemptRequest, progress_timeout_ms: int
    ) -> Replies:
        """Start an attempt or resume its stream, and return its chunks.

        :param progress_timeout_ms: time in ms without a chunk after which the
            stream counts as broken.
        """
        return self._peers.stream(agent, RUN, request, progress_timeout_ms)

    def revoke(
        self, agent: str, request: RevokeRequest
    ) -> Awaitable[RevokeReply | Refusal]:
        """Ask an agent to revoke an attempt that has not started."""
        return self._peers.send(agent, REVOKE, request, REVOKE_TIMEOUT_MS)

    def cancel(self, agent: str, request: CancelRequest) -> Awaitable[Any]:
        """Ask an agent to stop an attempt."""
        return self._peers.send(agent, CANCEL, request, CANCEL_TIMEOUT_MS)
