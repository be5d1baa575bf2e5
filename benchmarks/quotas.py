"""Measures refusals inside the rate, cost and memory of the quota logic.

Run ``python -m benchmarks.quotas``; it prints one JSON line per result.
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
# Offered load as a part of the rate.
LOADS = (0.7, 0.95, 5.0)
# One-way delay of a message between routers.
DELAY_MS = (1.0, 5.0)
START_MS = -1_000_000
WARM_UP_MS = 30_000
DURATION_MS = 120_000
OVERLOAD_DURATION_MS = 20_000
WAIT_MS = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request; the caller is charged more than it uses."""

    at_ms: float
    router: int
    cost_tokens: float
    used_tokens: float
    run_ms: float


@dataclasses.dataclass(slots=True)
class Tally:
    """Outcomes of one drive."""

    admitted: set[int] = dataclasses.field(default_factory=set)
    admitted_tokens: float = 0
    waits_ms: list[float] = dataclasses.field(default_factory=list)
    messages: int = 0
    decisions: int = 0
    decision_s: float = 0


def arrivals(
    seed: int, routers: int, load: float, skew: float
) -> list[Arrival]:
    """Poisson bursts of requests; ``skew`` is the first router's part."""
    rng = random.Random(f'{seed}/{routers}/{load}/{skew}')
    found = []
    at_ms = 0.0
    used_rate = LIMITS.rate_tokens_per_s * load
    duration_ms = DURATION_MS if load <= 1 else OVERLOAD_DURATION_MS
    while at_ms < WARM_UP_MS + duration_ms:
        size = rng.choice([1, 1, 1, 2, 5, 20])
        burst_tokens = 0.0
        for _ in range(size):
            used_tokens = min(rng.lognormvariate(5.5, 0.9), 4000)
            cost_tokens = used_tokens * rng.uniform(1, 2)
            router = 0
            if rng.random() >= skew:
                router = rng.randrange(routers)
            found.append(
                Arrival(
                    at_ms,
                    router,
                    cost_tokens,
                    used_tokens,
                    rng.uniform(200, 6000),
                )
            )
            burst_tokens += used_tokens
        at_ms += rng.expovariate(used_rate / 1000 / burst_tokens)
    return found


