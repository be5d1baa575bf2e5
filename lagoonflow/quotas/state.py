"""Admits the requests of all organisations at one router."""

import dataclasses
from collections.abc import Iterator

from lagoonflow.quotas.actions import Action, Refused
from lagoonflow.quotas.borrowing import MIN_RETURN_TOKENS
from lagoonflow.quotas.charges import Charge
from lagoonflow.quotas.forecast import larger_than_burst
from lagoonflow.quotas.messages import (
    BorrowReply,
    BorrowRequest,
    HandOver,
    Returned,
)
from lagoonflow.quotas.shares import ShareAllocator, no_such_organisation
from lagoonflow.quotas.token_pool import BorrowedTokens
from lagoonflow.quotas.waiting import WaitingRequest


class QuotaShares(ShareAllocator):
    """Admits requests within this router's shares and borrowed tokens.

    This class does no input or output: the caller carries out the actions
    that its methods return. All times are in ms of one clock, which counts
    the time that the machine is suspended.
    """

    def balance_tokens(self, organisation: str) -> float:
        """Own balance as of the last call; 0 for unknown organisations."""
        account = self._accounts.get(organisation)
        return account.bucket.balance_tokens if account else 0

    def take(
        self,
        now_ms: float,
        request_id: str,
        organisation: str,
        cost_tokens: float,
        deadline_ms: float,
    ) -> list[Action]:
        """Admit and charge a request, refuse it, or queue it.

        The request is queued if the actions neither admit nor refuse it.

        :param cost_tokens: the most tokens that it can use; ``settle``
            refunds what it has not used.
        """
        account = self._accounts.get(organisation)
        if account is None:
            return [Refused(request_id, no_such_organisation())]
        if cost_tokens > account.spec.burst_tokens:
            return [Refused(request_id, larger_than_burst())]
        account.advance(now_ms)
        if not (account.queue or self._is_paused):
            admitted = account.try_charge(request_id, cost_tokens)
            if admitted:
                return admitted
        self._arrivals += 1
        account.queue.add(
            WaitingRequest(deadline_ms, self._arrivals, request_id, cost_tokens)
        )
        return self._serve(now_ms, [account])

    def settle(
        self, now_ms: float, charge_id: int, used_tokens: float
    ) -> list[Action]:
        """Refund the tokens that an admitted request has not used.

        Unused borrowed tokens are returned to their lenders as far as they
        don't fit into the own bucket. Settling a charge again does nothing.

        :param charge_id: id from the request's ``Admitted`` action.
        """
        charge = self._charges.close(charge_id)
        if charge is None:
            return []
        account = self._accounts.get(charge.organisation)
        if account is None:
            return []
        account.advance(now_ms)
        unused_tokens = max(charge.amount_tokens - used_tokens, 0)
        unused_tokens -= account.bucket.refund(
            charge.headroom_id, unused_tokens
        )
        actions: list[Action] = [
            account.borrowing.return_tokens(part, charge_id)
            for part in _unused_borrowed(charge, unused_tokens)
        ]
        if account.queue:
            actions.extend(self._serve(now_ms, [account]))
        return actions

    def on_returned(self, now_ms: float, returned: Returned) -> list[Action]:
        """Accept tokens that a peer borrowed but did not use."""
        account = self._accounts.get(returned.organisation)
        if account is None:
            return []
        account.advance(now_ms)
        account.bucket.accept_return(
            returned.borrow_id, returned.return_id, returned.amount_tokens
        )
        return self._serve(now_ms, [account]) if account.queue else []

    def cancel(self, now_ms: float, request_id: str) -> list[Action]:
        """Remove a waiting request that its caller has cancelled."""
        for account in self._accounts.values():
            for request in account.queue:
                if request.request_id == request_id:
                    account.queue.remove(request)
                    return self._serve(now_ms, [account])
        return []

    def poll(self, now_ms: float) -> list[Action]:
        """Do what has become due; call it at the time of ``next_wake_ms``."""
        actions = self._refresh_share(now_ms)
        due = [
            account
            for account in self._accounts.values()
            if account.wake_ms is not None and account.wake_ms <= now_ms
        ]
        return actions + self._serve(now_ms, due)

    def next_wake_ms(self, now_ms: float) -> float | None:
        """Return when to call ``poll`` next, unless another call is made first.

        :returns: ``None`` if nothing will become due.
        """
        times_ms = [account.wake_ms for account in self._accounts.values()]
        times_ms.append(self._gate.next_wake_ms(now_ms))
        return min(
            (time_ms for time_ms in times_ms if time_ms is not None),
            default=None,
        )

    def on_borrow_request(
        self, now_ms: float, request: BorrowRequest
    ) -> BorrowReply:
        """Lend a peer tokens that no waiting request here needs."""
        account = self._accounts.get(request.organisation)
        if account is None or self._is_paused:
            return BorrowReply(request.borrow_id, 0, self._versions)
        return account.lend(now_ms, request)

    def on_borrow_reply(
        self, now_ms: float, organisation: str, reply: BorrowReply
    ) -> list[Action]:
        """Add the tokens that a peer has lent."""
        account = self._accounts.get(organisation)
        if account is None:
            return []
        account.on_reply(now_ms, reply)
        return self._serve(now_ms, [account])

    def on_hand_over(self, now_ms: float, offer: HandOver) -> list[Action]:
        """Borrow the tokens that a router which shuts down has offered."""
        account = self._accounts.get(offer.organisation)
        if account is None or self._is_paused or self._is_leaving:
            return []
        return account.on_hand_over(now_ms, offer)


def _unused_borrowed(
    charge: Charge, unused_tokens: float
) -> Iterator[BorrowedTokens]:
    for part in charge.borrowed:
        amount_tokens = min(unused_tokens, part.amount_tokens)
        unused_tokens -= amount_tokens
        if amount_tokens >= MIN_RETURN_TOKENS:
            yield dataclasses.replace(part, amount_tokens=amount_tokens)
