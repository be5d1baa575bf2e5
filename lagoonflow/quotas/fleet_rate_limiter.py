"""Token buckets for the whole fleet, replicated at every router.

Each router charges its own replica and reports its total charges to the other
routers, which subtract them from theirs. Tokens accrue only for the routers
that report: a silent router is assumed to use its equal share of the limits,
and assumes the same of the others. The parts of a partitioned fleet therefore
stay within the rate together.
"""

import dataclasses
import math

from lagoonflow.clock import MS_PER_S

# A router counts as silent if it hasn't reported for this long; it reports
# several times a second.
SILENT_AFTER_MS = 1000
# Charges of other routers become known after about this time: the interval
# between reports plus the time until they arrive.
REPORT_DELAY_MS = 200
# Half-life of the average by which the others' charge rate is smoothed.
CHARGE_RATE_HALF_LIFE_MS = 500
# Requests of at most this fraction of the burst are small. When routers compete
# for tokens, small requests are admitted first, as a single bucket for all
# routers would do.
SMALL_REQUEST_FRACTION = 0.05
# Small requests may overdraw a bucket by this fraction of the burst.
SMALL_REQUEST_OVERDRAFT_FRACTION = 0.1
# For this long after its start a router adopts the bucket levels of routers
# that started earlier; they report several times meanwhile.
LEVEL_ADOPTION_MS = 2000
# A router counts as older if it started at least this much earlier.
OLDER_ROUTER_MARGIN_MS = 1000
# Late reports may overdraw a bucket by at most what it accrues in this time.
MAX_DEBT_S = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """Rate and burst of an organisation over the whole fleet.

    :param rate_tokens_per_s: accrual rate; 0 means no limit.
    """

    rate_tokens_per_s: float
    burst_tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class ChargeReport:
    """What a router reports to the other routers.

    :param incarnation: number that changes when the router restarts; its
        charges then count from 0 again.
    :param age_ms: time since its start.
    :param charged_tokens: tokens charged since its start, by organisation.
    :param levels: tokens in its replicas of the buckets, by organisation;
        empty unless another router may have just started.
    """

    incarnation: int
    age_ms: float
    charged_tokens: dict[str, float]
    levels: dict[str, float]


@dataclasses.dataclass(slots=True)
class _Peer:
    """The last report of another router."""

    received_at_ms: float
    report: ChargeReport

    def is_starting(self, now_ms: float) -> bool:
        """Whether the router may still adopt the levels of others."""
        age_ms = self.report.age_ms + now_ms - self.received_at_ms
        return age_ms < LEVEL_ADOPTION_MS + SILENT_AFTER_MS


@dataclasses.dataclass(slots=True)
class _PeerChargeRate:
    """Exponential average of the rate at which other routers charge."""

    tokens_per_ms: float = 0
    updated_ms: float = 0

    def add(self, tokens: float, now_ms: float) -> None:
        """Add tokens that other routers have reported as charged."""
        added_per_ms = tokens * math.log(2) / CHARGE_RATE_HALF_LIFE_MS
        self.tokens_per_ms = max(self.rate_per_ms(now_ms) + added_per_ms, 0)
        self.updated_ms = now_ms

    def rate_per_ms(self, now_ms: float) -> float:
        """Return the rate at which other routers charge, in tokens per ms."""
        elapsed_ms = now_ms - self.updated_ms
        return self.tokens_per_ms * 0.5 ** (
            elapsed_ms / CHARGE_RATE_HALF_LIFE_MS
        )


@dataclasses.dataclass(slots=True)
class _Bucket:
    limit: Limit
    level_tokens: float
    accrued_ms: float
    charged_tokens: float = 0
    peer_charges: _PeerChargeRate = dataclasses.field(
        default_factory=_PeerChargeRate
    )


