"""Quota shares of one router, and of two that borrow from each other."""

import dataclasses

import pytest

from lagoonflow.quotas.actions import (
    Admitted,
    Refused,
    SendBorrowRequest,
    SendHandOver,
)
from lagoonflow.quotas.messages import (
    BorrowReply,
    BorrowRequest,
    Returned,
    RosterAck,
)
from lagoonflow.quotas.state import QuotaShares
from lagoonflow.releases.messages import OrganisationSpec
from lagoonflow.results import Result
from lagoonflow.roster.messages import Member, Role
from lagoonflow.roster.state import Membership
from lagoonflow.streams.messages import Versions

# Rate in tokens per s and burst in tokens.
LIMITS = {'utility': OrganisationSpec(60, 120)}


def memberships(*names: str) -> list[Membership]:
    return [
        Membership(Member(name, Role.ROUTER, '', 0, '', 'n'), number)
        for number, name in enumerate(names, 1)
    ]


def router(name: str, *names: str, full: bool = True) -> QuotaShares:
    """Return the shares of a router; ``full`` waits for a full bucket."""
    shares = QuotaShares(name, 'n')
    shares.on_limits(0, LIMITS, 1)
    shares.on_roster(0, memberships(*names), len(names))
    for other in names:
        shares.on_ack(0, RosterAck(other, 'n', Versions(1, len(names))))
    if full:
        shares.poll(105)
        shares.settle(0, 0, 0)
        shares.on_borrow_request(
            10000, BorrowRequest('x', 'x', 'utility', 0, Versions())
        )
    return shares


def take(shares, now_ms, cost_tokens, deadline_ms, request_id='r'):
    return shares.take(now_ms, request_id, 'utility', cost_tokens, deadline_ms)


def deliver_borrow_requests(borrower, lender, now_ms, actions):
    """Deliver the borrow requests among the actions to one lender."""
    results = []
    for action in actions:
        if isinstance(action, SendBorrowRequest):
            reply = lender.on_borrow_request(now_ms, action.request)
            results += borrower.on_borrow_reply(now_ms, 'utility', reply)
    return results


def test_single_router_gets_the_whole_limits() -> None:
    shares = router('a', 'a')
    assert shares.balance_tokens('utility') == 120
    assert isinstance(take(shares, 10000, 120, 10000)[0], Admitted)
    refused = take(shares, 10000, 30, 10400)[0]
    assert refused.refusal.code is Result.RATE_EXCEEDED
    assert refused.refusal.retry_after_ms == 500


def test_request_waits_while_its_deadline_allows() -> None:
    shares = router('a', 'a')
    take(shares, 10000, 120, 10000)
    assert take(shares, 10000, 30, 10600) == []
    assert shares.next_wake_ms(10000) == 10500
    assert isinstance(shares.poll(10500)[0], Admitted)


def test_earliest_deadline_is_served_first() -> None:
    shares = router('a', 'a')
    take(shares, 10000, 120, 10000)
    assert take(shares, 10000, 30, 20000, 'late') == []
    assert take(shares, 10000, 30, 11000, 'early') == []
    assert shares.poll(10500)[0].request_id == 'early'
    assert shares.poll(11000)[0].request_id == 'late'


def test_larger_than_burst_is_refused_without_retry() -> None:
    refused = take(router('a', 'a'), 10000, 121, 99999)[0]
    assert refused.refusal.code is Result.LARGER_THAN_BURST
    assert refused.refusal.retry_after_ms == 0


def test_router_borrows_the_tokens_that_are_missing() -> None:
    borrower, lender = router('a', 'a', 'b'), router('b', 'a', 'b')
    borrows = take(borrower, 10000, 100, 11000)
    assert [borrow.request.amount_tokens for borrow in borrows] == [40.01]
    assert isinstance(
        deliver_borrow_requests(borrower, lender, 10005, borrows)[0],
        Admitted,
    )
    assert lender.balance_tokens('utility') == pytest.approx(20, abs=0.1)


def test_late_or_repeated_reply_adds_nothing() -> None:
    borrower, lender = router('a', 'a', 'b'), router('b', 'a', 'b')
    borrow = take(borrower, 10000, 100, 11000)[0]
    reply = lender.on_borrow_request(10005, borrow.request)
    for now_ms in (10101, 10102):
        results = borrower.on_borrow_reply(now_ms, 'utility', reply)
        assert not any(isinstance(result, Admitted) for result in results)
    assert borrower.balance_tokens('utility') == 60


def test_capacity_of_lent_tokens_is_reserved_for_the_borrow_timeout() -> None:
    lender = router('b', 'a', 'b')
    lender.on_borrow_request(
        10000, BorrowRequest('x', 'a', 'utility', 60, Versions())
    )
    for now_ms, balance_tokens in ((10104, 0), (10105, 0), (11105, 30)):
        lender.on_borrow_request(
            now_ms, BorrowRequest('x', 'a', 'utility', 0, Versions())
        )
        assert lender.balance_tokens('utility') == pytest.approx(balance_tokens)


def test_refund_is_limited_by_the_least_headroom() -> None:
    shares = router('a', 'a')
    admitted = take(shares, 10000, 100, 10000)[0]
    shares.settle(10500, admitted.charge_id, 10)
    assert shares.balance_tokens('utility') == 120
    assert shares.settle(10500, admitted.charge_id, 10) == []
    assert shares.balance_tokens('utility') == 120


