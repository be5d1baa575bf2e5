"""Drives the quota logic of several routers through a faulty network."""

import dataclasses
import heapq
import itertools
import math
import random

from lagoonflow.quotas.actions import (
    Admitted,
    SendBorrowRequest,
    SendHandOver,
    SendReturn,
    SendRosterAck,
)
from lagoonflow.quotas.state import QuotaShares
from lagoonflow.releases.messages import OrganisationSpec
from lagoonflow.roster.messages import Member, Role
from lagoonflow.roster.state import Membership

ORGANISATION = 'utility'
PAUSE_THRESHOLD_MS = 1000
GONE_LAG_MS = 2000
OLD_LIMITS_MS = 150


@dataclasses.dataclass(frozen=True)
class Faults:
    """How the network and the log service misbehave."""

    loss: float = 0.1
    duplication: float = 0.1
    slow: float = 0.2
    slow_ms: int = 400
    fast_ms: tuple[float, float] = (0, 8)
    stale_ms: int = 1500


@dataclasses.dataclass
class Router:
    """One router process and what its surroundings know of it."""

    name: str
    nonce: str
    shares: QuotaShares
    is_up: bool = True
    paused_until_ms: float = 0
    poll_ms: float = math.inf
    limits: OrganisationSpec | None = None
    old_limits: list[tuple[float, OrganisationSpec]] = dataclasses.field(
        default_factory=list
    )


