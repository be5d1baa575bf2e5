"""The request behind a call, and the agents that may run it."""

import dataclasses

from lagoonflow.calls.messages import Generation, ServiceCall


@dataclasses.dataclass(frozen=True, slots=True)
class CallSpec:
    """A request that the router has admitted.

    :param deadline_ms: time by which the answer has to begin, in ms on the
        clock whose time is passed to the call's methods.
    :param generation: set when a model engine runs the call.
    :param service_call: set when a plain service runs the call.
    :param priority: position in the agent's queue; smaller runs earlier.
    :param cost_tokens: tokens that fair queueing charges the organisation.
    :param router_nonce: identifies the router process, to distinguish a
        restarted router from its predecessor.
    :param outcome_wait_ms: time in ms past the deadline for which the router
        still waits for the answer of a call that has started.
    """

    request_id: str
    router: str
    organisation: str
    key_id: str
    deadline_ms: int
    generation: Generation | None = None
    service_call: ServiceCall | None = None
    priority: int = 0
    cost_tokens: float = 0
    router_nonce: str = ''
    outcome_wait_ms: int = 0

    @property
    def is_repeatable(self) -> bool:
        """Whether running the request more than once does no harm."""
        return self.service_call is None or self.service_call.is_idempotent


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An agent that may run the call.

    :param nonce: identifies the agent process, as listed in the roster; empty
        when it is not known.
    :param wait_ms: predicted time in ms until the agent can start the call.
    """

    agent: str
    nonce: str = ''
    wait_ms: int = 0