def test_joining_router_accrues_only_after_all_others_acknowledged() -> None:
    shares = QuotaShares('c', 'n')
    shares.on_limits(0, LIMITS, 1)
    shares.on_roster(0, memberships('a', 'b', 'c'), 3)
    shares.on_ack(0, RosterAck('a', 'n', Versions(1, 3)))
    shares.on_ack(0, RosterAck('b', 'n', Versions(1, 2)))
    assert shares.next_wake_ms(0) is None
    shares.on_ack(1000, RosterAck('b', 'n', Versions(1, 3)))
    shares.poll(1105)
    shares.on_borrow_request(
        1205, BorrowRequest('x', 'a', 'utility', 0, Versions())
    )
    assert shares.balance_tokens('utility') == pytest.approx(2)


def test_lower_cap_cuts_the_balance_at_once_and_is_acknowledged() -> None:
    shares = router('a', 'a')
    acks = shares.on_roster(10000, memberships('a', 'b'), 2)
    assert shares.balance_tokens('utility') == 60
    assert [ack.peer for ack in acks] == ['b']
    assert shares.poll(11000) == acks
    shares.on_ack_delivered('b', acks[0].ack)
    assert shares.poll(12000) == []


def test_router_outside_the_roster_only_borrows() -> None:
    outsider, lender = router('z', 'b', full=False), router('b', 'b')
    borrows = take(outsider, 10000, 100, 11000)
    assert isinstance(
        deliver_borrow_requests(outsider, lender, 10002, borrows)[0], Admitted
    )


def test_paused_router_admits_and_lends_nothing() -> None:
    shares = router('a', 'a')
    shares.on_pause()
    assert take(shares, 10000, 10, 11000) == []
    reply = shares.on_borrow_request(
        10000, BorrowRequest('x', 'b', 'utility', 10, Versions())
    )
    assert reply.amount_tokens == 0
    assert isinstance(shares.on_caught_up(10500)[0], Admitted)


def test_shutdown_hands_tokens_over_up_to_the_cap_of_the_peer() -> None:
    leaving, peer = router('a', 'a', 'b'), router('b', 'a', 'b')
    take(peer, 10000, 25, 10000)
    offers = leaving.shut_down(10000)
    assert isinstance(offers[0], SendHandOver)
    borrows = peer.on_hand_over(10000, offers[0].hand_over)
    assert deliver_borrow_requests(peer, leaving, 10000, borrows) == []
    assert peer.balance_tokens('utility') == 60
    assert leaving.earliest_leave_ms(10000) == 10105


def test_waiting_requests_of_a_removed_organisation_are_refused() -> None:
    shares = router('a', 'a')
    take(shares, 10000, 120, 10000)
    take(shares, 10000, 30, 11000)
    refused = shares.on_limits(10100, {}, 2)
    assert isinstance(refused[0], Refused)
    assert refused[0].refusal.code is Result.NOT_ALLOWED


def test_lower_limits_refuse_requests_that_exceed_them() -> None:
    shares = router('a', 'a')
    take(shares, 10000, 120, 10000)
    take(shares, 10000, 90, 12000)
    lowered = {
        'utility': dataclasses.replace(LIMITS['utility'], burst_tokens=50)
    }
    refused = shares.on_limits(10100, lowered, 2)
    assert refused[0].refusal.code is Result.LARGER_THAN_BURST


def test_unanswered_borrow_request_is_followed_by_one_to_another_peer() -> None:
    borrower = router('a', 'a', 'b', 'c')
    first = take(borrower, 10000, 60, 11000)
    again = [
        borrow
        for borrow in borrower.poll(10100)
        if isinstance(borrow, SendBorrowRequest)
    ]
    assert {borrow.peer for borrow in first} != {
        borrow.peer for borrow in again
    }
    reply = BorrowReply(again[0].request.borrow_id, 20, Versions())
    assert isinstance(
        borrower.on_borrow_reply(10110, 'utility', reply)[0], Admitted
    )


def test_unused_borrowed_tokens_are_returned_to_their_lender_once() -> None:
    borrower, lender = router('a', 'a', 'b'), router('b', 'a', 'b')
    borrows = take(borrower, 10000, 100, 11000)
    admitted = deliver_borrow_requests(borrower, lender, 10000, borrows)[0]
    back = borrower.settle(10500, admitted.charge_id, 0)[0]
    # The borrower had a headroom of 60 and accrued 15 of that since.
    assert back.returned.amount_tokens == pytest.approx(40.01)
    for now_ms in (10500, 10510):
        lender.on_returned(now_ms, back.returned)
    # After the reservation the lender accrued 12 of the 40 that it had lent.
    assert lender.balance_tokens('utility') == pytest.approx(60, abs=0.5)
    assert borrower.balance_tokens('utility') == pytest.approx(60, abs=0.5)


def test_repeated_borrow_request_leaves_one_loan() -> None:
    lender = router('b', 'a', 'b')
    request = BorrowRequest('x', 'a', 'utility', 5, Versions())
    for now_ms in (10000, 10001, 20000, 60000):
        lender.on_borrow_request(now_ms, request)
    bucket = lender._accounts['utility'].bucket
    assert (
        len(bucket._returnable_loans) == len(bucket._headroom._outstanding) == 1
    )


def test_surplus_is_accepted_during_the_reservation() -> None:
    lender = router('b', 'a', 'b')
    request = BorrowRequest('x', 'a', 'utility', 50, Versions())
    reply = lender.on_borrow_request(10000, request)
    assert reply.amount_tokens == 50
    returned = Returned('x', 0, 'utility', 30, Versions())
    for now_ms in (10050, 10051):
        lender.on_returned(now_ms, returned)
    assert lender.balance_tokens('utility') == pytest.approx(40)
