"""Estimates what peers could lend and chooses whom to ask."""

import dataclasses
import random
from collections.abc import Iterable

# How long a peer's word that it is short itself counts.
SHORTAGE_TTL_MS = 1000
# How long a peer that did not answer is not asked again.
UNREACHABLE_TTL_MS = 2000
_MS_PER_S = 1000


@dataclasses.dataclass(slots=True)
class _Lender:
    """What is known of one peer.

    :ivar left_tokens: its balance after its last reply.
    :ivar grows_from_ms: time from which its balance is taken to grow.
    """

    left_tokens: float
    accrues_from_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedBorrow:
    """How much to ask of which peer."""

    peer: str
    amount_tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSupply:
    """What a router expects of all its peers together.

    :param expected_tokens: what they are expected to hold now.
    :param growth_tokens_per_s: rate of those that are not short.
    :param next_growth_ms: when the next short or silent peer is taken to
        grow again.
    """

    expected_tokens: float
    accrual_tokens_per_s: float
    next_accrual_ms: float | None


class Lenders:
    """The peers of one router, as far as one organisation is concerned.

    :param generator: seeded source that breaks ties between peers.
    """

    def __init__(self, generator: random.Random) -> None:
        """Start without peers."""
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

        A peer not asked so far is taken to have a full bucket.
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
        """Note what a peer has left after lending."""
        self._set(peer, left_tokens, now_ms + SHORTAGE_TTL_MS * is_short)

    def on_timeout(self, now_ms: float, peer: str) -> None:
        """Note that a peer has not answered in time."""
        self._set(peer, 0, now_ms + UNREACHABLE_TTL_MS)

    def expected_supply(self, now_ms: float) -> PeerSupply:
        """What all peers together hold and how it is expected to grow."""
        expected_tokens: float = 0
        growing = 0
        growths_ms = []
        for lender in self._lenders.values():
            expected_tokens += self._expected(now_ms, lender)
            if lender.accrues_from_ms <= now_ms:
                growing += 1
            else:
                growths_ms.append(lender.accrues_from_ms)
        return PeerSupply(
            expected_tokens,
            growing * self._rate_tokens_per_s,
            min(growths_ms, default=None),
        )

    def choose(
        self, now_ms: float, missing_tokens: float
    ) -> list[PlannedBorrow]:
        """Fewest peers that are expected to cover the missing tokens."""
        expected = [
            (self._expected(now_ms, lender), self._random.random(), peer)
            for peer, lender in self._lenders.items()
        ]
        asks = []
        for amount_tokens, _, peer in sorted(expected, reverse=True):
            if missing_tokens <= 0 or amount_tokens <= 0:
                break
            ask = PlannedBorrow(peer, min(amount_tokens, missing_tokens))
            self._set(peer, amount_tokens - ask.amount_tokens, now_ms)
            missing_tokens -= ask.amount_tokens
            asks.append(ask)
        return asks

    def peer_with_least(self, now_ms: float) -> str | None:
        """Peer that is expected to hold least, if there is any."""
        return min(
            self._lenders,
            key=lambda peer: self._expected(now_ms, self._lenders[peer]),
            default=None,
        )

    def _set(
        self, peer: str, left_tokens: float, accrues_from_ms: float
    ) -> None:
        lender = self._lenders.get(peer)
        if lender:
            lender.left_tokens = left_tokens
            lender.accrues_from_ms = accrues_from_ms

    def _expected(self, now_ms: float, lender: _Lender) -> float:
        tokens = lender.left_tokens
        if lender.accrues_from_ms < now_ms:
            grown_ms = now_ms - lender.accrues_from_ms
            tokens += self._rate_tokens_per_s * grown_ms / _MS_PER_S
        return min(tokens, self._cap_tokens)
