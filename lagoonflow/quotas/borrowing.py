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

# Smaller amounts are not worth a message.
MIN_RETURN_TOKENS = 1
# Ids of charges are larger.
_SURPLUS_RETURN_ID = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Borrower:
    """Who borrows.

    :param nonce: nonce of the router process.
    """

    router: str
    nonce: str
    organisation: str


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingBorrow:
    peer: str
    amount_tokens: float
    until_ms: float


class Borrowing:
    """Open asks at peers and the tokens that they brought.

    :param timeout_ms: tokens not spent this long after they were asked
        for have to be dropped.
    :ivar lenders: what is known of the peers.
    :ivar pot: borrowed tokens that are not spent yet.
    :ivar versions: versions that go along with borrow requests.
    """

    def __init__(self, borrower: Borrower, timeout_ms: float) -> None:
        """Start without peers."""
        prefix = f'{borrower.router}/{borrower.nonce}/{borrower.organisation}'
        self.pool = TokenPool()
        self.lenders = Lenders(random.Random(prefix))
        self.versions = Versions()
        self._borrower = borrower
        self._prefix = prefix
        self._timeout_ms = timeout_ms
        self._asks: dict[str, _PendingBorrow] = {}
        self._last_ask = 0
        self._surplus: list[BorrowedTokens] = []

    @property
    def pending_tokens(self) -> float:
        """Tokens asked for and neither received nor overdue."""
        return sum(ask.amount_tokens for ask in self._asks.values())

    @property
    def due_ms(self) -> list[float]:
        """Times at which open asks become overdue."""
        return [ask.until_ms for ask in self._asks.values()]

    def drop_expired(self, now_ms: float) -> list[BorrowedTokens]:
        """Close overdue asks and return tokens that were not spent."""
        overdue = [
            borrow_id
            for borrow_id, ask in self._asks.items()
            if ask.until_ms <= now_ms
        ]
        for borrow_id in overdue:
            peer = self._asks.pop(borrow_id).peer
            self.lenders.on_timeout(now_ms, peer)
        return self.pool.remove_expired(now_ms)

    def ask(self, now_ms: float, ask: PlannedBorrow) -> SendBorrowRequest:
        """Open an ask."""
        self._last_ask += 1
        borrow_id = f'{self._prefix}/{self._last_ask}'
        self._asks[borrow_id] = _PendingBorrow(
            ask.peer, ask.amount_tokens, now_ms + self._timeout_ms
        )
        request = BorrowRequest(
            borrow_id,
            self._borrower.router,
            self._borrower.organisation,
            ask.amount_tokens,
            self.versions,
        )
        return SendBorrowRequest(ask.peer, request)

    def deposit(self, bucket: Bucket, parts: Iterable[BorrowedTokens]) -> None:
        """Put tokens into a bucket; what doesn't fit is surplus."""
        for part in parts:
            kept_tokens = max(
                min(part.amount_tokens, bucket.headroom_tokens), 0
            )
            bucket.add_up_to_cap(kept_tokens)
            rest_tokens = part.amount_tokens - kept_tokens
            if rest_tokens >= MIN_RETURN_TOKENS:
                self._surplus.append(
                    dataclasses.replace(part, amount_tokens=rest_tokens)
                )

    def return_surplus(self) -> list[SendReturn]:
        """Give what did not fit back to its lenders."""
        surplus = [
            self.return_tokens(part, _SURPLUS_RETURN_ID)
            for part in self._surplus
        ]
        self._surplus.clear()
        return surplus

    def return_tokens(self, part: BorrowedTokens, return_id: int) -> SendReturn:
        """Give tokens back to their lender."""
        returned = Returned(
            part.borrow_id,
            return_id,
            self._borrower.organisation,
            part.amount_tokens,
            self.versions,
        )
        return SendReturn(part.peer, returned)

    def on_reply(self, now_ms: float, reply: BorrowReply) -> bool:
        """Take borrowed tokens; late and repeated replies are dropped.

        :returns: whether the peer lent all that was asked for.
        """
        ask = self._asks.pop(reply.borrow_id, None)
        if ask is None:
            return False
        self.pool.add(
            ask.peer, reply.borrow_id, reply.amount_tokens, ask.until_ms
        )
        self.lenders.on_reply(
            now_ms, ask.peer, reply.left_tokens, reply.is_short
        )
        return reply.amount_tokens >= ask.amount_tokens
