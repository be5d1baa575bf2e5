"""The attempt of a call that is in flight, as the router knows it."""

import dataclasses

from lagoonflow.calls.messages import (
    AttemptRequest,
    AttemptState,
    CancelRequest,
    Chunk,
    RevokeRequest,
)
from lagoonflow.calls.reorder_buffer import ReorderBuffer

RUN_STATES = frozenset((AttemptState.STARTED, AttemptState.FINISHED))


class SentAttempt:
    """An attempt that was sent to an agent and whose outcome is open.

    :param agent: name of the agent.
    :param request: the request that started the attempt.
    :ivar reorder_buffer: puts the chunks of all its streams in order.
    :ivar state: the attempt's state as the agent last reported it.
    :ivar is_open: whether a stream is open or being opened.
    :ivar is_agent_gone: whether the agent process has left the roster.
    :ivar failed_resumes: streams that broke since the last chunk arrived.
    :ivar resumes: how often the stream was resumed in all.
    """

    def __init__(self, agent: str, request: AttemptRequest) -> None:
        """Start with the first stream being opened."""
        self.agent = agent
        self.request = request
        self.reorder_buffer = ReorderBuffer(request.attempt)
        self.state = AttemptState.UNKNOWN
        self.is_open = True
        self.is_agent_gone = False
        self.failed_resumes = 0
        self.resumes = 0

    @property
    def has_run(self) -> bool:
        """Whether the agent has reported that the attempt was started."""
        return self.state in RUN_STATES

    def update_from(self, chunk: Chunk) -> None:
        """Store the state, and the agent process, that a chunk reports.

        If the request was sent without a nonce, the process that answers on
        the first stream is the one that has the attempt. After a resumption
        this is not certain: the first stream may have reached a process that
        was since replaced, so the nonce stays empty.
        """
        if chunk.state is AttemptState.UNKNOWN:
            return
        self.state = chunk.state
        if not self.request.agent_nonce and not self.resumes:
            self.request = dataclasses.replace(
                self.request, agent_nonce=chunk.nonce
            )

    def resume(self, left_ms: int) -> AttemptRequest:
        """Count a resumption and return the request for it.

        :param left_ms: time in ms left until the answer has to begin or to
            continue.
        """
        self.resumes += 1
        self.is_open = True
        return dataclasses.replace(
            self.request,
            is_resumption=True,
            next_index=self.reorder_buffer.next_index,
            deadline_in_ms=left_ms,
        )

    def revocation(self) -> RevokeRequest:
        """Return the request that revokes the attempt."""
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
        """Return the request that stops the attempt."""
        return CancelRequest(self.request.attempt, self.request.versions)
