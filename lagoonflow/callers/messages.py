"""Values that the front passes to the calls slice and gets back."""

import dataclasses
from collections.abc import AsyncIterator
from typing import Protocol

from lagoonflow.calls.actions import Delivery
from lagoonflow.calls.messages import Generation, ServiceCall
from lagoonflow.keys.messages import Identity
from lagoonflow.results import Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One admitted request of a caller.

    :param deadline_ms: monotonic time by which the answer has to begin.
    :param cost_tokens: what the organisation was charged.
    """

    request_id: str
    identity: Identity
    deadline_ms: float
    cost_tokens: float
    generation: Generation | None = None
    service_call: ServiceCall | None = None
    idempotency_key: str = ''


class CallRunner(Protocol):
    """Runs calls; closing the iterator cancels the call."""

    def run(self, call: Call) -> AsyncIterator[Delivery]:
        """Yield the parts of the answer; the last is an end."""


@dataclasses.dataclass(frozen=True, slots=True)
class Charge:
    """Tokens that an organisation was charged for one request."""

    charge_id: int
    amount_tokens: float


class Admission(Protocol):
    """Charges organisations for requests."""

    async def charge(
        self,
        request_id: str,
        organisation: str,
        cost_tokens: float,
        deadline_ms: float,
    ) -> Charge | Refusal:
        """Wait for the tokens while the deadline allows it."""

    def settle(self, charge: Charge, used_tokens: float) -> None:
        """Refund what a finished request has not used."""