class Fleet:
    """Event-driven fleet; every random choice comes from one source."""

    def __init__(self, rng: random.Random, faults: Faults) -> None:
        self.rng = rng
        self.faults = faults
        self.now_ms = 0.0
        self.routers: list[Router] = []
        self.admitted: list[tuple[float, float]] = []
        self.allowances: list[tuple[float, OrganisationSpec]] = []
        self.limits = OrganisationSpec(6, 120)
        self.excess_tokens = -self.limits.burst_tokens
        self._checked_ms = 0.0
        self._level_tokens = -self.limits.burst_tokens
        self._rosters: list[tuple[Membership, ...]] = [()]
        self._plans: dict[str, tuple[float, float]] = {}
        self._ids = itertools.count()
        self._events: list = []

    def run_until(self, until_ms: float) -> None:
        while self._events and self._events[0][0] <= until_ms:
            at_ms, _, router, call = heapq.heappop(self._events)
            self.now_ms = max(self.now_ms, at_ms)
            if router is None:
                call()
            elif router.is_up and router.paused_until_ms > self.now_ms:
                self._at(router.paused_until_ms, router, call)
            elif router.is_up:
                self._do(router, call)
        self.now_ms = until_ms

    def join(self, name: str) -> Router:
        nonce = f'n{next(self._ids)}'
        router = Router(name, nonce, QuotaShares(name, nonce))
        self._account()
        self.routers.append(router)
        self._adopt(router, self.limits)
        member = Member(name, Role.ROUTER, '', 0, '', nonce)
        roster = [
            entry for entry in self._rosters[-1] if entry.member.name != name
        ]
        roster.append(Membership(member, len(self._rosters)))
        self._append(roster)
        return router

    def remove(self, router: Router) -> None:
        self._append(
            [
                entry
                for entry in self._rosters[-1]
                if entry.member.nonce != router.nonce
            ]
        )

    def kill(self, router: Router) -> None:
        self._account()
        router.is_up = False
        lag_ms = GONE_LAG_MS + self.rng.uniform(0, 1000)
        self._at(self.now_ms + lag_ms, None, lambda: self.remove(router))

    def pause(self, router: Router, duration_ms: float) -> None:
        router.paused_until_ms = self.now_ms + duration_ms
        if duration_ms > GONE_LAG_MS:
            gone_ms = self.now_ms + GONE_LAG_MS
            self._at(gone_ms, None, lambda: self.remove(router))
        if duration_ms > PAUSE_THRESHOLD_MS:
            # The first thing that a process does when it wakes up.
            wake = (router.paused_until_ms, -next(self._ids), router)
            heapq.heappush(self._events, (*wake, self._wake))

    def shut_down(self, router: Router) -> None:
        self._do(router, lambda r: r.shares.shut_down(self.now_ms))
        self._at(self.now_ms, router, self._leave)

    def take(
        self,
        router: Router,
        cost: float,
        used: float,
        run_ms: float,
        wait_ms: float | None = None,
    ) -> None:
        request_id = f'r{next(self._ids)}'
        self._plans[request_id] = (used, run_ms)
        if wait_ms is None:
            wait_ms = self.rng.choice([5, 150, 3000])
        deadline_ms = self.now_ms + wait_ms
        if router.paused_until_ms > self.now_ms:
            return
        self._do(
            router,
            lambda r: r.shares.take(
                self.now_ms, request_id, ORGANISATION, cost, deadline_ms
            ),
        )

    def set_limits(self, limits: OrganisationSpec) -> None:
        self.limits = limits
        for router in self.routers:
            delay_ms = self.rng.uniform(0, self.faults.stale_ms)
            self._at(
                self.now_ms + delay_ms,
                router,
                lambda r: self._adopt(r, self.limits),
            )

    def _do(self, router: Router, call) -> None:
        for action in call(router) or ():
            self._perform(router, action)
        wake_ms = router.shares.next_wake_ms(self.now_ms)
        if wake_ms is not None and wake_ms < router.poll_ms:
            router.poll_ms = wake_ms
            late_ms = self.rng.choice([0, 0, 1, 30])
            self._at(wake_ms + late_ms, router, self._poll)

    def _poll(self, router: Router):
        router.poll_ms = math.inf
        return router.shares.poll(self.now_ms)

    def _perform(self, router: Router, action) -> None:
        match action:
            case Admitted(request_id=request_id, charge_id=charge_id):
                self._admit(router, request_id, charge_id)
            case SendBorrowRequest(peer=peer, request=request):
                self._send(peer, lambda r: self._lend(r, router, request))
            case SendRosterAck(peer=peer, ack=ack):
                self._send(peer, lambda r: self._ack(r, router, ack))
            case SendReturn(peer=peer, returned=returned):
                self._send(
                    peer, lambda r: r.shares.on_returned(self.now_ms, returned)
                )
            case SendHandOver(peer=peer, hand_over=offer):
                self._send(
                    peer, lambda r: r.shares.on_hand_over(self.now_ms, offer)
                )

    def _admit(self, router: Router, request_id: str, charge_id) -> None:
        used_tokens, run_ms = self._plans.pop(request_id)
        self._account(used_tokens)
        self._at(
            self.now_ms + run_ms,
            router,
            lambda r: r.shares.settle(self.now_ms, charge_id, used_tokens),
        )

    def _lend(self, lender: Router, borrower: Router, request):
        reply = lender.shares.on_borrow_request(self.now_ms, request)
        self._deliver(
            borrower,
            lambda r: r.shares.on_borrow_reply(
                self.now_ms, ORGANISATION, reply
            ),
        )
        return ()

    def _ack(self, receiver: Router, sender: Router, ack):
        self._deliver(
            sender, lambda r: r.shares.on_ack_delivered(receiver.name, ack)
        )
        return receiver.shares.on_ack(self.now_ms, ack)

    def _send(self, name: str, call) -> None:
        for router in self.routers:
            if router.name == name and router.is_up:
                self._deliver(router, call)

    def _deliver(self, router: Router, call) -> None:
        if self.rng.random() < self.faults.loss:
            return
        copies = 1 + (self.rng.random() < self.faults.duplication)
        for _ in range(copies):
            is_slow = self.rng.random() < self.faults.slow
            range_ms = (0, self.faults.slow_ms)
            delay_ms = self.rng.uniform(
                *(range_ms if is_slow else self.faults.fast_ms)
            )
            self._at(self.now_ms + delay_ms, router, call)

    def _append(self, roster: list[Membership]) -> None:
        self._rosters.append(tuple(roster))
        version = len(self._rosters) - 1
        for router in self.routers:
            delay_ms = self.rng.uniform(0, self.faults.stale_ms)
            self._at(
                self.now_ms + delay_ms * (self.rng.random() < 0.7),
                router,
                lambda r: self._read(r, version),
            )

    def _read(self, router: Router, version: int):
        return router.shares.on_roster(
            self.now_ms, self._rosters[version], version
        )

    def _wake(self, router: Router):
        router.shares.on_pause()
        actions = self._read(router, len(self._rosters) - 1)
        return actions + router.shares.on_caught_up(self.now_ms)

    def _leave(self, router: Router):
        earliest_leave_ms = router.shares.earliest_leave_ms(self.now_ms)
        if earliest_leave_ms > self.now_ms or self.rng.random() < 0.9:
            self._at(
                max(earliest_leave_ms, self.now_ms + 5), router, self._leave
            )
            return ()
        self._account()
        router.is_up = False
        self.remove(router)
        return ()

    def _adopt(self, router: Router, limits: OrganisationSpec):
        self._account()
        if router.limits is not None:
            router.old_limits.append((self.now_ms, router.limits))
        router.limits = limits
        return router.shares.on_limits(
            self.now_ms, {ORGANISATION: limits}, len(self._rosters)
        )

    def _account(self, admitted_tokens: float = 0) -> None:
        """Carry the largest excess over all windows that end now.

        A window may hold the burst in force at its start and the rate in
        force since; routers that lag behind keep their limits in force.
        """
        in_force = [self.limits]
        for router in self.routers:
            in_force += [router.limits] if router.is_up else []
            in_force += [
                limits
                for until_ms, limits in router.old_limits
                if self.now_ms <= until_ms + OLD_LIMITS_MS
            ]
        in_force = [limits for limits in in_force if limits]
        rate = max(limits.rate_tokens_per_s for limits in in_force)
        burst = max(limits.burst_tokens for limits in in_force)
        elapsed_ms = self.now_ms - self._checked_ms
        self._checked_ms = self.now_ms
        self._level_tokens -= rate * elapsed_ms / 1000
        self._level_tokens = max(self._level_tokens, -burst)
        self._level_tokens += admitted_tokens
        self.excess_tokens = max(self.excess_tokens, self._level_tokens)

    def _at(self, at_ms: float, router: Router | None, call) -> None:
        heapq.heappush(self._events, (at_ms, next(self._ids), router, call))


