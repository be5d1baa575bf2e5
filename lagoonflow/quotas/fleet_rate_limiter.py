"""One token bucket for the whole fleet, kept by every router.

Routers tell each other what they have charged in total. A router that is not
heard from is assumed to use its equal share, and assumes the same of the
others, so that the parts of a split fleet together stay within the rate.
"""

import dataclasses
import math

from lagoonflow.clock import MS_PER_S

# Reports come several times a second; a peer is silent after this time.
SILENT_AFTER_MS = 1000
# Others may have spent what they report only after about this time, in ms:
# the pause between reports and their way.
MAX_REPORT_AGE_MS = 200
# What others have spent is smoothed with this half-life, in ms.
SPENDING_HALF_LIFE_MS = 500
# A request of at most this part of the burst is small. Small ones are let in
# first when routers compete for tokens, as one bucket for all would do.
SMALL_REQUEST_FRACTION = 0.05
# Small requests may overdraw a bucket by this part of the burst.
SMALL_REQUEST_OVERDRAFT_FRACTION = 0.1
# A router takes the buckets' levels over from older ones for this long after
# its start, in ms: they report several times meanwhile.
LEVEL_ADOPTION_MS = 2000
# Routers that are this much older know more, in ms.
OLDER_ROUTER_MARGIN_MS = 1000
# Longest time of the full rate that may be owed after late reports, in s.
MAX_DEBT_S = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """Rate and burst of an organisation over the whole fleet."""

    rate_tokens_per_s: float
    burst_tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class ChargeReport:
    """What a router tells the others.

    :param process: changes when it starts anew; its charges count from there.
    :param age_ms: time since its start.
    :param charged_tokens: charged since its start, by organisation.
    :param levels: tokens in the fleet's buckets, as it knows them.
    """

    incarnation: int
    age_ms: float
    charged_tokens: dict[str, float]
    levels: dict[str, float]


@dataclasses.dataclass(slots=True)
class _Peer:
    """What another router has reported last."""

    received_at_ms: float
    report: ChargeReport


@dataclasses.dataclass(slots=True)
class _PeerChargeRate:
    """How fast the other routers charge a bucket, smoothed."""

    per_ms: float = 0
    at_ms: float = 0

    def add(self, tokens: float, now_ms: float) -> None:
        """Count tokens that others have reported."""
        gained = tokens * math.log(2) / SPENDING_HALF_LIFE_MS
        self.per_ms = max(self.rate_per_ms(now_ms) + gained, 0)
        self.at_ms = now_ms

    def rate_per_ms(self, now_ms: float) -> float:
        """Tokens that others charge in a ms."""
        elapsed_ms = now_ms - self.at_ms
        return self.per_ms * 0.5 ** (elapsed_ms / SPENDING_HALF_LIFE_MS)


@dataclasses.dataclass(slots=True)
class _Bucket:
    limit: Limit
    level_tokens: float
    advanced_ms: float
    charged_tokens: float = 0
    others: _PeerChargeRate = dataclasses.field(default_factory=_PeerChargeRate)


