"""Borrows tokens of one organisation from peer routers."""

import dataclasses
import random
from collections.abc import Iterable

from lagoonflow.quotas.actions import SendBorrowRequest, SendReturn
from lagoonflow.quotas.bucket import Bucket
from lagoonflow.quotas.lenders import Lenders, PlannedBorrow
from lagoonflow.quotas.messages import BorrowReply, BorrowRequest, Returned
from lagoonflow.quotas.token_pool import BorrowedTokens, TokenPool
from lagoonflow.streams.messages import Versions

# Smaller amounts are not returned, to save a message.
MIN_RETURN_TOKENS = 1
# Returns of unused tokens have the id of their charge, which is 1 or larger.
_SURPLUS_RETURN_ID = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Borrower:
    """Router and organisation for which tokens are borrowed.

    :param router: name of the router.
    :param nonce: nonce of the router process in the roster.
    """

    router: str
    nonce: str
    organisation: str


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingBorrow:
    peer: str
    amount_tokens: float
    expires_ms: float


class Borrowing:
    """Pending borrow requests and the tokens that peers have lent.

    :param timeout_ms: how long after the borrow request borrowed tokens may
        be spent, and a reply is waited for.
    :ivar lenders: estimates of what the peers could lend.
    :ivar pool: borrowed tokens that are not spent yet.
    :ivar versions: versions to send with borrow requests.
    """

    def __init__(self, borrower: Borrower, timeout_ms: float) -> None:
        """Start without peers and without borrowed tokens."""
        prefix = f'{borrower.router}/{borrower.nonce}/{borrower.organisation}'
        self.pool = TokenPool()
        self.lenders = Lenders(random.Random(prefix))
        self.versions = Versions()
        self._borrower = borrower
        self._prefix = prefix
        self._timeout_ms = timeout_ms
        self._pending: dict[str, _PendingBorrow] = {}
        self._last_number = 0
        self._surplus: list[BorrowedTokens] = []

    @property
    def pending_tokens(self) -> float:
        """Tokens of the borrow requests that wait for a reply."""
        return sum(pending.amount_tokens for pending in self._pending.values())

    @property
    def pending_expiries_ms(self) -> list[float]:
        """Times at which the pending borrow requests become overdue."""
        return [pending.expires_ms for pending in self._pending.values()]

    def drop_expired(self, now_ms: float) -> list[BorrowedTokens]:
        """Drop overdue borrow requests and expired tokens.

        :returns: the expired tokens.
        """
        overdue = [
            borrow_id
            for borrow_id, pending in self._pending.items()
            if pending.expires_ms <= now_ms
        ]
        for borrow_id in overdue:
            peer = self._pending.pop(borrow_id).peer
            self.lenders.on_timeout(now_ms, peer)
        return self.pool.remove_expired(now_ms)

    def start_borrow(
        self, now_ms: float, planned: PlannedBorrow
    ) -> SendBorrowRequest:
        """Record a pending borrow request and return the action to send it."""
        self._last_number += 1
        borrow_id = f'{self._prefix}/{self._last_number}'
        self._pending[borrow_id] = _PendingBorrow(
            planned.peer, planned.amount_tokens, now_ms + self._timeout_ms
        )
        request = BorrowRequest(
            borrow_id,
            self._borrower.router,
            self._borrower.organisation,
            planned.amount_tokens,
            self.versions,
        )
        return SendBorrowRequest(planned.peer, request)

    def deposit(self, bucket: Bucket, parts: Iterable[BorrowedTokens]) -> None:
        """Move borrowed tokens into a bucket.

        ``return_surplus`` returns what doesn't fit under the bucket's cap
        to the lenders, apart from very small amounts.
        """
        for part in parts:
            fitting_tokens = max(
                min(part.amount_tokens, bucket.headroom_tokens), 0
            )
            bucket.add_up_to_cap(fitting_tokens)
            surplus_tokens = part.amount_tokens - fitting_tokens
            if surplus_tokens >= MIN_RETURN_TOKENS:
                self._surplus.append(
                    dataclasses.replace(part, amount_tokens=surplus_tokens)
                )

    def return_surplus(self) -> list[SendReturn]:
        """Return to the lenders what didn't fit in ``deposit``."""
        surplus = [
            self.return_tokens(part, _SURPLUS_RETURN_ID)
            for part in self._surplus
        ]
        self._surplus.clear()
        return surplus

    def return_tokens(self, part: BorrowedTokens, return_id: int) -> SendReturn:
        """Return tokens to their lender.

        :param return_id: unique among the returns of one borrow request.
        """
        returned = Returned(
            part.borrow_id,
            return_id,
            self._borrower.organisation,
            part.amount_tokens,
            self.versions,
        )
        return SendReturn(part.peer, returned)

    def on_reply(self, now_ms: float, reply: BorrowReply) -> bool:
        """Add the lent tokens to the pool and update the peer's estimate.

        Late and repeated replies are dropped.

        :returns: whether the peer lent the whole amount.
        """
        pending = self._pending.pop(reply.borrow_id, None)
        if pending is None:
            return False
        self.pool.add(
            pending.peer,
            reply.borrow_id,
            reply.amount_tokens,
            pending.expires_ms,
        )
        self.lenders.on_reply(
            now_ms, pending.peer, reply.left_tokens, reply.is_short
        )
        return reply.amount_tokens >= pending.amount_tokens
