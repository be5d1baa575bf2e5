"""Borrowed tokens that have not been spent yet."""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BorrowedTokens:
    """Borrowed tokens that were taken out of the pot."""

    peer: str
    borrow_id: str
    amount_tokens: float


@dataclasses.dataclass(slots=True)
class _PooledTokens:
    peer: str
    borrow_id: str
    amount_tokens: float
    until_ms: float


class TokenPool:
    """Borrowed tokens, each good until its lender's place is freed."""

    def __init__(self) -> None:
        """Start empty."""
        self._parts: collections.deque[_PooledTokens] = collections.deque()

    @property
    def tokens(self) -> float:
        """Tokens that can still be spent."""
        return sum(part.amount_tokens for part in self._parts)

    @property
    def next_expiry_ms(self) -> float | None:
        """When the first tokens run out, if there are any."""
        return min((part.until_ms for part in self._parts), default=None)

    def add(
        self, peer: str, borrow_id: str, amount_tokens: float, until_ms: float
    ) -> None:
        """Add tokens of a lender that run out at a time."""
        if amount_tokens > 0:
            part = _PooledTokens(peer, borrow_id, amount_tokens, until_ms)
            self._parts.append(part)

    def spend(self, amount_tokens: float) -> list[BorrowedTokens]:
        """Spend up to an amount, oldest first."""
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
        """Take out the tokens that run out now."""
        due = [part for part in self._parts if part.until_ms <= now_ms]
        if not due:
            return []
        self._parts = collections.deque(
            part for part in self._parts if part.until_ms > now_ms
        )
        return list(map(_spent, due))

    def remove_all(self) -> list[BorrowedTokens]:
        """Take out all tokens."""
        taken = list(map(_spent, self._parts))
        self._parts.clear()
        return taken


def _spent(part: _PooledTokens) -> BorrowedTokens:
    return BorrowedTokens(part.peer, part.borrow_id, part.amount_tokens)
