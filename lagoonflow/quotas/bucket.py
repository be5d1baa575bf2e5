"""Token bucket of one organisation at one router."""

import collections
import dataclasses

from lagoonflow.quotas.headroom import HeadroomHistory

_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class _Lent:
    """Tokens whose place under the cap stays taken for a while."""

    amount_tokens: float
    until_ms: float


class Bucket:
    """Accrues, spends, lends and takes refunds below a cap.

    Methods other than ``advance`` expect ``advance`` to be called first.

    :ivar balance_tokens: tokens that can be spent.
    :ivar rate_tokens_per_s: this router's share of the rate.
    :ivar cap_tokens: this router's share of the burst.
    """

    def __init__(self, now_ms: float) -> None:
        """Start empty, with no share."""
        self.balance_tokens: float = 0
        self.rate_tokens_per_s: float = 0
        self.cap_tokens: float = 0
        self._lent_tokens: float = 0
        self._lent: collections.deque[_Lent] = collections.deque()
        self._headroom = HeadroomHistory()
        self._advanced_ms = now_ms

    @property
    def headroom_tokens(self) -> float:
        """What fits below the cap beside the balance and lent tokens."""
        return self.cap_tokens - self._lent_tokens - self.balance_tokens

    @property
    def lent_until_ms(self) -> float:
        """When the last lent tokens give up their place; 0 for none."""
        return self._lent[-1].until_ms if self._lent else 0

    def advance(self, now_ms: float) -> None:
        """Accrue up to a time and free the places of lent tokens."""
        while self._lent and self._lent[0].until_ms <= now_ms:
            lent = self._lent.popleft()
            self._accrue(lent.until_ms)
            self._lent_tokens -= lent.amount_tokens
        if not self._lent:
            self._lent_tokens = 0
        self._accrue(now_ms)

    def set_share(self, rate_tokens_per_s: float, cap_tokens: float) -> None:
        """Change the share; a cap that shrinks clips the balance."""
        self.rate_tokens_per_s = rate_tokens_per_s
        self.cap_tokens = cap_tokens
        space_tokens = max(cap_tokens - self._lent_tokens, 0)
        self.balance_tokens = min(self.balance_tokens, space_tokens)
        self._headroom.observe(self.headroom_tokens)

    def charge(self, charge_id: int, amount_tokens: float) -> None:
        """Spend tokens on a charge that may be refunded later."""
        self.balance_tokens -= amount_tokens
        self._headroom.open(charge_id, self.headroom_tokens)

    def refund(self, charge_id: int, amount_tokens: float) -> float:
        """Close a charge and return how many tokens came back.

        More would exceed the cap at some time since the charge, if the
        request had been charged its real cost from the start.
        """
        least_tokens = self._headroom.close(charge_id)
        refund_tokens = min(amount_tokens, least_tokens)
        self.balance_tokens += refund_tokens
        self._headroom.lower(refund_tokens)
        return refund_tokens

    def lend(self, amount_tokens: float, until_ms: float) -> None:
        """Deduct tokens for a peer, but keep their place for a while."""
        self.balance_tokens -= amount_tokens
        self._lent_tokens += amount_tokens
        self._lent.append(_Lent(amount_tokens, until_ms))

    def absorb(self, amount_tokens: float) -> None:
        """Add tokens as far as they fit below the cap."""
        self.balance_tokens += max(min(amount_tokens, self.headroom_tokens), 0)
        self._headroom.observe(self.headroom_tokens)

    def _accrue(self, now_ms: float) -> None:
        if now_ms <= self._advanced_ms:
            return
        elapsed_ms = now_ms - self._advanced_ms
        self._advanced_ms = now_ms
        self.absorb(self.rate_tokens_per_s * elapsed_ms / _MS_PER_S)
