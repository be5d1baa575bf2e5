"""Tokens and waiting requests of one organisation at one router."""

import dataclasses

from lagoonflow.quotas.actions import (
    Action,
    Admitted,
    Refused,
    SendBorrowRequest,
)
from lagoonflow.quotas.borrowing import Borrower, Borrowing
from lagoonflow.quotas.bucket import Bucket
from lagoonflow.quotas.charges import Charge, Charges
from lagoonflow.quotas.forecast import Forecast
from lagoonflow.quotas.lenders import PlannedBorrow
from lagoonflow.quotas.messages import (
    BorrowReply,
    BorrowRequest,
    HandOver,
)
from lagoonflow.quotas.settings import QuotaSettings
from lagoonflow.quotas.waiting import WaitingQueue
from lagoonflow.releases.messages import OrganisationSpec

_MIN_WAKE_MS = 1
# Borrowed in addition, so that rounding errors in sums of token amounts don't
# leave a request short.
_BORROW_MARGIN_TOKENS = 0.01
# Pause before the next borrow requests when a peer has lent less than it was
# asked for.
_BORROW_INTERVAL_MS = 25


@dataclasses.dataclass(frozen=True, slots=True)
class LimitShares:
    """How the limits of an organisation are shared between the routers.

    All shares are fractions from 0 to 1.

    :param rate: this router's share of the rate.
    :param burst: this router's share of the burst.
    :param per_peer: each peer's share of the rate and of the burst.
    :param peers: names of the other routers.
    """

    rate: float
    burst: float
    per_peer: float
    peers: tuple[str, ...]


