"""Admits callers' requests by charging the router's token shares."""

import collections

from lagoonflow.callers.messages import Charge
from lagoonflow.clock import Clock
from lagoonflow.quotas.task import QuotaTask
from lagoonflow.results import Refusal

# Borrowing tokens from another router takes milliseconds; a longer wait means
# waiting for new tokens to accrue. While one request of an organisation waits
# for those, queueing more only delays requests that exceed the rate anyway.
MAX_QUEUED_WAIT_MS = 250


class QuotaAdmission:
    """Charges organisations against the router's token shares.

    One request of each organisation may wait for tokens until its deadline.
    Further requests of the organisation wait only ``MAX_QUEUED_WAIT_MS``,
    long enough to borrow tokens from another router.
    """

    def __init__(self, quotas: QuotaTask, clock: Clock) -> None:
        """Start with no request waiting.

        :param quotas: task that owns the token shares of this router.
        :param clock: returns the time in ms.
        """
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
        """Charge a request, waiting for tokens if its deadline allows it.

        :param deadline_ms: time on the clock by which it must be admitted.
        :returns: the charge, or why the request was refused.
        """
        wait_ms = deadline_ms - self._clock()
        if self._waiting[organisation]:
            wait_ms = min(wait_ms, MAX_QUEUED_WAIT_MS)
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
        """Refund the tokens that a finished request did not use."""
        if charge.amount_tokens:
            self._quotas.settle(charge.charge_id, used_tokens)
