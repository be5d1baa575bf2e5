"""Connects the callers' front to the token shares."""

from lagoonflow.callers.messages import Charge
from lagoonflow.clock import Clock
from lagoonflow.quotas.task import QuotaTask
from lagoonflow.results import Refusal

# A longer queue for tokens would only delay what an organisation sends above
# its rate; borrowing between routers takes milliseconds.
MAX_WAIT_MS = 250


class QuotaAdmission:
    """Charges organisations through the router's token shares."""

    def __init__(self, quotas: QuotaTask, clock: Clock) -> None:
        """Use the shares of this router."""
        self._quotas = quotas
        self._clock = clock

    async def take(
        self,
        request_id: str,
        organisation: str,
        cost_tokens: float,
        deadline_ms: float,
    ) -> Charge | Refusal:
        """Wait for the tokens while the deadline allows it."""
        admitted = await self._quotas.take(
            request_id,
            organisation,
            cost_tokens,
            min(deadline_ms - self._clock(), MAX_WAIT_MS),
        )
        if isinstance(admitted, Refusal):
            return admitted
        return Charge(admitted.charge_id, cost_tokens)

    def settle(self, charge: Charge, used_tokens: float) -> None:
        """Refund what a finished request has not used."""
        if charge.amount_tokens:
            self._quotas.settle(charge.charge_id, used_tokens)