class Account:
    """Admits the requests of one organisation, earliest deadline first.

    :param borrower: this router and the organisation.
    :param charges: outstanding charges of all organisations.
    :ivar spec: limits of the organisation over all routers.
    :ivar wake_ms: when ``serve`` has to be called next; ``None`` if nothing
        is due.
    :ivar bucket: this router's share of the tokens.
    :ivar queue: requests that wait for tokens.
    :ivar borrowing: borrow requests and borrowed tokens.
    """

    def __init__(
        self,
        now_ms: float,
        borrower: Borrower,
        settings: QuotaSettings,
        charges: Charges,
    ) -> None:
        """Start with an empty bucket and a share of 0."""
        self.spec = OrganisationSpec(0, 0)
        self.wake_ms: float | None = None
        self.bucket = Bucket(now_ms)
        self.queue = WaitingQueue()
        self.borrowing = Borrowing(borrower, settings.borrow_timeout_ms)
        self._borrower = borrower
        self._settings = settings
        self._charges = charges
        self._next_borrow_ms = now_ms

    @property
    def available_tokens(self) -> float:
        """Own and borrowed tokens that can be spent now."""
        return self.bucket.balance_tokens + self.borrowing.pool.tokens

    def set_share(self, now_ms: float, shares: LimitShares) -> None:
        """Apply new shares or limits and set the peers to borrow from."""
        self.advance(now_ms)
        rate_tokens_per_s = self.spec.rate_tokens_per_s
        burst_tokens = self.spec.burst_tokens
        self.bucket.set_share(
            rate_tokens_per_s * shares.rate, burst_tokens * shares.burst
        )
        self.borrowing.lenders.set_peers(
            now_ms,
            shares.peers,
            rate_tokens_per_s * shares.per_peer,
            burst_tokens * shares.per_peer,
        )

    def advance(self, now_ms: float) -> None:
        """Accrue tokens and drop overdue borrow requests.

        Borrowed tokens expire shortly before the lender releases the
        capacity reserved for them. They then move into the bucket as far as
        they fit under its cap; the rest is returned.
        """
        self.bucket.advance(now_ms)
        self.borrowing.deposit(self.bucket, self.borrowing.drop_expired(now_ms))

    def try_charge(self, request_id: str, cost_tokens: float) -> list[Action]:
        """Admit and charge a request if enough tokens are available.

        Borrowed tokens are spent before own ones.

        :returns: the action that admits it; nothing if tokens are missing.
        """
        if cost_tokens > self.available_tokens:
            return []
        borrowed = tuple(self.borrowing.pool.spend(cost_tokens))
        own_tokens = cost_tokens - sum(part.amount_tokens for part in borrowed)
        headroom_id = self.bucket.charge(max(own_tokens, 0))
        charge = Charge(
            self._borrower.organisation, cost_tokens, headroom_id, borrowed
        )
        charge_id = self._charges.open(charge)
        return [Admitted(request_id, charge_id)]

    def serve(self, now_ms: float, *, is_paused: bool = False) -> list[Action]:
        """Admit waiting requests, refuse them or borrow tokens for them.

        Borrowed tokens that no request needs move into the bucket.

        :param is_paused: whether to admit and borrow nothing; requests that
            can't be admitted in time are refused all the same.
        """
        self.advance(now_ms)
        actions = [] if is_paused else self._admit()
        if not self.queue:
            self.borrowing.deposit(
                self.bucket, self.borrowing.pool.remove_all()
            )
            self._schedule_wake(now_ms, [])
            return actions + self.borrowing.return_surplus()
        forecast = self._forecast(now_ms)
        actions.extend(self._refuse_unservable(forecast))
        if not is_paused:
            actions.extend(self._borrow(forecast))
        self._schedule_wake(now_ms, self._wake_times_ms(forecast))
        return actions + self.borrowing.return_surplus()

    def lend(self, now_ms: float, request: BorrowRequest) -> BorrowReply:
        """Lend a peer tokens that no waiting request here needs."""
        self.advance(now_ms)
        spare_tokens = self.bucket.balance_tokens - self.queue.cost_tokens
        lent_tokens = max(min(spare_tokens, request.amount_tokens), 0)
        if lent_tokens:
            reserved_until_ms = now_ms + self._settings.reservation_ms
            self.bucket.lend(request.borrow_id, lent_tokens, reserved_until_ms)
        return BorrowReply(
            request.borrow_id,
            lent_tokens,
            self.borrowing.versions,
            left_tokens=max(spare_tokens - lent_tokens, 0),
            is_short=bool(self.queue),
        )

    def on_reply(self, now_ms: float, reply: BorrowReply) -> None:
        """Add the tokens that a peer has lent.

        Late and repeated replies are dropped.
        """
        self.advance(now_ms)
        if not self.borrowing.on_reply(now_ms, reply):
            self._next_borrow_ms = now_ms + _BORROW_INTERVAL_MS

    def on_hand_over(self, now_ms: float, offer: HandOver) -> list[Action]:
        """Borrow from a router that shuts down, up to the own headroom."""
        self.advance(now_ms)
        amount_tokens = min(offer.amount_tokens, self.bucket.headroom_tokens)
        if amount_tokens <= 0:
            return []
        borrow = self.borrowing.start_borrow(
            now_ms, PlannedBorrow(offer.giver, amount_tokens)
        )
        self._schedule_wake(now_ms, [self.wake_ms])
        return [borrow]

    def offer(self, now_ms: float) -> tuple[str, HandOver] | None:
        """Offer spare tokens to the peer expected to have the fewest.

        :returns: peer and offer; ``None`` if there is no peer or nothing
            to offer.
        """
        self.advance(now_ms)
        self.borrowing.deposit(self.bucket, self.borrowing.pool.remove_all())
        peer = self.borrowing.lenders.peer_with_least(now_ms)
        spare_tokens = self.bucket.balance_tokens - self.queue.cost_tokens
        if peer is None or spare_tokens <= 0:
            return None
        return peer, HandOver(
            self._borrower.router,
            self._borrower.organisation,
            spare_tokens,
            self.borrowing.versions,
        )

    def _admit(self) -> list[Action]:
        actions: list[Action] = []
        while self.queue.head:
            head = self.queue.head
            admitted = self.try_charge(head.request_id, head.cost_tokens)
            if not admitted:
                break
            self.queue.remove(head)
            actions.extend(admitted)
        return actions

    def _refuse_unservable(self, forecast: Forecast) -> list[Action]:
        actions: list[Action] = []
        ahead_tokens: float = 0
        for request in self.queue:
            refusal = forecast.find_refusal(request, ahead_tokens)
            if refusal is None:
                ahead_tokens += request.cost_tokens
                continue
            self.queue.remove(request)
            actions.append(Refused(request.request_id, refusal))
        return actions

    def _borrow(self, forecast: Forecast) -> list[SendBorrowRequest]:
        now_ms = forecast.now_ms
        if now_ms < self._next_borrow_ms:
            return []
        obtainable_tokens = (
            forecast.available_tokens + forecast.borrowable_tokens
        )
        needed_tokens: float = 0
        for request in self.queue:
            if needed_tokens + request.cost_tokens > obtainable_tokens:
                break
            needed_tokens += request.cost_tokens
        missing_tokens = needed_tokens - forecast.available_tokens
        missing_tokens -= self.borrowing.pending_tokens
        if missing_tokens <= 0:
            return []
        planned = self.borrowing.lenders.choose(
            now_ms, missing_tokens + _BORROW_MARGIN_TOKENS
        )
        return [
            self.borrowing.start_borrow(now_ms, borrow) for borrow in planned
        ]

    def _forecast(self, now_ms: float) -> Forecast:
        supply = self.borrowing.lenders.expected_supply(now_ms)
        return Forecast(
            now_ms=now_ms,
            available_tokens=self.available_tokens,
            borrowable_tokens=self.borrowing.pending_tokens
            + supply.expected_tokens,
            own_tokens_per_s=self.bucket.rate_tokens_per_s,
            peer_tokens_per_s=supply.accrual_tokens_per_s,
            fleet_tokens_per_s=self.spec.rate_tokens_per_s,
            burst_tokens=self.spec.burst_tokens,
            round_trip_ms=self._settings.round_trip_ms,
            next_accrual_ms=supply.next_accrual_ms,
        )

    def _wake_times_ms(self, forecast: Forecast) -> list[float | None]:
        head = self.queue.head
        if head is None:
            return []
        times_ms = [
            head.deadline_ms,
            forecast.own_share_covers_ms(head.cost_tokens),
            self.borrowing.pool.next_expiry_ms,
        ]
        covered_tokens = (
            forecast.available_tokens + self.borrowing.pending_tokens
        )
        if head.cost_tokens > covered_tokens:
            borrow_ms = forecast.next_borrow_ms(head.cost_tokens)
            earliest_ms = forecast.now_ms + _BORROW_INTERVAL_MS
            times_ms.append(borrow_ms and max(borrow_ms, earliest_ms))
        return times_ms

    def _schedule_wake(
        self, now_ms: float, times_ms: list[float | None]
    ) -> None:
        due_ms = [time_ms for time_ms in times_ms if time_ms is not None]
        due_ms.extend(self.borrowing.pending_expiries_ms)
        self.wake_ms = None
        if due_ms:
            self.wake_ms = max(min(due_ms), now_ms + _MIN_WAKE_MS)