class FleetRateLimiter:
    """Admits and charges requests within the limits of the whole fleet.

    Times are in ms of one clock, which counts the time that the machine is
    suspended.

    :param now_ms: time of the start.
    :param incarnation: number that differs from those of earlier starts.
    :ivar may_use_share: whether the other routers still count this one.
    """

    def __init__(self, now_ms: float, incarnation: int = 0) -> None:
        """Start without limits and without knowledge of other routers.

        A bucket starts with the equal shares of the routers that report,
        this one included, so that a restart grants few tokens. Shortly after
        the start, the first report of another router adds its share, and
        reports of a router that started earlier lower the level to the
        level there.
        """
        self.may_use_share = True
        self._started_ms = now_ms
        self._incarnation = incarnation
        self._members: frozenset[str] = frozenset()
        self._peers: dict[str, _Peer] = {}
        self._buckets: dict[str, _Bucket] = {}

    def update_members(self, others: frozenset[str], now_ms: float) -> None:
        """Set the other routers of the fleet.

        If they become known shortly after the start, and none has reported
        yet, the levels are cut to this router's equal share.
        """
        if others == self._members:
            return
        self._members = others
        for name in list(self._peers):
            if name not in others:
                self._peers.pop(name)
        if self._is_starting(now_ms) and not self._peers:
            for bucket in self._buckets.values():
                share_tokens = bucket.limit.burst_tokens / (len(others) + 1)
                bucket.level_tokens = min(bucket.level_tokens, share_tokens)

    def set_limits(self, limits: dict[str, Limit], now_ms: float) -> None:
        """Set limits by organisation; a lower burst takes effect at once."""
        for name, limit in limits.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                level_tokens = limit.burst_tokens * self._reporting_fraction(
                    now_ms
                )
                self._buckets[name] = _Bucket(limit, level_tokens, now_ms)
                continue
            _accrue(bucket, self._reporting_fraction(now_ms), now_ms)
            bucket.limit = limit
            bucket.level_tokens = min(bucket.level_tokens, limit.burst_tokens)
        for name in list(self._buckets):
            if name not in limits:
                self._buckets.pop(name)

    def is_limited(self, organisation: str) -> bool:
        """Return whether an organisation has a limit."""
        bucket = self._buckets.get(organisation)
        return bucket is not None and bucket.limit.rate_tokens_per_s > 0

    def wait_ms(self, organisation: str, tokens: float, now_ms: float) -> float:
        """Return how long a request has to wait; 0 if it may be charged now."""
        bucket = self._buckets.get(organisation)
        if bucket is None or bucket.limit.rate_tokens_per_s <= 0:
            return 0
        _accrue(bucket, self._reporting_fraction(now_ms), now_ms)
        burst_tokens = bucket.limit.burst_tokens
        if tokens <= burst_tokens * SMALL_REQUEST_FRACTION:
            overdraft_tokens = (
                burst_tokens
                * SMALL_REQUEST_OVERDRAFT_FRACTION
                * self._reporting_fraction(now_ms)
            )
            missing_tokens = tokens - bucket.level_tokens - overdraft_tokens
        else:
            # A request above the burst needs a full bucket. Tokens are set
            # aside for charges that other routers haven't reported yet.
            unreported_tokens = (
                bucket.peer_charges.rate_per_ms(now_ms) * REPORT_DELAY_MS
            )
            missing_tokens = (
                min(tokens, burst_tokens)
                - bucket.level_tokens
                + unreported_tokens
            )
        wait_s = max(missing_tokens, 0) / bucket.limit.rate_tokens_per_s
        return wait_s * MS_PER_S

    def charge(self, organisation: str, tokens: float, now_ms: float) -> None:
        """Charge a request for which ``wait_ms`` was 0."""
        bucket = self._buckets.get(organisation)
        if bucket is None or bucket.limit.rate_tokens_per_s <= 0:
            return
        _accrue(bucket, self._reporting_fraction(now_ms), now_ms)
        bucket.level_tokens -= tokens
        bucket.charged_tokens += tokens

    def level(self, organisation: str) -> float:
        """Return the tokens in a bucket; 0 for an unknown organisation."""
        bucket = self._buckets.get(organisation)
        return 0 if bucket is None else bucket.level_tokens

    def refund(self, organisation: str, tokens: float) -> None:
        """Refund the charge of a request that has not run."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return
        bucket.charged_tokens -= tokens
        bucket.level_tokens = min(
            bucket.level_tokens + tokens, bucket.limit.burst_tokens
        )

    def report(self, now_ms: float) -> ChargeReport:
        """Return the report to send to the other routers.

        It has the levels only while one of them may adopt these.
        """
        levels = {}
        if len(self._peers) < len(self._members) or any(
            peer.is_starting(now_ms) for peer in self._peers.values()
        ):
            levels = {
                name: round(bucket.level_tokens)
                for name, bucket in self._buckets.items()
            }
        return ChargeReport(
            self._incarnation,
            now_ms - self._started_ms,
            {
                name: bucket.charged_tokens
                for name, bucket in self._buckets.items()
                if bucket.charged_tokens
            },
            levels,
        )

    def apply_report(
        self, peer_name: str, report: ChargeReport, now_ms: float
    ) -> None:
        """Subtract from the buckets what another router has newly charged.

        A report that is the first of its incarnation, or the first after a
        silence, only sets the base for later ones: a silent router is
        assumed to have used its equal share. Shortly after the start, the
        report also changes the levels as ``__init__`` describes.
        """
        peer = self._peers.get(peer_name)
        self._accrue_all(now_ms)
        is_continuous = (
            peer is not None
            and peer.report.incarnation == report.incarnation
            and now_ms - peer.received_at_ms < SILENT_AFTER_MS
        )
        if is_continuous:
            earlier_tokens = peer.report.charged_tokens
            for name, total_tokens in report.charged_tokens.items():
                self._apply_peer_charge(
                    name, total_tokens - earlier_tokens.get(name, 0), now_ms
                )
        if self._is_starting(now_ms):
            self._adopt_levels(report, now_ms, is_first=peer is None)
        self._peers[peer_name] = _Peer(now_ms, report)

    def silent_peers(self, now_ms: float) -> int:
        """Return how many of the other routers are silent."""
        reporting = sum(
            now_ms - peer.received_at_ms < SILENT_AFTER_MS
            for peer in self._peers.values()
        )
        return max(len(self._members) - reporting, 0)

    def _apply_peer_charge(
        self, organisation: str, tokens: float, now_ms: float
    ) -> None:
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return
        bucket.peer_charges.add(tokens, now_ms)
        min_level_tokens = -bucket.limit.rate_tokens_per_s * MAX_DEBT_S
        level_tokens = bucket.level_tokens - tokens
        level_tokens = min(level_tokens, bucket.limit.burst_tokens)
        bucket.level_tokens = max(level_tokens, min_level_tokens)

    def _reporting_fraction(self, now_ms: float) -> float:
        """Return the fraction of routers that report, this one included."""
        routers = len(self._members) + 1
        return (routers - self.silent_peers(now_ms)) / routers

    def _adopt_levels(
        self, report: ChargeReport, now_ms: float, *, is_first: bool
    ) -> None:
        """Lower levels to those of an older router, or add a newer one's share.

        :param is_first: whether this is the first report of the router.
        """
        is_older = (
            report.age_ms > now_ms - self._started_ms + OLDER_ROUTER_MARGIN_MS
        )
        share = 1 / (len(self._members) + 1)
        for name, bucket in self._buckets.items():
            burst_tokens = bucket.limit.burst_tokens
            level_tokens = bucket.level_tokens
            if is_older:
                level_tokens = min(
                    level_tokens, report.levels.get(name, level_tokens)
                )
            elif is_first:
                level_tokens += burst_tokens * share
            bucket.level_tokens = min(level_tokens, burst_tokens)

    def _is_starting(self, now_ms: float) -> bool:
        return now_ms - self._started_ms < LEVEL_ADOPTION_MS

    def _accrue_all(self, now_ms: float) -> None:
        fraction = self._reporting_fraction(now_ms)
        for bucket in self._buckets.values():
            _accrue(bucket, fraction, now_ms)


def _accrue(bucket: _Bucket, fraction: float, now_ms: float) -> None:
    """Add the tokens that a bucket has gained since the last time.

    :param fraction: fraction of routers that report.
    """
    elapsed_ms = max(now_ms - bucket.accrued_ms, 0)
    bucket.accrued_ms = now_ms
    accrued_tokens = (
        bucket.limit.rate_tokens_per_s * fraction * elapsed_ms / MS_PER_S
    )
    cap_tokens = bucket.limit.burst_tokens * fraction
    if bucket.level_tokens < cap_tokens:
        level_tokens = bucket.level_tokens + accrued_tokens
        bucket.level_tokens = min(level_tokens, cap_tokens)
