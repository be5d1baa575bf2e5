"""Simulates the quota logic of several routers on a faulty network."""

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
REMOVAL_DELAY_MS = 2000
OLD_LIMITS_GRACE_MS = 150


@dataclasses.dataclass(frozen=True)
class Faults:
    """Faults of the network and of the log service.

    :param loss: probability that a message is lost.
    :param duplication: probability that a message is delivered twice.
    :param slow: probability that a message takes up to ``slow_ms``.
    :param fast_ms: range of the delay of all other messages.
    :param stale_ms: longest time until a router reads a record of the log.
    """

    loss: float = 0.1
    duplication: float = 0.1
    slow: float = 0.2
    slow_ms: int = 400
    fast_ms: tuple[float, float] = (0, 8)
    stale_ms: int = 1500


@dataclasses.dataclass
class Router:
    """A simulated router process.

    :param poll_ms: time of the next scheduled poll.
    :param limits: limits that it applies.
    :param old_limits: earlier limits, with the time until it applied them.
    """

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
    """Discrete-event simulation of a fleet; repeatable for a given seed.

    :ivar excess_tokens: the most that was admitted above rate x window +
        burst in any window; at most 0 if the limits were kept.
    """

    def __init__(self, rng: random.Random, faults: Faults) -> None:
        self.rng = rng
        self.faults = faults
        self.now_ms = 0.0
        self.routers: list[Router] = []
        self.admitted: list[tuple[float, float]] = []
        self.allowances: list[tuple[float, OrganisationSpec]] = []
        self.limits = OrganisationSpec(6, 120)
        self.excess_tokens = -self.limits.burst_tokens
        self._updated_ms = 0.0
        self._current_excess_tokens = -self.limits.burst_tokens
        self._rosters: list[tuple[Membership, ...]] = [()]
        self._usage_plans: dict[str, tuple[float, float]] = {}
        self._ids = itertools.count()
        self._events: list = []

    def run_until(self, until_ms: float) -> None:
        while self._events and self._events[0][0] <= until_ms:
            at_ms, _, router, call = heapq.heappop(self._events)
            self.now_ms = max(self.now_ms, at_ms)
            if router is None:
                call()
            elif router.is_up and router.paused_until_ms > self.now_ms:
                self._schedule(router.paused_until_ms, router, call)
            elif router.is_up:
                self._run_on(router, call)
        self.now_ms = until_ms

    def join(self, name: str) -> Router:
        nonce = f'n{next(self._ids)}'
        router = Router(name, nonce, QuotaShares(name, nonce))
        self._update_excess()
        self.routers.append(router)
        self._apply_limits(router, self.limits)
        member = Member(name, Role.ROUTER, '', 0, '', nonce)
        roster = [
            entry for entry in self._rosters[-1] if entry.member.name != name
        ]
        roster.append(Membership(member, len(self._rosters)))
        self._append_roster(roster)
        return router

    def remove(self, router: Router) -> None:
        self._append_roster(
            [
                entry
                for entry in self._rosters[-1]
                if entry.member.nonce != router.nonce
            ]
        )

    def kill(self, router: Router) -> None:
        self._update_excess()
        router.is_up = False
        delay_ms = REMOVAL_DELAY_MS + self.rng.uniform(0, 1000)
        self._schedule(
            self.now_ms + delay_ms, None, lambda: self.remove(router)
        )

    def pause(self, router: Router, duration_ms: float) -> None:
        router.paused_until_ms = self.now_ms + duration_ms
        if duration_ms > REMOVAL_DELAY_MS:
            removed_ms = self.now_ms + REMOVAL_DELAY_MS
            self._schedule(removed_ms, None, lambda: self.remove(router))
        if duration_ms > PAUSE_THRESHOLD_MS:
            # A negative number puts it before all other events of that time,
            # as a process does this first when it resumes.
            resume_event = (router.paused_until_ms, -next(self._ids), router)
            heapq.heappush(self._events, (*resume_event, self._resume))

    def shut_down(self, router: Router) -> None:
        self._run_on(router, lambda r: r.shares.shut_down(self.now_ms))
        self._schedule(self.now_ms, router, self._leave)

    def take(
        self,
        router: Router,
        cost: float,
        used: float,
        run_ms: float,
        wait_ms: float | None = None,
    ) -> None:
        request_id = f'r{next(self._ids)}'
        self._usage_plans[request_id] = (used, run_ms)
        if wait_ms is None:
            wait_ms = self.rng.choice([5, 150, 3000])
        deadline_ms = self.now_ms + wait_ms
        if router.paused_until_ms > self.now_ms:
            return
        self._run_on(
            router,
            lambda r: r.shares.take(
                self.now_ms, request_id, ORGANISATION, cost, deadline_ms
            ),
        )

    def set_limits(self, limits: OrganisationSpec) -> None:
        self.limits = limits
        for router in self.routers:
            delay_ms = self.rng.uniform(0, self.faults.stale_ms)
            self._schedule(
                self.now_ms + delay_ms,
                router,
                lambda r: self._apply_limits(r, self.limits),
            )

    def _run_on(self, router: Router, call) -> None:
        for action in call(router) or ():
            self._perform(router, action)
        wake_ms = router.shares.next_wake_ms(self.now_ms)
        if wake_ms is not None and wake_ms < router.poll_ms:
            router.poll_ms = wake_ms
            late_ms = self.rng.choice([0, 0, 1, 30])
            self._schedule(wake_ms + late_ms, router, self._poll)

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
        used_tokens, run_ms = self._usage_plans.pop(request_id)
        self._update_excess(used_tokens)
        self._schedule(
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
            self._schedule(self.now_ms + delay_ms, router, call)

    def _append_roster(self, roster: list[Membership]) -> None:
        self._rosters.append(tuple(roster))
        version = len(self._rosters) - 1
        for router in self.routers:
            delay_ms = self.rng.uniform(0, self.faults.stale_ms)
            self._schedule(
                self.now_ms + delay_ms * (self.rng.random() < 0.7),
                router,
                lambda r: self._read_roster(r, version),
            )

    def _read_roster(self, router: Router, version: int):
        return router.shares.on_roster(
            self.now_ms, self._rosters[version], version
        )

    def _resume(self, router: Router):
        router.shares.on_pause()
        actions = self._read_roster(router, len(self._rosters) - 1)
        return actions + router.shares.on_caught_up(self.now_ms)

    def _leave(self, router: Router):
        earliest_leave_ms = router.shares.earliest_leave_ms(self.now_ms)
        if earliest_leave_ms > self.now_ms or self.rng.random() < 0.9:
            self._schedule(
                max(earliest_leave_ms, self.now_ms + 5), router, self._leave
            )
            return ()
        self._update_excess()
        router.is_up = False
        self.remove(router)
        return ()

    def _apply_limits(self, router: Router, limits: OrganisationSpec):
        self._update_excess()
        if router.limits is not None:
            router.old_limits.append((self.now_ms, router.limits))
        router.limits = limits
        return router.shares.on_limits(
            self.now_ms, {ORGANISATION: limits}, len(self._rosters)
        )

    def _update_excess(self, admitted_tokens: float = 0) -> None:
        """Update the largest excess over all windows that end now.

        A window allows the burst in force at its start and the rate in
        force since then. Limits remain in force while routers that lag
        behind in the log still apply them, and for a grace period after.

        :param admitted_tokens: tokens admitted now.
        """
        in_force = [self.limits]
        for router in self.routers:
            in_force += [router.limits] if router.is_up else []
            in_force += [
                limits
                for until_ms, limits in router.old_limits
                if self.now_ms <= until_ms + OLD_LIMITS_GRACE_MS
            ]
        in_force = [limits for limits in in_force if limits]
        rate = max(limits.rate_tokens_per_s for limits in in_force)
        burst = max(limits.burst_tokens for limits in in_force)
        elapsed_ms = self.now_ms - self._updated_ms
        self._updated_ms = self.now_ms
        self._current_excess_tokens -= rate * elapsed_ms / 1000
        self._current_excess_tokens = max(self._current_excess_tokens, -burst)
        self._current_excess_tokens += admitted_tokens
        self.excess_tokens = max(
            self.excess_tokens, self._current_excess_tokens
        )

    def _schedule(self, at_ms: float, router: Router | None, call) -> None:
        heapq.heappush(self._events, (at_ms, next(self._ids), router, call))


def random_history(seed: int, faults: Faults | None = None) -> Fleet:
    """Run a random sequence of events and return the fleet afterwards."""
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
            _take_large(fleet, rng.choices(up, k=rng.choice([1, 4])))
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


def _take_large(fleet: Fleet, routers: list[Router]) -> None:
    """Admit large requests, most of which are refunded much later."""
    for router in routers:
        cost = fleet.rng.choice([0.1, 0.25, 0.5, 0.95])
        cost *= fleet.limits.burst_tokens
        used = cost * fleet.rng.choice([0, 0, 0.5, 1])
        fleet.take(
            router, cost, used, fleet.rng.choice([100, 2000, 12000, 24000])
        )


def drain(fleet: Fleet) -> None:
    """Spend all tokens in small requests, including what peers can lend."""
    for router in fleet.routers:
        for _ in range(12 if router.is_up else 0):
            cost = 0.08 * fleet.limits.burst_tokens
            fleet.take(router, cost, cost, 0)
