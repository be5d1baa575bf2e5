"""Benchmarks the quota logic in a simulation of several routers.

It measures how many requests within the rate limit are refused, and the
time and memory that the quota logic takes. Run ``python -m benchmarks.quotas``;
it prints one JSON line per result.
"""

import dataclasses
import heapq
import itertools
import json
import math
import random
import time
import tracemalloc
from collections.abc import Iterator

from lagoonflow.quotas.actions import (
    Admitted,
    Refused,
    SendBorrowRequest,
    SendReturn,
    SendRosterAck,
)
from lagoonflow.quotas.state import QuotaShares
from lagoonflow.releases.messages import OrganisationSpec
from lagoonflow.roster.messages import Member, Role
from lagoonflow.roster.state import Membership

ORGANISATION = 'utility'
LIMITS = OrganisationSpec(3000, 60000)
SEEDS = (1, 2, 3)
ROUTER_COUNTS = (3, 10, 30)
# Offered load as a multiple of the rate limit.
LOAD_FACTORS = (0.7, 0.95, 5.0)
# Bounds of the one-way delay of a message between routers.
DELAY_MS = (1.0, 5.0)
# Routers learn the limits and the roster at this time, well before the first
# arrival at 0.
START_MS = -1_000_000
# Arrivals in the warm-up are not counted.
WARM_UP_MS = 30_000
DURATION_MS = 120_000
OVERLOAD_DURATION_MS = 20_000
# How long a request may wait for admission.
WAIT_MS = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request; it is charged more up front than it uses.

    :param cost_tokens: tokens charged on admission.
    :param used_tokens: tokens used; the rest is refunded at the end.
    :param run_ms: time from admission to the end.
    """

    at_ms: float
    router: int
    cost_tokens: float
    used_tokens: float
    run_ms: float


@dataclasses.dataclass(slots=True)
class SimulationResult:
    """What one simulation has counted.

    :param admitted: indices of the admitted requests after the warm-up.
    :param waits_ms: time each of them waited for admission.
    :param messages: borrow requests and returns between routers.
    :param calls: timed calls of the quota logic.
    :param call_s: time that these calls took.
    """

    admitted: set[int] = dataclasses.field(default_factory=set)
    admitted_tokens: float = 0
    waits_ms: list[float] = dataclasses.field(default_factory=list)
    messages: int = 0
    calls: int = 0
    call_s: float = 0


def draw_arrivals(
    seed: int, routers: int, load: float, skew: float
) -> list[Arrival]:
    """Return bursts of requests; bursts arrive as a Poisson process.

    :param load: offered load as a multiple of the rate limit.
    :param skew: fraction of the requests that the first router gets in any
        case; the others are spread evenly over all routers.
    """
    rng = random.Random(f'{seed}/{routers}/{load}/{skew}')
    drawn = []
    at_ms = 0.0
    used_tokens_per_s = LIMITS.rate_tokens_per_s * load
    duration_ms = DURATION_MS if load <= 1 else OVERLOAD_DURATION_MS
    while at_ms < WARM_UP_MS + duration_ms:
        burst_size = rng.choice([1, 1, 1, 2, 5, 20])
        burst_tokens = 0.0
        for _ in range(burst_size):
            used_tokens = min(rng.lognormvariate(5.5, 0.9), 4000)
            cost_tokens = used_tokens * rng.uniform(1, 2)
            router = 0
            if rng.random() >= skew:
                router = rng.randrange(routers)
            drawn.append(
                Arrival(
                    at_ms,
                    router,
                    cost_tokens,
                    used_tokens,
                    rng.uniform(200, 6000),
                )
            )
            burst_tokens += used_tokens
        at_ms += rng.expovariate(used_tokens_per_s / 1000 / burst_tokens)
    return drawn


class Simulation:
    """Simulates the quota logic of several routers for given arrivals.

    :param schedule: the arrivals in order of time.
    :param routers: number of routers; 1 stands for one ideal token bucket.
    :param is_split: whether each router has a fixed part of the limits;
        otherwise the routers borrow from each other.
    :param wait_ms: how long a request may wait for admission.
    """

    def __init__(
        self, schedule: list[Arrival], routers: int, is_split: bool, wait_ms
    ) -> None:
        self.result = SimulationResult()
        self._rng = random.Random(len(schedule))
        self._schedule = schedule
        self._wait_ms = wait_ms
        self._ids = itertools.count()
        self._events: list = []
        self._next_poll_ms = [math.inf] * routers
        self._routers = [
            QuotaShares(f'router-{number}', 'n') for number in range(routers)
        ]
        self._start_fixed_split() if is_split else self._start_borrowing()

    def run(self) -> SimulationResult:
        """Simulate the whole schedule and return what was counted."""
        for number, arrival in enumerate(self._schedule):
            self._call_at(
                arrival.at_ms,
                lambda now, n=number: self._request_admission(now, n),
            )
        while self._events:
            now_ms, _, callback = heapq.heappop(self._events)
            callback(now_ms)
        return self.result

    def _start_fixed_split(self) -> None:
        router_count = len(self._routers)
        limits = OrganisationSpec(
            LIMITS.rate_tokens_per_s / router_count,
            LIMITS.burst_tokens / router_count,
        )
        for number, router in enumerate(self._routers):
            member = Member(f'router-{number}', Role.ROUTER, '', 0, '', 'n')
            router.on_limits(START_MS, {ORGANISATION: limits}, 1)
            router.on_roster(START_MS, (Membership(member, 1),), 1)
            router.poll(START_MS + 1000)

    def _start_borrowing(self) -> None:
        roster = tuple(
            Membership(
                Member(f'router-{number}', Role.ROUTER, '', 0, '', 'n'),
                number + 1,
            )
            for number in range(len(self._routers))
        )
        for number, router in enumerate(self._routers):
            router.on_limits(START_MS, {ORGANISATION: LIMITS}, 1)
            actions = router.on_roster(START_MS, roster, len(roster))
            self._execute(START_MS, number, actions)
        while self._events and self._events[0][0] < 0:
            now_ms, _, callback = heapq.heappop(self._events)
            callback(now_ms)

    def _call_router(self, now_ms: float, number: int, method: str, *arguments):
        router = self._routers[number]
        started_s = time.perf_counter()
        answer = getattr(router, method)(now_ms, *arguments)
        self.result.call_s += time.perf_counter() - started_s
        self.result.calls += 1
        if isinstance(answer, list):
            self._execute(now_ms, number, answer)
        return answer

    def _execute(self, now_ms: float, number: int, actions) -> None:
        for action in actions:
            match action:
                case Admitted(request_id=request_id, charge_id=charge_id):
                    self._on_admitted(
                        now_ms, number, int(request_id), charge_id
                    )
                case SendBorrowRequest():
                    self._send_borrow_request(now_ms, number, action)
                case SendRosterAck(peer=peer, ack=ack):
                    index = int(peer.split('-')[1])
                    self._routers[number].on_ack_delivered(peer, ack)
                    self._call_router(now_ms, index, 'on_ack', ack)
                case SendReturn():
                    self._send_return(now_ms, action)
                case Refused():
                    pass
        poll_ms = self._routers[number].next_wake_ms(now_ms)
        if poll_ms is not None and poll_ms < self._next_poll_ms[number]:
            self._next_poll_ms[number] = poll_ms
            self._call_at(poll_ms, lambda now: self._poll(now, number))

    def _poll(self, now_ms: float, number: int) -> None:
        self._next_poll_ms[number] = math.inf
        self._call_router(now_ms, number, 'poll')

    def _request_admission(self, now_ms: float, index: int) -> None:
        arrival = self._schedule[index]
        deadline_ms = now_ms + self._wait_ms
        self._call_router(
            now_ms,
            arrival.router if len(self._routers) > 1 else 0,
            'take',
            str(index),
            ORGANISATION,
            arrival.cost_tokens,
            deadline_ms,
        )

    def _on_admitted(
        self, now_ms: float, number: int, index: int, charge_id: int
    ) -> None:
        arrival = self._schedule[index]
        if arrival.at_ms >= WARM_UP_MS:
            self.result.admitted.add(index)
            self.result.admitted_tokens += arrival.used_tokens
            self.result.waits_ms.append(now_ms - arrival.at_ms)
        self._call_at(
            now_ms + arrival.run_ms,
            lambda now: self._call_router(
                now, number, 'settle', charge_id, arrival.used_tokens
            ),
        )

    def _send_borrow_request(
        self, now_ms: float, number: int, borrow_action: SendBorrowRequest
    ) -> None:
        self.result.messages += 1
        lender = int(borrow_action.peer.split('-')[1])
        self._call_at(
            now_ms + self._rng.uniform(*DELAY_MS),
            lambda now: self._deliver_borrow_request(
                now, lender, number, borrow_action
            ),
        )

    def _send_return(self, now_ms: float, action: SendReturn) -> None:
        self.result.messages += 1
        lender = int(action.peer.split('-')[1])
        self._call_at(
            now_ms + self._rng.uniform(*DELAY_MS),
            lambda now: self._call_router(
                now, lender, 'on_returned', action.returned
            ),
        )

    def _deliver_borrow_request(
        self, now_ms: float, lender: int, number: int, borrow_action
    ) -> None:
        reply = self._call_router(
            now_ms, lender, 'on_borrow_request', borrow_action.request
        )
        self._call_at(
            now_ms + self._rng.uniform(*DELAY_MS),
            lambda now: self._call_router(
                now, number, 'on_borrow_reply', ORGANISATION, reply
            ),
        )

    def _call_at(self, at_ms: float, callback) -> None:
        heapq.heappush(self._events, (at_ms, next(self._ids), callback))


def compare(
    seed: int, routers: int, load: float, skew: float
) -> Iterator[dict]:
    """Measure borrowing and a fixed split with the same arrivals.

    Both are compared with one bucket for all routers, without and with
    waiting for admission.
    """
    schedule = draw_arrivals(seed, routers, load, skew)
    measured = [
        n for n, arrival in enumerate(schedule) if arrival.at_ms >= WARM_UP_MS
    ]
    admitted_without_wait = Simulation(schedule, 1, False, 0).run().admitted
    admitted_with_wait = Simulation(schedule, 1, False, WAIT_MS).run().admitted
    for policy, is_split in (('fixed', True), ('borrowing', False)):
        result = Simulation(schedule, routers, is_split, WAIT_MS).run()
        refused = len(admitted_without_wait - result.admitted)
        waits_ms = sorted(result.waits_ms) or [0]
        yield {
            'measure': 'in_rate_refusals',
            'policy': policy,
            'routers': routers,
            'load': load,
            'arrival': 'skewed' if skew else 'even',
            'seed': seed,
            'offered': len(measured),
            'ideal_admitted': len(admitted_without_wait),
            'refused_in_rate': refused,
            'ratio': round(refused / len(measured), 5),
            'refused_unlike_one_router': len(
                admitted_with_wait - result.admitted
            ),
            'admitted': len(result.admitted),
            'wait_p99_ms': round(waits_ms[int(len(waits_ms) * 0.99)], 1),
            'messages_per_request': round(result.messages / len(schedule), 3),
            'us_per_event': round(result.call_s * 1e6 / result.calls, 1),
        }


def measure_decision_cost() -> dict:
    """Measure the time to admit and settle a request that need not wait."""
    shares = QuotaShares('router-0', 'n')
    shares.on_limits(0, {ORGANISATION: OrganisationSpec(1e9, 1e9)}, 1)
    roster = (Membership(Member('router-0', Role.ROUTER, '', 0, '', 'n'), 1),)
    shares.on_roster(0, roster, 1)
    shares.poll(1000)
    count = 100_000
    started_s = time.perf_counter()
    for number in range(count):
        now_ms = 2000 + number
        admitted = shares.take(now_ms, 'r', ORGANISATION, 100, now_ms)[0]
        shares.settle(now_ms + 1, admitted.charge_id, 50)
    elapsed_s = time.perf_counter() - started_s
    return {
        'measure': 'take_and_settle_us',
        'value': round(elapsed_s * 1e6 / count, 2),
    }


def measure_memory(routers: int) -> dict:
    """Measure the memory that one router uses per organisation.

    :param routers: number of routers in the roster.
    """
    roster = tuple(
        Membership(Member(f'router-{n}', Role.ROUTER, '', 0, '', 'n'), n + 1)
        for n in range(routers)
    )
    count = 1000
    shares = QuotaShares('router-0', 'n')
    shares.on_roster(0, roster, routers)
    tracemalloc.start()
    shares.on_limits(0, {f'o{n}': LIMITS for n in range(count)}, 1)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        'measure': 'bytes_per_organisation',
        'routers': routers,
        'value': size // count,
    }


def main() -> None:
    """Run all measurements and print the results."""
    print(json.dumps(measure_decision_cost()), flush=True)
    for routers in ROUTER_COUNTS:
        print(json.dumps(measure_memory(routers)), flush=True)
    for load, routers, skew, seed in itertools.product(
        LOAD_FACTORS, ROUTER_COUNTS, (0, 0.8), SEEDS
    ):
        for measures in compare(seed, routers, load, skew):
            print(json.dumps(measures), flush=True)


if __name__ == '__main__':
    main()
