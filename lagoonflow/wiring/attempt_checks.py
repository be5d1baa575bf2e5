"""Checks that an agent makes before it runs an attempt from a router."""

from collections.abc import AsyncIterator, Callable

from lagoonflow.calls.agent_calls import AgentCalls
from lagoonflow.calls.messages import AttemptRequest, Chunk
from lagoonflow.keys.messages import Identity
from lagoonflow.keys.state import check_identity
from lagoonflow.results import Refusal, Result
from lagoonflow.wiring.stream_folds import StreamFolds

CATCH_UP_TIMEOUT_MS = 1000
NOT_A_MEMBER = Refusal(
    Result.NOT_A_MEMBER,
    'The router is no longer in the roster.',
)
KEY_MISSING = Refusal(
    Result.KEY_MISSING,
    'The attempt carries no key and its route is not open.',
)


class AttemptChecker:
    """Checks attempts against the agent's own folds of roster and releases.

    This way a withdrawn key is refused even when the router that sent the
    attempt has not read the withdrawal yet.
    """

    def __init__(self, folds: StreamFolds) -> None:
        """Use the folds of this agent."""
        self._folds = folds

    def check(self, request: AttemptRequest) -> Refusal | None:
        """Return why an attempt is refused; ``None`` when it may run."""
        if self._is_removed_router(request):
            return NOT_A_MEMBER
        identity = Identity(request.organisation, request.key_id)
        if identity == Identity() and not self._is_open(request):
            return KEY_MISSING
        return check_identity(self._folds.releases, identity)

    def _is_removed_router(self, request: AttemptRequest) -> bool:
        """Return whether the router left the roster but has not read that yet.

        A router that has read as much of the roster as this agent, yet isn't
        a member, has started during an outage of the log service. It has no
        token shares, but its attempts are allowed.
        """
        roster = self._folds.roster
        if roster.is_member(request.router, request.router_nonce):
            return False
        return request.versions.roster < roster.version

    def _is_open(self, request: AttemptRequest) -> bool:
        call = request.service_call
        if call is None:
            return False
        route = self._folds.releases.route_for(call.path)
        if route is None or route.service != call.service:
            return False
        return route.is_open


def serve_attempts(
    calls: AgentCalls,
    folds: StreamFolds,
) -> Callable[[AttemptRequest], AsyncIterator[Chunk]]:
    """Return the handler of attempts.

    Before it runs an attempt, it waits until this agent has read as much
    of the streams as the router that sent it, or until a timeout.
    """

    async def run(request: AttemptRequest) -> AsyncIterator[Chunk]:
        folds.on_versions(request.router, request.versions)
        await folds.wait_for(request.versions, CATCH_UP_TIMEOUT_MS)
        async for chunk in calls.run(request):
            yield chunk

    return run
