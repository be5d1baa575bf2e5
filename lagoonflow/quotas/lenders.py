"""Estimates what peers could lend and chooses peers to borrow from."""

import dataclasses
import random
from collections.abc import Iterable

# How long a peer that reported waiting requests of its own is not expected to
# accrue tokens that it could lend.
SHORTAGE_TTL_MS = 1000
# How long a peer that did not answer is not expected to have tokens to lend.
UNREACHABLE_TTL_MS = 2000
_MS_PER_S = 1000


@dataclasses.dataclass(slots=True)
class _Lender:
    """What this router knows about the balance of one peer.

    :ivar left_tokens: what it could still lend at ``accrues_from_ms``.
    :ivar accrues_from_ms: time from which it is expected to accrue tokens
        that it can lend.
    """

    left_tokens: float
    accrues_from_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedBorrow:
    """An amount to borrow from one peer."""

    peer: str
    amount_tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSupply:
    """What all peers together are expected to be able to lend.

    :param expected_tokens: what they could lend now.
    :param accrual_tokens_per_s: accrual rate of the peers that are neither
        short of tokens nor unreachable.
    :param next_accrual_ms: when the next short or unreachable peer is
        expected to accrue again; ``None`` if there is none.
    """

    expected_tokens: float
    accrual_tokens_per_s: float
    next_accrual_ms: float | None


class Lenders:
    """Peers of one router, with estimates for one organisation.

    :param generator: seeded source of random numbers, which break ties
        between peers.
    """

    def __init__(self, generator: random.Random) -> None:
        """Create a collection without peers."""
        self._random = generator
        self._lenders: dict[str, _Lender] = {}
        self._rate_tokens_per_s: float = 0
        self._cap_tokens: float = 0

    def set_peers(
        self,
        now_ms: float,
        peers: Iterable[str],
        rate_tokens_per_s: float,
        cap_tokens: float,
    ) -> None:
        """Set the peers and the share that each of them has.

        A new peer is expected to have a full bucket.

        :param rate_tokens_per_s: share of the rate of each peer.
        :param cap_tokens: share of the burst of each peer.
        """
        self._rate_tokens_per_s = rate_tokens_per_s
        self._cap_tokens = cap_tokens
        self._lenders = {
            peer: self._lenders.get(peer) or _Lender(cap_tokens, now_ms)
            for peer in peers
        }

    def on_reply(
        self, now_ms: float, peer: str, left_tokens: float, is_short: bool
    ) -> None:
        """Update the estimate from a peer's reply to a borrow request.

        :param left_tokens: what the peer could still lend.
        :param is_short: whether requests wait for tokens at the peer.
        """
        self._update(peer, left_tokens, now_ms + SHORTAGE_TTL_MS * is_short)

    def on_timeout(self, now_ms: float, peer: str) -> None:
        """Update the estimate when a peer did not answer in time."""
        self._update(peer, 0, now_ms + UNREACHABLE_TTL_MS)

    def expected_supply(self, now_ms: float) -> PeerSupply:
        """Return what all peers together are expected to be able to lend."""
        expected_tokens: float = 0
        accruing = 0
        accruals_ms = []
        for lender in self._lenders.values():
            expected_tokens += self._expected_tokens(now_ms, lender)
            if lender.accrues_from_ms <= now_ms:
                accruing += 1
            else:
                accruals_ms.append(lender.accrues_from_ms)
        return PeerSupply(
            expected_tokens,
            accruing * self._rate_tokens_per_s,
            min(accruals_ms, default=None),
        )

    def choose(
        self, now_ms: float, missing_tokens: float
    ) -> list[PlannedBorrow]:
        """Choose the fewest peers expected to cover the missing tokens.

        The amounts are deducted from the estimates at once. They may add up
        to less than what is missing.
        """
        expected = [
            (self._expected_tokens(now_ms, lender), self._random.random(), peer)
            for peer, lender in self._lenders.items()
        ]
        planned = []
        for amount_tokens, _, peer in sorted(expected, reverse=True):
            if missing_tokens <= 0 or amount_tokens <= 0:
                break
            borrow = PlannedBorrow(peer, min(amount_tokens, missing_tokens))
            self._update(peer, amount_tokens - borrow.amount_tokens, now_ms)
            missing_tokens -= borrow.amount_tokens
            planned.append(borrow)
        return planned

    def peer_with_least(self, now_ms: float) -> str | None:
        """Return the peer expected to have the fewest tokens, if any."""
        return min(
            self._lenders,
            key=lambda peer: self._expected_tokens(now_ms, self._lenders[peer]),
            default=None,
        )

    def _update(
        self, peer: str, left_tokens: float, accrues_from_ms: float
    ) -> None:
        lender = self._lenders.get(peer)
        if lender:
            lender.left_tokens = left_tokens
            lender.accrues_from_ms = accrues_from_ms

    def _expected_tokens(self, now_ms: float, lender: _Lender) -> float:
        tokens = lender.left_tokens
        if lender.accrues_from_ms < now_ms:
            elapsed_ms = now_ms - lender.accrues_from_ms
            tokens += self._rate_tokens_per_s * elapsed_ms / _MS_PER_S
        return min(tokens, self._cap_tokens)
