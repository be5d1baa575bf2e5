"""Token bucket of one organisation at one router."""

import collections
import dataclasses

from lagoonflow.quotas.headroom import HeadroomHistory

_MS_PER_S = 1000


# How long lent tokens can be given back.
GIVE_BACK_MS = 30_000
_MAX_LOANS = 1000


@dataclasses.dataclass(slots=True)
class _Lent:
    """Tokens whose place under the cap stays taken for a while.

    :ivar returnable_tokens: what could have stayed in the bucket.
    """

    loan_id: str
    amount_tokens: float
    until_ms: float
    returnable_tokens: float
    return_ids: set[int] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class _Loan:
    """Lent tokens that have no place any more but may be given back."""

    ticket: int
    returnable_tokens: float
    until_ms: float
    return_ids: set[int] = dataclasses.field(default_factory=set)


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
        self._loans: dict[str, _Loan] = {}
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
            self._open_loan(lent)
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
        for lent in self._lent:
            space_tokens = self.headroom_tokens + lent.amount_tokens
            lent.returnable_tokens = min(lent.returnable_tokens, space_tokens)

    def charge(self, amount_tokens: float) -> int:
        """Spend tokens; returns a ticket for ``refund``."""
        self.balance_tokens -= amount_tokens
        return self._headroom.open(self.headroom_tokens)

    def refund(self, ticket: int, amount_tokens: float) -> float:
        """Close a charge and return how many tokens came back.

        More would exceed the cap at some time since the charge, if the
        request had been charged its real cost from the start.
        """
        refund_tokens = min(amount_tokens, self._headroom.least(ticket))
        self._headroom.close(ticket)
        self._put_back(refund_tokens)
        return refund_tokens

    def lend(self, loan_id: str, amount_tokens: float, until_ms: float) -> None:
        """Deduct tokens for a peer, but keep their place for a while."""
        self.balance_tokens -= amount_tokens
        self._lent_tokens += amount_tokens
        self._lent.append(
            _Lent(loan_id, amount_tokens, until_ms, amount_tokens)
        )

    def give_back(
        self, loan_id: str, return_id: int, amount_tokens: float
    ) -> float:
        """Take unused lent tokens back and return how many fitted.

        The rule is that of ``refund``: the bucket must not exceed its cap
        at any time since the loan, if it had lent less from the start.
        While the place of the loan is kept, the tokens move into it.

        :param return_id: repeated ones are ignored.
        """
        for lent in self._lent:
            if lent.loan_id == loan_id:
                return self._give_back_early(lent, return_id, amount_tokens)
        loan = self._loans.get(loan_id)
        if loan is None or return_id in loan.return_ids:
            return 0
        loan.return_ids.add(return_id)
        returned_tokens = min(
            amount_tokens,
            loan.returnable_tokens,
            self._headroom.least(loan.ticket),
        )
        returned_tokens = max(returned_tokens, 0)
        loan.returnable_tokens -= returned_tokens
        self._put_back(returned_tokens)
        return returned_tokens

    def absorb(self, amount_tokens: float) -> None:
        """Add tokens as far as they fit below the cap."""
        self.balance_tokens += max(min(amount_tokens, self.headroom_tokens), 0)
        self._headroom.observe(self.headroom_tokens)

    def _put_back(self, amount_tokens: float) -> None:
        self.balance_tokens += amount_tokens
        self._headroom.lower(amount_tokens)

    def _give_back_early(
        self, lent: _Lent, return_id: int, amount_tokens: float
    ) -> float:
        if return_id in lent.return_ids:
            return 0
        lent.return_ids.add(return_id)
        place_tokens = min(amount_tokens, lent.amount_tokens)
        returned_tokens = max(min(place_tokens, lent.returnable_tokens), 0)
        lent.amount_tokens -= place_tokens
        lent.returnable_tokens -= returned_tokens
        self._lent_tokens -= place_tokens
        self.balance_tokens += returned_tokens
        return returned_tokens

    def _open_loan(self, lent: _Lent) -> None:
        self._close_loan(lent.loan_id)
        ticket = self._headroom.open(self.headroom_tokens)
        self._loans[lent.loan_id] = _Loan(
            ticket,
            lent.returnable_tokens,
            lent.until_ms + GIVE_BACK_MS,
            lent.return_ids,
        )
        oldest_id = next(iter(self._loans))
        oldest = self._loans[oldest_id]
        is_due = oldest.until_ms <= lent.until_ms
        if is_due or len(self._loans) > _MAX_LOANS:
            self._close_loan(oldest_id)

    def _close_loan(self, loan_id: str) -> None:
        loan = self._loans.pop(loan_id, None)
        if loan is not None:
            self._headroom.close(loan.ticket)

    def _accrue(self, now_ms: float) -> None:
        if now_ms <= self._advanced_ms:
            return
        elapsed_ms = now_ms - self._advanced_ms
        self._advanced_ms = now_ms
        self.absorb(self.rate_tokens_per_s * elapsed_ms / _MS_PER_S)
