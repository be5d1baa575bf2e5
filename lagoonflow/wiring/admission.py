"""Connects the callers' front to the token shares."""

import collections

from lagoonflow.callers.messages import Charge
from lagoonflow.clock import Clock
from lagoonflow.quotas.task import QuotaTask
from lagoonflow.results import Refusal

# Borrowing takes milliseconds. Whoever waits longer waits for tokens to
# accrue, and a queue for these would only delay what is above the rate.
QUEUED_WAIT_MS = 250


class QuotaAdmission:
    """Charges organisations through the router's token shares.

    One request of an organisation may wait for tokens up to its deadline;
    those behind it wait only as long as borrowing takes.
    """

    def __init__(self, quotas: QuotaTask, clock: Clock) -> None:
        """Use the shares of this router."""
        self._quotas = quotas
        self._clock = clock
        self._waiting: collections.Counter[str] = collections.Counter()

    async def charge(
        self,
        request_id: str,
        organisation: str,
        cost_tokens: float,
        deadline_ms: float,
    ) -> Charge | Refusal:
        """Wait for the tokens while that is in time."""
        wait_ms = deadline_ms - self._clock()
        if self._waiting[organisation]:
            wait_ms = min(wait_ms, QUEUED_WAIT_MS)
        self._waiting[organisation] += 1
        try:
            admitted = await self._quotas.take(
                request_id,
                organisation,
                cost_tokens,
                wait_ms,
            )
        finally:
            self._waiting[organisation] -= 1
        if isinstance(admitted, Refusal):
            return admitted
        return Charge(admitted.charge_id, cost_tokens)

    def settle(self, charge: Charge, used_tokens: float) -> None:
        """Refund what a finished request has not used."""
        if charge.amount_tokens:
            self._quotas.settle(charge.charge_id, used_tokens)