class Drive:
    """Drives several routers through one schedule of arrivals.

    :param routers: number of routers; 1 stands for one ideal bucket.
    :param is_split: whether each router has a fixed part of the limits.
    """

    def __init__(
        self, schedule: list[Arrival], routers: int, is_split: bool, wait_ms
    ) -> None:
        self.tally = Tally()
        self._rng = random.Random(len(schedule))
        self._schedule = schedule
        self._wait_ms = wait_ms
        self._ids = itertools.count()
        self._events: list = []
        self._due_ms = [math.inf] * routers
        self._routers = [
            QuotaShares(f'router-{number}', 'n') for number in range(routers)
        ]
        self._split() if is_split else self._join()

    def run(self) -> Tally:
        """Play the whole schedule."""
        for number, arrival in enumerate(self._schedule):
            self._at(arrival.at_ms, lambda now, n=number: self._take(now, n))
        while self._events:
            now_ms, _, call = heapq.heappop(self._events)
            call(now_ms)
        return self.tally

    def _split(self) -> None:
        parts = len(self._routers)
        limits = OrganisationSpec(
            LIMITS.rate_tokens_per_s / parts, LIMITS.burst_tokens / parts
        )
        for number, router in enumerate(self._routers):
            member = Member(f'router-{number}', Role.ROUTER, '', 0, '', 'n')
            router.on_limits(START_MS, {ORGANISATION: limits}, 1)
            router.on_roster(START_MS, (Membership(member, 1),), 1)
            router.poll(START_MS + 1000)

    def _join(self) -> None:
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
            self._perform(START_MS, number, actions)
        while self._events and self._events[0][0] < 0:
            now_ms, _, call = heapq.heappop(self._events)
            call(now_ms)

    def _do(self, now_ms: float, number: int, method: str, *arguments):
        router = self._routers[number]
        started_s = time.perf_counter()
        result = getattr(router, method)(now_ms, *arguments)
        self.tally.decision_s += time.perf_counter() - started_s
        self.tally.decisions += 1
        if isinstance(result, list):
            self._perform(now_ms, number, result)
        return result

    def _perform(self, now_ms: float, number: int, actions) -> None:
        for action in actions:
            match action:
                case Admitted(request_id=request_id, charge_id=charge_id):
                    self._admit(now_ms, number, int(request_id), charge_id)
                case SendBorrowRequest():
                    self._borrow(now_ms, number, action)
                case SendRosterAck(peer=peer, ack=ack):
                    index = int(peer.split('-')[1])
                    self._routers[number].on_ack_delivered(peer, ack)
                    self._do(now_ms, index, 'on_ack', ack)
                case SendReturn():
                    self._give_back(now_ms, action)
                case Refused():
                    pass
        wake_ms = self._routers[number].next_wake_ms(now_ms)
        if wake_ms is not None and wake_ms < self._due_ms[number]:
            self._due_ms[number] = wake_ms
            self._at(wake_ms, lambda now: self._poll(now, number))

    def _poll(self, now_ms: float, number: int) -> None:
        self._due_ms[number] = math.inf
        self._do(now_ms, number, 'poll')

    def _take(self, now_ms: float, index: int) -> None:
        arrival = self._schedule[index]
        deadline_ms = now_ms + self._wait_ms
        self._do(
            now_ms,
            arrival.router if len(self._routers) > 1 else 0,
            'take',
            str(index),
            ORGANISATION,
            arrival.cost_tokens,
            deadline_ms,
        )

    def _admit(
        self, now_ms: float, number: int, index: int, charge_id: int
    ) -> None:
        arrival = self._schedule[index]
        if arrival.at_ms >= WARM_UP_MS:
            self.tally.admitted.add(index)
            self.tally.admitted_tokens += arrival.used_tokens
            self.tally.waits_ms.append(now_ms - arrival.at_ms)
        self._at(
            now_ms + arrival.run_ms,
            lambda now: self._do(
                now, number, 'settle', charge_id, arrival.used_tokens
            ),
        )

    def _borrow(
        self, now_ms: float, number: int, ask: SendBorrowRequest
    ) -> None:
        self.tally.messages += 1
        lender = int(ask.peer.split('-')[1])
        self._at(
            now_ms + self._rng.uniform(*DELAY_MS),
            lambda now: self._lend(now, lender, number, ask),
        )

    def _give_back(self, now_ms: float, action: SendReturn) -> None:
        self.tally.messages += 1
        lender = int(action.peer.split('-')[1])
        self._at(
            now_ms + self._rng.uniform(*DELAY_MS),
            lambda now: self._do(now, lender, 'on_returned', action.returned),
        )

    def _lend(self, now_ms: float, lender: int, number: int, ask) -> None:
        reply = self._do(now_ms, lender, 'on_borrow_request', ask.request)
        self._at(
            now_ms + self._rng.uniform(*DELAY_MS),
            lambda now: self._do(
                now, number, 'on_borrow_reply', ORGANISATION, reply
            ),
        )

    def _at(self, at_ms: float, call) -> None:
        heapq.heappush(self._events, (at_ms, next(self._ids), call))


def compare(
    seed: int, routers: int, load: float, skew: float
) -> Iterator[dict]:
    """Compare borrowing with a fixed split in one run."""
    schedule = arrivals(seed, routers, load, skew)
    measured = [n for n, a in enumerate(schedule) if a.at_ms >= WARM_UP_MS]
    ideal = Drive(schedule, 1, False, 0).run().admitted
    patient = Drive(schedule, 1, False, WAIT_MS).run().admitted
    for policy, is_split in (('fixed', True), ('borrowing', False)):
        tally = Drive(schedule, routers, is_split, WAIT_MS).run()
        refused = len(ideal - tally.admitted)
        waits_ms = sorted(tally.waits_ms) or [0]
        yield {
            'measure': 'in_rate_refusals',
            'policy': policy,
            'routers': routers,
            'load': load,
            'arrival': 'skewed' if skew else 'even',
            'seed': seed,
            'offered': len(measured),
            'ideal_admitted': len(ideal),
            'refused_in_rate': refused,
            'ratio': round(refused / len(measured), 5),
            'refused_unlike_one_router': len(patient - tally.admitted),
            'admitted': len(tally.admitted),
            'wait_p99_ms': round(waits_ms[int(len(waits_ms) * 0.99)], 1),
            'messages_per_request': round(tally.messages / len(schedule), 3),
            'us_per_event': round(tally.decision_s * 1e6 / tally.decisions, 1),
        }


def decision_cost() -> dict:
    """Cost of admitting and settling one request without waiting."""
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


def memory_per_organisation(routers: int) -> dict:
    """Memory of one organisation's account at one of several routers."""
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
    """Print all results."""
    print(json.dumps(decision_cost()), flush=True)
    for routers in ROUTER_COUNTS:
        print(json.dumps(memory_per_organisation(routers)), flush=True)
    for load, routers, skew, seed in itertools.product(
        LOADS, ROUTER_COUNTS, (0, 0.8), SEEDS
    ):
        for line in compare(seed, routers, load, skew):
            print(json.dumps(line), flush=True)


if __name__ == '__main__':
    main()
