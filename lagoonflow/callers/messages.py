"""Calls and charges, with the protocols that charge and run calls."""

import dataclasses
from collections.abc import AsyncIterator
from typing import Protocol

from lagoonflow.calls.actions import Delivery
from lagoonflow.calls.messages import Generation, ServiceCall
from lagoonflow.keys.messages import Identity
from lagoonflow.results import Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller, with what is needed to charge and run it.

    :param deadline_ms: monotonic time by which the answer has to begin, in
        ms.
    :param cost_tokens: tokens that the organisation is charged.
    :param generation: work for a model engine, or ``None``.
    :param service_call: work for a plain service, or ``None``.
    :param idempotency_key: the caller's key for repeats of this request, or
        an empty string.
    """

    request_id: str
    identity: Identity
    deadline_ms: float
    cost_tokens: float
    generation: Generation | None = None
    service_call: ServiceCall | None = None
    idempotency_key: str = ''


class CallRunner(Protocol):
    """Runs admitted calls."""

    def run(self, call: Call) -> AsyncIterator[Delivery]:
        """Yield the parts of the answer; the last is a finish or a refusal.

        Closing the iterator cancels the call.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Charge:
    """Tokens that an organisation was charged for one request.

    :param charge_id: identifies the charge when it is settled.
    """

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
        """Charge an organisation, waiting for tokens up to the deadline.

        :param deadline_ms: monotonic time by which the answer has to begin,
            in ms.
        """

    def settle(self, charge: Charge, used_tokens: float) -> None:
        """Refund the tokens of a charge that a request has not used."""