def random_history(seed: int, faults: Faults | None = None) -> Fleet:
    """Run one history and return the fleet with its largest excess."""
    rng = random.Random(seed)
    fleet = Fleet(rng, faults or Faults(stale_ms=rng.choice([50, 1500, 30000])))
    fleet.limits = _random_limits(rng)
    for number in range(rng.randint(1, 4)):
        fleet.join(f'router-{number}')
    fleet.run_until(rng.choice([1000, 60000]))
    for _ in range(rng.randint(5, 30)):
        _random_step(fleet, rng)
        pause_ms = rng.choice([0, 2, 30, 70, 110, 700, 5000, 12000])
        fleet.run_until(fleet.now_ms + pause_ms)
    drain(fleet)
    fleet.run_until(fleet.now_ms + 1000)
    return fleet


def _random_limits(rng: random.Random) -> OrganisationSpec:
    return OrganisationSpec(rng.choice([6, 60, 600]), rng.choice([60, 120]))


def _random_step(fleet: Fleet, rng: random.Random) -> None:
    up = [router for router in fleet.routers if router.is_up]
    kind = rng.choices(
        ['take', 'drain', 'join', 'kill', 'restart', 'leave', 'pause', 'limit'],
        [12, 8, 2, 1, 1, 1, 1, 1],
    )[0]
    if not up or kind == 'join':
        fleet.join(f'router-{len(fleet.routers)}')
        return
    router = rng.choice(up)
    match kind:
        case 'take':
            _take_some(fleet, rng.choices(up, k=rng.choice([1, 4])))
        case 'drain':
            drain(fleet)
        case 'kill':
            fleet.kill(router)
        case 'restart':
            fleet.kill(router)
            fleet.join(router.name)
        case 'leave':
            fleet.shut_down(router)
        case 'pause':
            fleet.pause(router, rng.choice([20, 300, 900, 1500, 4000]))
        case 'limit':
            fleet.set_limits(_random_limits(rng))


def _take_some(fleet: Fleet, routers: list[Router]) -> None:
    """Charge a lot, most of which is refunded much later."""
    for router in routers:
        cost = fleet.rng.choice([0.1, 0.25, 0.5, 0.95])
        cost *= fleet.limits.burst_tokens
        used = cost * fleet.rng.choice([0, 0, 0.5, 1])
        fleet.take(
            router, cost, used, fleet.rng.choice([100, 2000, 12000, 24000])
        )


def drain(fleet: Fleet) -> None:
    """Spend everything in small steps, and what peers can lend."""
    for router in fleet.routers:
        for _ in range(12 if router.is_up else 0):
            cost = 0.08 * fleet.limits.burst_tokens
            fleet.take(router, cost, cost, 0)
