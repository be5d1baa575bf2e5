"""Token bucket of one organisation at one router."""

import collections
import dataclasses

from lagoonflow.quotas.headroom import HeadroomHistory

_MS_PER_S = 1000


# How long lent tokens can be given back.
RETURN_WINDOW_MS = 30_000
_MAX_RETURNABLE_LOANS = 1000


@dataclasses.dataclass(slots=True)
class _ReservedLoan:
    """Tokens whose place under the cap stays taken for a while.

    :ivar returnable_tokens: what could have stayed in the bucket.
    """

    loan_id: str
    amount_tokens: float
    until_ms: float
    returnable_tokens: float
    return_ids: set[int] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class _ReturnableLoan:
    """Lent tokens that have no place any more but may be given back."""

    headroom_id: int
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
        self._reserved_tokens: float = 0
        self._returnable_loans: dict[str, _ReturnableLoan] = {}
        self._reserved_loans: collections.deque[_ReservedLoan] = (
            collections.deque()
        )
        self._headroom = HeadroomHistory()
        self._advanced_ms = now_ms

    @property
    def headroom_tokens(self) -> float:
        """What fits below the cap beside the balance and lent tokens."""
        return self.cap_tokens - self._reserved_tokens - self.balance_tokens

    @property
    def reserved_until_ms(self) -> float:
        """When the last lent tokens give up their place; 0 for none."""
        return self._reserved_loans[-1].until_ms if self._reserved_loans else 0

    def advance(self, now_ms: float) -> None:
        """Accrue up to a time and free the places of lent tokens."""
        while (
            self._reserved_loans and self._reserved_loans[0].until_ms <= now_ms
        ):
            lent = self._reserved_loans.popleft()
            self._accrue(lent.until_ms)
            self._reserved_tokens -= lent.amount_tokens
            self._release_reservation(lent)
        if not self._reserved_loans:
            self._reserved_tokens = 0
        self._accrue(now_ms)

    def set_share(self, rate_tokens_per_s: float, cap_tokens: float) -> None:
        """Change the share; a cap that shrinks clips the balance."""
        self.rate_tokens_per_s = rate_tokens_per_s
        self.cap_tokens = cap_tokens
        space_tokens = max(cap_tokens - self._reserved_tokens, 0)
        self.balance_tokens = min(self.balance_tokens, space_tokens)
        self._headroom.observe(self.headroom_tokens)
        for lent in self._reserved_loans:
            space_tokens = self.headroom_tokens + lent.amount_tokens
            lent.returnable_tokens = min(lent.returnable_tokens, space_tokens)

    def charge(self, amount_tokens: float) -> int:
        """Spend tokens; returns a ticket for ``refund``."""
        self.balance_tokens -= amount_tokens
        return self._headroom.open(self.headroom_tokens)

    def refund(self, headroom_id: int, amount_tokens: float) -> float:
        """Close a charge and return how many tokens came back.

        More would exceed the cap at some time since the charge, if the
        request had been charged its real cost from the start.
        """
        refund_tokens = min(amount_tokens, self._headroom.minimum(headroom_id))
        self._headroom.close(headroom_id)
        self._add_refund(refund_tokens)
        return refund_tokens

    def lend(self, loan_id: str, amount_tokens: float, until_ms: float) -> None:
        """Deduct tokens for a peer, but keep their place for a while."""
        self.balance_tokens -= amount_tokens
        self._reserved_tokens += amount_tokens
        self._reserved_loans.append(
            _ReservedLoan(loan_id, amount_tokens, until_ms, amount_tokens)
        )

    def accept_return(
        self, loan_id: str, return_id: int, amount_tokens: float
    ) -> float:
        """Take unused lent tokens back and return how many fitted.

        The rule is that of ``refund``: the bucket must not exceed its cap
        at any time since the loan, if it had lent less from the start.
        While the place of the loan is kept, the tokens move into it.

        :param return_id: repeated ones are ignored.
        """
        for lent in self._reserved_loans:
            if lent.loan_id == loan_id:
                return self._accept_early_return(lent, return_id, amount_tokens)
        loan = self._returnable_loans.get(loan_id)
        if loan is None or return_id in loan.return_ids:
            return 0
        loan.return_ids.add(return_id)
        returned_tokens = min(
            amount_tokens,
            loan.returnable_tokens,
            self._headroom.minimum(loan.headroom_id),
        )
        returned_tokens = max(returned_tokens, 0)
        loan.returnable_tokens -= returned_tokens
        self._add_refund(returned_tokens)
        return returned_tokens

    def add_up_to_cap(self, amount_tokens: float) -> None:
        """Add tokens as far as they fit below the cap."""
        self.balance_tokens += max(min(amount_tokens, self.headroom_tokens), 0)
        self._headroom.observe(self.headroom_tokens)

    def _add_refund(self, amount_tokens: float) -> None:
        self.balance_tokens += amount_tokens
        self._headroom.lower(amount_tokens)

    def _accept_early_return(
        self, lent: _ReservedLoan, return_id: int, amount_tokens: float
    ) -> float:
        if return_id in lent.return_ids:
            return 0
        lent.return_ids.add(return_id)
        place_tokens = min(amount_tokens, lent.amount_tokens)
        returned_tokens = max(min(place_tokens, lent.returnable_tokens), 0)
        lent.amount_tokens -= place_tokens
        lent.returnable_tokens -= returned_tokens
        self._reserved_tokens -= place_tokens
        self.balance_tokens += returned_tokens
        return returned_tokens

    def _release_reservation(self, lent: _ReservedLoan) -> None:
        self._forget_loan(lent.loan_id)
        headroom_id = self._headroom.open(self.headroom_tokens)
        self._returnable_loans[lent.loan_id] = _ReturnableLoan(
            headroom_id,
            lent.returnable_tokens,
            lent.until_ms + RETURN_WINDOW_MS,
            lent.return_ids,
        )
        oldest_id = next(iter(self._returnable_loans))
        oldest = self._returnable_loans[oldest_id]
        is_due = oldest.until_ms <= lent.until_ms
        if is_due or len(self._returnable_loans) > _MAX_RETURNABLE_LOANS:
            self._forget_loan(oldest_id)

    def _forget_loan(self, loan_id: str) -> None:
        loan = self._returnable_loans.pop(loan_id, None)
        if loan is not None:
            self._headroom.close(loan.headroom_id)

    def _accrue(self, now_ms: float) -> None:
        if now_ms <= self._advanced_ms:
            return
        elapsed_ms = now_ms - self._advanced_ms
        self._advanced_ms = now_ms
        self.add_up_to_cap(self.rate_tokens_per_s * elapsed_ms / _MS_PER_S)
