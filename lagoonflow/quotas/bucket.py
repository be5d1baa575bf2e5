"""Token bucket of one organisation at one router."""

import collections
import dataclasses

from lagoonflow.quotas.headroom import HeadroomHistory

_MS_PER_S = 1000
# A loan can be returned for at least this long after the end of its
# reservation, unless too many newer loans are kept.
RETURN_WINDOW_MS = 30_000
_MAX_RETURNABLE_LOANS = 1000


@dataclasses.dataclass(slots=True)
class _ReservedLoan:
    """Lent tokens for which capacity under the cap is still reserved.

    :ivar reserved_until_ms: time from which the bucket may accrue into the
        capacity.
    :ivar returnable_tokens: how many of the tokens would still be in the
        bucket if they had not been lent.
    :ivar return_ids: returns that were received, to ignore repeated ones.
    """

    loan_id: str
    amount_tokens: float
    reserved_until_ms: float
    returnable_tokens: float
    return_ids: set[int] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class _ReturnableLoan:
    """Lent tokens that may still be returned, after their reservation.

    :ivar headroom_id: id for the headroom history since the end of the
        reservation.
    :ivar returnable_tokens: the most that returns may still add.
    :ivar returnable_until_ms: time from which the loan may be forgotten;
        returns are then ignored.
    """

    headroom_id: int
    returnable_tokens: float
    returnable_until_ms: float
    return_ids: set[int] = dataclasses.field(default_factory=set)


class Bucket:
    """Token bucket that also lends tokens and accepts refunds and returns.

    Nothing raises the balance above the cap less the capacity that is
    reserved for lent tokens. Call ``advance`` with the current time before
    any other method.

    :ivar balance_tokens: tokens that can be spent.
    :ivar rate_tokens_per_s: this router's share of the rate.
    :ivar cap_tokens: this router's share of the burst.
    """

    def __init__(self, now_ms: float) -> None:
        """Create an empty bucket whose rate and cap are 0."""
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
        """Room under the cap beside the balance and the reservations."""
        return self.cap_tokens - self._reserved_tokens - self.balance_tokens

    @property
    def reserved_until_ms(self) -> float:
        """Time at which the last reservation ends; 0 if there is none."""
        return (
            self._reserved_loans[-1].reserved_until_ms
            if self._reserved_loans
            else 0
        )

    def advance(self, now_ms: float) -> None:
        """Accrue tokens up to a time and end the reservations due by then."""
        while (
            self._reserved_loans
            and self._reserved_loans[0].reserved_until_ms <= now_ms
        ):
            reserved = self._reserved_loans.popleft()
            self._accrue(reserved.reserved_until_ms)
            self._reserved_tokens -= reserved.amount_tokens
            self._release_reservation(reserved)
        if not self._reserved_loans:
            self._reserved_tokens = 0
        self._accrue(now_ms)

    def set_share(self, rate_tokens_per_s: float, cap_tokens: float) -> None:
        """Set rate and cap; a balance above a lower cap is cut to it."""
        self.rate_tokens_per_s = rate_tokens_per_s
        self.cap_tokens = cap_tokens
        space_tokens = max(cap_tokens - self._reserved_tokens, 0)
        self.balance_tokens = min(self.balance_tokens, space_tokens)
        self._headroom.observe(self.headroom_tokens)
        for reserved in self._reserved_loans:
            space_tokens = self.headroom_tokens + reserved.amount_tokens
            reserved.returnable_tokens = min(
                reserved.returnable_tokens, space_tokens
            )

    def charge(self, amount_tokens: float) -> int:
        """Deduct tokens for a request.

        :returns: id to pass to ``refund``.
        """
        self.balance_tokens -= amount_tokens
        return self._headroom.open(self.headroom_tokens)

    def refund(self, headroom_id: int, amount_tokens: float) -> float:
        """Refund a part of a charge; the charge can't be refunded again.

        The refund is limited to the least headroom since the charge. Had
        the request been charged its real cost from the start, the bucket
        would have reached its cap earlier, and tokens above the cap are
        lost.

        :param headroom_id: what ``charge`` returned.
        :returns: how many tokens were refunded.
        """
        refund_tokens = min(amount_tokens, self._headroom.minimum(headroom_id))
        self._headroom.close(headroom_id)
        self._add_refund(refund_tokens)
        return refund_tokens

    def lend(
        self, loan_id: str, amount_tokens: float, reserved_until_ms: float
    ) -> None:
        """Deduct tokens for a peer and reserve their capacity.

        Until the reservation ends the bucket doesn't accrue into the
        capacity of the tokens, since the peer may still spend them.

        :param loan_id: the borrow id of the peer's request.
        :param reserved_until_ms: end of the reservation.
        """
        self.balance_tokens -= amount_tokens
        self._reserved_tokens += amount_tokens
        self._reserved_loans.append(
            _ReservedLoan(
                loan_id, amount_tokens, reserved_until_ms, amount_tokens
            )
        )

    def accept_return(
        self, loan_id: str, return_id: int, amount_tokens: float
    ) -> float:
        """Accept lent tokens that the borrower has not used.

        As with ``refund``, the bucket must not hold more than if it had
        lent less from the start. During the reservation the tokens go into
        the capacity that is reserved for them; after it, they are limited
        to the least headroom since its end.

        :param return_id: a return whose id was received before is ignored.
        :returns: how many tokens were added to the balance.
        """
        for reserved in self._reserved_loans:
            if reserved.loan_id == loan_id:
                return self._accept_early_return(
                    reserved, return_id, amount_tokens
                )
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
        """Add tokens; those that don't fit under the cap are lost."""
        self.balance_tokens += max(min(amount_tokens, self.headroom_tokens), 0)
        self._headroom.observe(self.headroom_tokens)

    def _add_refund(self, amount_tokens: float) -> None:
        self.balance_tokens += amount_tokens
        self._headroom.lower(amount_tokens)

    def _accept_early_return(
        self, reserved: _ReservedLoan, return_id: int, amount_tokens: float
    ) -> float:
        if return_id in reserved.return_ids:
            return 0
        reserved.return_ids.add(return_id)
        released_tokens = min(amount_tokens, reserved.amount_tokens)
        returned_tokens = max(
            min(released_tokens, reserved.returnable_tokens), 0
        )
        reserved.amount_tokens -= released_tokens
        reserved.returnable_tokens -= returned_tokens
        self._reserved_tokens -= released_tokens
        self.balance_tokens += returned_tokens
        return returned_tokens

    def _release_reservation(self, reserved: _ReservedLoan) -> None:
        self._forget_loan(reserved.loan_id)
        headroom_id = self._headroom.open(self.headroom_tokens)
        self._returnable_loans[reserved.loan_id] = _ReturnableLoan(
            headroom_id,
            reserved.returnable_tokens,
            reserved.reserved_until_ms + RETURN_WINDOW_MS,
            reserved.return_ids,
        )
        oldest_id = next(iter(self._returnable_loans))
        oldest = self._returnable_loans[oldest_id]
        has_expired = oldest.returnable_until_ms <= reserved.reserved_until_ms
        if has_expired or len(self._returnable_loans) > _MAX_RETURNABLE_LOANS:
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
