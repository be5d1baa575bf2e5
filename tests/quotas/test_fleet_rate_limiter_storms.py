"""One organisation floods a fleet whose routers restart and lose each other."""

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
FLOOD = 7.5
TOKENS = (200, 1000, 1500, 9000, 13_000)
STEP_MS = 10
REPORT_MS = 150
LOSS = 0.03
DOWN_MS = 300
# A router that starts knows the others, and takes requests, after these times.
KNOWN_MS = 30
READY_MS = 200
WINDOW_MS = 8000
# What the platform's users allow on their deployments.
OVERAGE = 0.1
SLACK_TOKENS = 110_000
BOUND = (LIMIT.rate_tokens_per_s * 8 + LIMIT.burst_tokens) * (
    1 + OVERAGE
) + SLACK_TOKENS


@dataclasses.dataclass
class Router:
    name: str
    starts: int = 0
    born_ms: int = 0
    meter: FleetRateLimiter | None = None

    def start(self, now_ms):
        self.starts += 1
        self.born_ms = now_ms
        self.meter = FleetRateLimiter(now_ms, self.starts)
        self.meter.set_limits({ORG: LIMIT}, now_ms)


class Storm:
    def __init__(self, seed, routers, *, restart_ms=0, herd=False, split=False):
        self.rng = random.Random(seed)
        self.routers = [Router(f'r{one}') for one in range(routers)]
        self.admitted: list[tuple[int, int]] = []
        self.restart_ms = restart_ms
        self.herd = herd
        self.split = split
        self.restarts = 0

    def run(self, alter=lambda report: report):
        for router in self.routers:
            router.start(0)
        for now_ms in range(0, 30_000, STEP_MS):
            self._restart(now_ms)
            if now_ms % REPORT_MS == 0:
                self._report(now_ms, alter)
            if now_ms >= 5000:
                self._ask(now_ms)
        return self._worst_window()

    def _restart(self, now_ms):
        names = frozenset(one.name for one in self.routers)
        for router in self.routers:
            if router.meter is None and now_ms >= router.born_ms + DOWN_MS:
                router.start(now_ms)
            if router.meter and now_ms == router.born_ms + KNOWN_MS:
                router.meter.update_members(names - {router.name}, now_ms)
        if not self.restart_ms or now_ms < 6000 or now_ms % self.restart_ms:
            return
        self.restarts += 1
        next_one = self.routers[self.restarts % len(self.routers)]
        for router in self.routers if self.herd else (next_one,):
            router.born_ms = now_ms
            router.meter = None

    def _report(self, now_ms, alter):
        up = [
            one
            for one in self.routers
            if one.meter and now_ms > one.born_ms + KNOWN_MS
        ]
        reports = {one.name: alter(one.meter.report(now_ms)) for one in up}
        for sender in up:
            for receiver in up:
                is_parted = (
                    self.split
                    and 10_000 < now_ms < 20_000
                    and (int(sender.name[1:]) + int(receiver.name[1:])) % 2
                )
                is_lost = self.rng.random() < LOSS
                if sender is not receiver and not is_parted and not is_lost:
                    receiver.meter.apply_report(
                        sender.name, reports[sender.name], now_ms
                    )

    def _ask(self, now_ms):
        mean = sum(TOKENS) / len(TOKENS)
        wanted = FLOOD * LIMIT.rate_tokens_per_s * STEP_MS / 1000 / mean
        for _ in range(int(wanted) + (self.rng.random() < wanted % 1)):
            router = self.rng.choice(self.routers)
            tokens = self.rng.choice(TOKENS)
            is_ready = now_ms > router.born_ms + READY_MS
            if router.meter is None or not is_ready:
                continue
            if not router.meter.wait_ms(ORG, tokens, now_ms):
                router.meter.charge(ORG, tokens, now_ms)
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
def test_no_window_admits_more_than_is_allowed(seed, routers, terms):
    assert Storm(seed, routers, **terms).run() <= BOUND


@pytest.mark.parametrize('seed', range(2))
def test_without_levels_of_older_routers_restarts_pass_the_bound(seed):
    """The rule taken out: each start would grant the burst again."""

    def hide_age(report: ChargeReport) -> ChargeReport:
        return dataclasses.replace(report, age_ms=0)

    storm = Storm(seed, 3, restart_ms=700)
    honest = Storm(seed, 3, restart_ms=700)
    assert storm.run(hide_age) > BOUND
    assert honest.run() <= BOUND
