"""One attempt of a call, as the router sees it."""

import dataclasses

from lagoonflow.calls.assembly import Assembly
from lagoonflow.calls.messages import (
    AttemptRequest,
    AttemptState,
    CancelRequest,
    Chunk,
    RevokeRequest,
)

RUN_STATES = frozenset((AttemptState.STARTED, AttemptState.FINISHED))


class Flight:
    """An attempt that was sent to an agent and is not settled.

    :param request: what was sent.
    """

    def __init__(self, agent: str, request: AttemptRequest) -> None:
        """Start with a stream that is being opened."""
        self.agent = agent
        self.request = request
        self.assembly = Assembly(request.attempt)
        self.state = AttemptState.UNKNOWN
        self.is_open = True
        self.is_agent_gone = False
        self.failed_resumes = 0
        self.resumes = 0

    @property
    def has_run(self) -> bool:
        """Whether the agent has said that the attempt was started."""
        return self.state in RUN_STATES

    def learn(self, chunk: Chunk) -> None:
        """Take the attempt's state from a chunk.

        The process that answers first has the attempt, unless an earlier
        stream may have reached another one.
        """
        if chunk.state is AttemptState.UNKNOWN:
            return
        self.state = chunk.state
        if not self.request.agent_nonce and not self.resumes:
            self.request = dataclasses.replace(
                self.request, agent_nonce=chunk.nonce
            )

    def resume(self, left_ms: int) -> AttemptRequest:
        """Count a resumption, and return the request for it."""
        self.resumes += 1
        self.is_open = True
        return dataclasses.replace(
            self.request,
            is_resumption=True,
            next_index=self.assembly.next_index,
            deadline_in_ms=left_ms,
        )

    def revocation(self) -> RevokeRequest:
        """Return the request to revoke the attempt."""
        request = self.request
        return RevokeRequest(
            request.attempt,
            request.router,
            request.versions,
            router_nonce=request.router_nonce,
            agent_nonce=request.agent_nonce,
            sequence=request.sequence,
        )

    def cancellation(self) -> CancelRequest:
        """Return the request to stop the attempt."""
        return CancelRequest(self.request.attempt, self.request.versions)