class FleetRateLimiter:
    """Charges requests against the fleet's buckets.

    :param now_ms: time of the start, on a clock that counts suspended time.
    :param process: number that differs from those of earlier starts.
    """

    def __init__(self, now_ms: float, incarnation: int = 0) -> None:
        """Start with full buckets, until an older router is heard.

        Until other routers are heard, only this router's part is given out,
        so that a restart grants little.
        """
        self._started_ms = now_ms
        self._incarnation = incarnation
        self._members: frozenset[str] = frozenset()
        self._peers: dict[str, _Peer] = {}
        self._buckets: dict[str, _Bucket] = {}

    def update_members(self, others: frozenset[str], now_ms: float) -> None:
        """Follow the other routers of the fleet."""
        if others == self._members:
            return
        self._members = others
        for name in list(self._peers):
            if name not in others:
                self._peers.pop(name)
        if self._is_starting(now_ms) and not self._peers:
            for bucket in self._buckets.values():
                part_tokens = bucket.limit.burst_tokens / (len(others) + 1)
                bucket.level_tokens = min(bucket.level_tokens, part_tokens)

    def set_limits(self, limits: dict[str, Limit], now_ms: float) -> None:
        """Put limits in force; a smaller burst takes effect at once."""
        for name, limit in limits.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                part_tokens = limit.burst_tokens * self._reporting_fraction(
                    now_ms
                )
                self._buckets[name] = _Bucket(limit, part_tokens, now_ms)
                continue
            self._advance(bucket, now_ms)
            bucket.limit = limit
            bucket.level_tokens = min(bucket.level_tokens, limit.burst_tokens)
        for name in list(self._buckets):
            if name not in limits:
                self._buckets.pop(name)

    def wait_ms(self, organisation: str, tokens: float, now_ms: float) -> float:
        """Return the time until a request would be within the rate."""
        bucket = self._buckets.get(organisation)
        if bucket is None or bucket.limit.rate_tokens_per_s <= 0:
            return 0
        self._advance(bucket, now_ms)
        burst_tokens = bucket.limit.burst_tokens
        if tokens <= burst_tokens * SMALL_REQUEST_FRACTION:
            debt_tokens = (
                burst_tokens
                * SMALL_REQUEST_OVERDRAFT_FRACTION
                * self._reporting_fraction(now_ms)
            )
            missing_tokens = tokens - bucket.level_tokens - debt_tokens
        else:
            # A request above the burst can only start from a full bucket.
            unheard = bucket.others.rate_per_ms(now_ms) * MAX_REPORT_AGE_MS
            missing_tokens = (
                min(tokens, burst_tokens) - bucket.level_tokens + unheard
            )
        wait_s = max(missing_tokens, 0) / bucket.limit.rate_tokens_per_s
        return wait_s * MS_PER_S

    def charge(self, organisation: str, tokens: float, now_ms: float) -> None:
        """Charge a request for which ``wait_ms`` was 0."""
        bucket = self._buckets.get(organisation)
        if bucket is None or bucket.limit.rate_tokens_per_s <= 0:
            return
        self._advance(bucket, now_ms)
        bucket.level_tokens -= tokens
        bucket.charged_tokens += tokens

    def level(self, organisation: str) -> float:
        """Tokens in a bucket; 0 when there is none."""
        bucket = self._buckets.get(organisation)
        return 0 if bucket is None else bucket.level_tokens

    def refund(self, organisation: str, tokens: float) -> None:
        """Give back the charge of a request that was not run."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return
        bucket.charged_tokens -= tokens
        bucket.level_tokens = min(
            bucket.level_tokens + tokens, bucket.limit.burst_tokens
        )

    def report(self, now_ms: float) -> ChargeReport:
        """Return what the other routers should know."""
        return ChargeReport(
            self._incarnation,
            now_ms - self._started_ms,
            {
                name: bucket.charged_tokens
                for name, bucket in self._buckets.items()
                if bucket.charged_tokens
            },
            {
                name: round(bucket.level_tokens)
                for name, bucket in self._buckets.items()
            },
        )

    def apply_report(
        self, peer_name: str, report: ChargeReport, now_ms: float
    ) -> None:
        """Take the report of another router."""
        peer = self._peers.get(peer_name)
        for bucket in self._buckets.values():
            self._advance(bucket, now_ms)
        is_fresh = (
            peer is not None
            and peer.report.incarnation == report.incarnation
            and now_ms - peer.received_at_ms < SILENT_AFTER_MS
        )
        if is_fresh:
            before = peer.report.charged_tokens
            for name, total in report.charged_tokens.items():
                self._apply_peer_charge(
                    name, total - before.get(name, 0), now_ms
                )
        if self._is_starting(now_ms):
            self._adopt_levels(report, now_ms, is_first=peer is None)
        self._peers[peer_name] = _Peer(now_ms, report)

    def silent_peers(self, now_ms: float) -> int:
        """Count the other routers that were not heard from lately."""
        heard = sum(
            now_ms - peer.received_at_ms < SILENT_AFTER_MS
            for peer in self._peers.values()
        )
        return max(len(self._members) - heard, 0)

    def _apply_peer_charge(
        self, organisation: str, tokens: float, now_ms: float
    ) -> None:
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return
        bucket.others.add(tokens, now_ms)
        least = -bucket.limit.rate_tokens_per_s * MAX_DEBT_S
        level_tokens = bucket.level_tokens - tokens
        level_tokens = min(level_tokens, bucket.limit.burst_tokens)
        bucket.level_tokens = max(level_tokens, least)

    def _reporting_fraction(self, now_ms: float) -> float:
        """Part of the routers that are heard from, this one included."""
        routers = len(self._members) + 1
        return (routers - self.silent_peers(now_ms)) / routers

    def _adopt_levels(
        self, report: ChargeReport, now_ms: float, *, is_first: bool
    ) -> None:
        """Take levels of a router that started earlier, or add its part."""
        is_older = (
            report.age_ms > now_ms - self._started_ms + OLDER_ROUTER_MARGIN_MS
        )
        part = 1 / (len(self._members) + 1)
        for name, bucket in self._buckets.items():
            burst_tokens = bucket.limit.burst_tokens
            level_tokens = bucket.level_tokens
            if is_older:
                level_tokens = min(
                    level_tokens, report.levels.get(name, level_tokens)
                )
            elif is_first:
                level_tokens += burst_tokens * part
            bucket.level_tokens = min(level_tokens, burst_tokens)

    def _is_starting(self, now_ms: float) -> bool:
        return now_ms - self._started_ms < LEVEL_ADOPTION_MS

    def _advance(self, bucket: _Bucket, now_ms: float) -> None:
        elapsed_ms = max(now_ms - bucket.advanced_ms, 0)
        bucket.advanced_ms = now_ms
        heard = self._reporting_fraction(now_ms)
        gained = bucket.limit.rate_tokens_per_s * heard * elapsed_ms / MS_PER_S
        cap_tokens = bucket.limit.burst_tokens * heard
        if bucket.level_tokens < cap_tokens:
            level_tokens = bucket.level_tokens + gained
            bucket.level_tokens = min(level_tokens, cap_tokens)
