"""In no window do the routers together admit more than rate x window + burst.

Random histories of faults, restarts and limit changes check this. Mutants of
the quota logic, each without one of its rules, show that the check fails when a
rule is missing.
"""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonflow.quotas import account, shares
from lagoonflow.quotas.actions import SendHandOver
from lagoonflow.quotas.bucket import Bucket
from lagoonflow.quotas.gate import ShareGate
from lagoonflow.releases.messages import OrganisationSpec
from tests.quotas.fleet import (
    ORGANISATION,
    Faults,
    Fleet,
    Router,
    drain,
    random_history,
)

TOLERANCE_TOKENS = 1e-6
MUTANT_HISTORIES = 600


@settings(max_examples=100, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    loss=st.sampled_from([0, 0.1, 0.5]),
    slow=st.sampled_from([0, 0.2, 0.8]),
    stale_ms=st.sampled_from([0, 300, 1500, 6000]),
)
def test_no_window_exceeds_the_limits(seed, loss, slow, stale_ms) -> None:
    faults = Faults(loss=loss, slow=slow, stale_ms=stale_ms)
    assert random_history(seed, faults).excess_tokens <= TOLERANCE_TOKENS


class RefundsCurrentHeadroom(Bucket):
    """Refunds up to the current instead of the least headroom."""

    def refund(self, headroom_id: int, amount_tokens: float) -> float:
        super().refund(headroom_id, 0)
        refund_tokens = max(min(amount_tokens, self.headroom_tokens), 0)
        self.add_up_to_cap(refund_tokens)
        return refund_tokens


class RefundsWithoutSubtracting(Bucket):
    """Doesn't subtract a refund from the headroom of other charges."""

    def refund(self, headroom_id: int, amount_tokens: float) -> float:
        refund_tokens = super().refund(headroom_id, amount_tokens)
        self._headroom.lower(-refund_tokens)
        return refund_tokens


class LendsWithoutReserving(Bucket):
    """Doesn't reserve capacity for lent tokens."""

    def lend(
        self, loan_id: str, amount_tokens: float, reserved_until_ms: float
    ) -> None:
        self.balance_tokens -= amount_tokens


class AcceptsReturnsUpToHeadroom(Bucket):
    """Accepts returned tokens up to the current headroom."""

    def accept_return(
        self, loan_id: str, return_id: int, amount_tokens: float
    ) -> float:
        self.add_up_to_cap(amount_tokens)
        return amount_tokens


class KeepsBalanceAboveCap(Bucket):
    """Doesn't cut the balance when the cap is lowered."""

    def set_share(self, rate_tokens_per_s: float, cap_tokens: float) -> None:
        self.rate_tokens_per_s = rate_tokens_per_s
        self.cap_tokens = cap_tokens


class ActivatesShareAtOnce(ShareGate):
    """Lets a router accrue as soon as it has joined."""

    def share(self, now_ms: float) -> float:
        is_member = self._joined_version is not None
        return self.share_per_router if is_member else 0


def random_histories():
    return (random_history(seed) for seed in range(MUTANT_HISTORIES))


def slow_replies():
    """Lenders accrue again while their replies are in flight."""
    faults = Faults(loss=0, duplication=0, slow=0, fast_ms=(49, 49))
    fleet = full_fleet(3, OrganisationSpec(600, 60), faults)
    fleet.take(fleet.routers[0], 57, 57, 0, wait_ms=99)
    fleet.run_until(fleet.now_ms + 97)
    drain(fleet)
    fleet.run_until(fleet.now_ms + 500)
    yield fleet


def two_refunds():
    """Two refunds could both use the same headroom."""
    fleet = full_fleet(1, OrganisationSpec(6, 60), Faults())
    for _ in range(2):
        fleet.take(fleet.routers[0], 30, 0, 6000)
    for _ in range(2):
        fleet.run_until(fleet.now_ms + 5000)
        drain(fleet)
    yield fleet


class FleetThatAddsOffers(Fleet):
    """Adds offered tokens when the offer arrives, instead of borrowing them."""

    def _perform(self, router, action) -> None:
        if not isinstance(action, SendHandOver):
            super()._perform(router, action)
            return
        amount_tokens = action.hand_over.amount_tokens
        self._send(action.peer, lambda r: add_up_to_cap(r, amount_tokens))


def add_up_to_cap(router: Router, amount_tokens: float) -> None:
    router.shares._accounts[ORGANISATION].bucket.add_up_to_cap(amount_tokens)


def late_hand_over(fleet_type: type[Fleet] = Fleet):
    """A hand-over arrives after the others' larger buckets have filled up."""
    faults = Faults(
        loss=0, duplication=0, slow=0, stale_ms=0, fast_ms=(4000, 4000)
    )
    fleet = full_fleet(3, OrganisationSpec(6, 60), faults, fleet_type)
    fleet.shut_down(fleet.routers[0])
    for duration_ms in (3990, 20, 20):
        fleet.run_until(fleet.now_ms + duration_ms)
        drain(fleet)
    yield fleet


def full_fleet(
    count: int,
    limits: OrganisationSpec,
    faults: Faults,
    fleet_type: type[Fleet] = Fleet,
) -> Fleet:
    fleet = fleet_type(random.Random(0), faults)
    fleet.set_limits(limits)
    for number in range(count):
        fleet.join(f'router-{number}')
    fleet.run_until(60000)
    return fleet


MUTANTS = [
    (account, 'Bucket', RefundsCurrentHeadroom, random_histories),
    (account, 'Bucket', RefundsWithoutSubtracting, two_refunds),
    (account, 'Bucket', LendsWithoutReserving, slow_replies),
    (account, 'Bucket', AcceptsReturnsUpToHeadroom, random_histories),
    (account, 'Bucket', KeepsBalanceAboveCap, random_histories),
    (shares, 'ShareGate', ActivatesShareAtOnce, random_histories),
]


@pytest.mark.parametrize(
    'histories', [slow_replies, two_refunds, late_hand_over]
)
def test_directed_histories_stay_within_the_limits(histories) -> None:
    for fleet in histories():
        assert fleet.excess_tokens <= TOLERANCE_TOKENS


@pytest.mark.parametrize(('module', 'name', 'mutant', 'histories'), MUTANTS)
def test_check_fails_for_each_mutant(
    module, name, mutant, histories, monkeypatch
) -> None:
    monkeypatch.setattr(module, name, mutant)
    excesses = (fleet.excess_tokens for fleet in histories())
    assert any(excess > TOLERANCE_TOKENS for excess in excesses)


def test_check_fails_when_offers_are_not_borrowed() -> None:
    for fleet in late_hand_over(FleetThatAddsOffers):
        assert fleet.excess_tokens > TOLERANCE_TOKENS
