"""Pool of borrowed tokens that have not been spent yet."""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BorrowedTokens:
    """Tokens taken out of the pool, with the loan that they belong to.

    :param peer: name of the router that lent them.
    :param borrow_id: id of the borrow request that brought them.
    """

    peer: str
    borrow_id: str
    amount_tokens: float


@dataclasses.dataclass(slots=True)
class _PooledTokens:
    peer: str
    borrow_id: str
    amount_tokens: float
    expires_ms: float


class TokenPool:
    """Borrowed tokens of one organisation, each with an expiry time.

    They have to be spent before the lender releases the capacity under its
    cap that it has reserved for them; otherwise both routers could use the
    same tokens.
    """

    def __init__(self) -> None:
        """Create an empty pool."""
        self._parts: collections.deque[_PooledTokens] = collections.deque()

    @property
    def tokens(self) -> float:
        """Tokens that can still be spent."""
        return sum(part.amount_tokens for part in self._parts)

    @property
    def next_expiry_ms(self) -> float | None:
        """Time at which the first tokens expire; ``None`` when empty."""
        return min((part.expires_ms for part in self._parts), default=None)

    def add(
        self, peer: str, borrow_id: str, amount_tokens: float, expires_ms: float
    ) -> None:
        """Add the tokens that a peer has lent; amounts of 0 are ignored.

        :param expires_ms: time from which they may not be spent.
        """
        if amount_tokens > 0:
            part = _PooledTokens(peer, borrow_id, amount_tokens, expires_ms)
            self._parts.append(part)

    def spend(self, amount_tokens: float) -> list[BorrowedTokens]:
        """Take out up to an amount, oldest tokens first.

        :returns: the tokens taken, which may be less than the amount.
        """
        spent = []
        while self._parts and amount_tokens > 0:
            part = self._parts[0]
            spent_tokens = min(part.amount_tokens, amount_tokens)
            part.amount_tokens -= spent_tokens
            amount_tokens -= spent_tokens
            spent.append(
                BorrowedTokens(part.peer, part.borrow_id, spent_tokens)
            )
            if part.amount_tokens <= 0:
                self._parts.popleft()
        return spent

    def remove_expired(self, now_ms: float) -> list[BorrowedTokens]:
        """Remove and return the tokens that have expired."""
        expired = [part for part in self._parts if part.expires_ms <= now_ms]
        if not expired:
            return []
        self._parts = collections.deque(
            part for part in self._parts if part.expires_ms > now_ms
        )
        return list(map(_to_borrowed_tokens, expired))

    def remove_all(self) -> list[BorrowedTokens]:
        """Remove and return all tokens."""
        removed = list(map(_to_borrowed_tokens, self._parts))
        self._parts.clear()
        return removed


def _to_borrowed_tokens(part: _PooledTokens) -> BorrowedTokens:
    return BorrowedTokens(part.peer, part.borrow_id, part.amount_tokens)
