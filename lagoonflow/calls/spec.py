"""A request as it was admitted, and agents that may serve it."""

import dataclasses

from lagoonflow.calls.messages import Generation, ServiceCall


@dataclasses.dataclass(frozen=True, slots=True)
class CallSpec:
    """One admitted request.

    :param deadline_ms: time by which the answer has to begin, on the clock
        that the call is driven by.
    :param router_nonce: identifies the router process.
    :param outcome_wait_ms: time after the deadline for which the answer of
        a call that has started is still waited for.
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
        """Whether the request may run more than once."""
        return self.service_call is None or self.service_call.is_idempotent


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An agent that may serve the call.

    :param nonce: agent process of that name, as far as the roster says.
    :param wait_ms: predicted time until it can begin.
    """

    agent: str
    nonce: str = ''
    wait_ms: int = 0
