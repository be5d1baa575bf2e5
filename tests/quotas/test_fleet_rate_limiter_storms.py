"""Fleet rate limiters under a flood, with restarts and a partition.

One organisation sends several times its rate. The failures to guard against:
restarted routers grant the burst again, and partitioned routers each grant the
full rate.
"""

import dataclasses
import random

import pytest

from lagoonflow.quotas.fleet_rate_limiter import (
    ChargeReport,
    FleetRateLimiter,
    Limit,
)

ORG = 'water'
LIMIT = Limit(rate_tokens_per_s=70_000, burst_tokens=70_000)
# Demand as a multiple of the rate.
DEMAND_PER_RATE = 7.5
TOKENS = (200, 1000, 1500, 9000, 13_000)
STEP_MS = 10
REPORT_INTERVAL_MS = 150
REPORT_LOSS = 0.03
DOWNTIME_MS = 300
# How long after its start a router knows the others, and takes requests.
MEMBERS_KNOWN_AFTER_MS = 30
READY_AFTER_MS = 200
WINDOW_MS = 8000
# Excess over rate and burst that the platform's users tolerate.
TOLERATED_EXCESS = 0.1
TOLERATED_TOKENS = 110_000
BOUND = (LIMIT.rate_tokens_per_s * 8 + LIMIT.burst_tokens) * (
    1 + TOLERATED_EXCESS
) + TOLERATED_TOKENS


@dataclasses.dataclass
class Router:
    """A simulated router; ``limiter`` is ``None`` while it is down."""

    name: str
    starts: int = 0
    # When it was last started or stopped.
    changed_ms: int = 0
    limiter: FleetRateLimiter | None = None

    def start(self, now_ms):
        self.starts += 1
        self.changed_ms = now_ms
        self.limiter = FleetRateLimiter(now_ms, self.starts)
        self.limiter.set_limits({ORG: LIMIT}, now_ms)


class FloodSimulation:
    """Sends a flood of requests to routers that exchange reports.

    :param restart_ms: interval between restarts; 0 for none.
    :param herd: whether all routers restart at once, or one after another.
    :param split: whether the fleet is partitioned for a time.
    """

    def __init__(self, seed, routers, *, restart_ms=0, herd=False, split=False):
        self.rng = random.Random(seed)
        self.routers = [Router(f'r{number}') for number in range(routers)]
        self.admitted: list[tuple[int, int]] = []
        self.restart_ms = restart_ms
        self.herd = herd
        self.split = split
        self.restarts = 0

    def run(self, transform_report=lambda report: report):
        for router in self.routers:
            router.start(0)
        for now_ms in range(0, 30_000, STEP_MS):
            self._restart_routers(now_ms)
            if now_ms % REPORT_INTERVAL_MS == 0:
                self._exchange_reports(now_ms, transform_report)
            if now_ms >= 5000:
                self._send_requests(now_ms)
        return self._worst_window()

    def _restart_routers(self, now_ms):
        names = frozenset(one.name for one in self.routers)
        for router in self.routers:
            if (
                router.limiter is None
                and now_ms >= router.changed_ms + DOWNTIME_MS
            ):
                router.start(now_ms)
            if (
                router.limiter
                and now_ms == router.changed_ms + MEMBERS_KNOWN_AFTER_MS
            ):
                router.limiter.update_members(names - {router.name}, now_ms)
        if not self.restart_ms or now_ms < 6000 or now_ms % self.restart_ms:
            return
        self.restarts += 1
        next_router = self.routers[self.restarts % len(self.routers)]
        for router in self.routers if self.herd else (next_router,):
            router.changed_ms = now_ms
            router.limiter = None

    def _exchange_reports(self, now_ms, transform_report):
        up = [
            one
            for one in self.routers
            if one.limiter and now_ms > one.changed_ms + MEMBERS_KNOWN_AFTER_MS
        ]
        reports = {
            one.name: transform_report(one.limiter.report(now_ms)) for one in up
        }
        for sender in up:
            for receiver in up:
                is_partitioned = (
                    self.split
                    and 10_000 < now_ms < 20_000
                    and (int(sender.name[1:]) + int(receiver.name[1:])) % 2
                )
                is_lost = self.rng.random() < REPORT_LOSS
                if (
                    sender is not receiver
                    and not is_partitioned
                    and not is_lost
                ):
                    receiver.limiter.apply_report(
                        sender.name, reports[sender.name], now_ms
                    )

    def _send_requests(self, now_ms):
        mean_tokens = sum(TOKENS) / len(TOKENS)
        requests_per_step = (
            DEMAND_PER_RATE
            * LIMIT.rate_tokens_per_s
            * STEP_MS
            / 1000
            / mean_tokens
        )
        for _ in range(
            int(requests_per_step) + (self.rng.random() < requests_per_step % 1)
        ):
            router = self.rng.choice(self.routers)
            tokens = self.rng.choice(TOKENS)
            is_ready = now_ms > router.changed_ms + READY_AFTER_MS
            if router.limiter is None or not is_ready:
                continue
            if not router.limiter.wait_ms(ORG, tokens, now_ms):
                router.limiter.charge(ORG, tokens, now_ms)
                self.admitted.append((now_ms, tokens))

    def _worst_window(self):
        worst = total = first = 0
        for at_ms, tokens in self.admitted:
            total += tokens
            while self.admitted[first][0] <= at_ms - WINDOW_MS:
                total -= self.admitted[first][1]
                first += 1
            worst = max(worst, total)
        return worst


@pytest.mark.parametrize('seed', range(2))
@pytest.mark.parametrize('routers', [3, 21])
@pytest.mark.parametrize(
    'terms',
    [
        {},
        {'restart_ms': 1000},
        {'restart_ms': 3000, 'herd': True},
        {'split': True},
        {'restart_ms': 1300, 'split': True},
    ],
)
def test_no_window_admits_more_than_is_tolerated(seed, routers, terms):
    assert FloodSimulation(seed, routers, **terms).run() <= BOUND


@pytest.mark.parametrize('seed', range(2))
def test_restarts_exceed_the_bound_unless_levels_are_adopted(seed):
    """With ages of 0 nobody adopts levels, and each start grants the burst."""

    def report_no_age(report: ChargeReport) -> ChargeReport:
        return dataclasses.replace(report, age_ms=0)

    simulation = FloodSimulation(seed, 3, restart_ms=700)
    unaltered = FloodSimulation(seed, 3, restart_ms=700)
    assert simulation.run(report_no_age) > BOUND
    assert unaltered.run() <= BOUND
