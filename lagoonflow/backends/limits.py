"""Limits of requests per second that backend servers have named."""

import dataclasses
from collections.abc import Iterable

import structlog

from lagoonflow.clock import MS_PER_S
from lagoonflow.waking.copies import rendezvous_weight

# A server that names a lower limit still gets this many requests per second,
# as its answers tell when the limit is lifted.
MIN_LIMIT_PER_S = 0.2
# A limited server is used by at most this many routers, and this many more for
# each request per second: all may send their next request at the same moment.
BASE_ROUTERS = 4
ROUTERS_PER_LIMIT = 2
# Higher limits are as good as this one for choosing the routers.
MAX_LIMIT_PER_S = 1000
# What this router has heard is repeated to the others at this interval, in ms.
REPEAT_INTERVAL_MS = 500
# The end of a limit is repeated for this long, in ms.
REPEAT_LIFTED_MS = 5000
# A router that doesn't use a limited server hears of it at least this often, in
# ms, while others use it; otherwise it tries the server itself.
MAX_STATEMENT_AGE_MS = 15_000
# Statements remembered at most; the oldest are forgotten first.
MAX_STATEMENTS = 2048


@dataclasses.dataclass(frozen=True, slots=True)
class LimitStatement:
    """What a server has said about its limit, by an answer.

    :param limit_per_s: requests per second that it takes from all routers
        together; ``None`` for no limit.
    :param stated_at_ms: boot time of the statement.
    """

    instance: str
    started_ms: int
    limit_per_s: float | None
    stated_at_ms: float


@dataclasses.dataclass(slots=True)
class _Allowance:
    """Times at which this router may send requests to a limited server.

    :param next_at_ms: boot time of the next request that isn't booked.
    :param is_user: whether this router uses the server while it is limited.
    :ivar booked_ms: booked times of waiting calls.
    :ivar promised_at_ms: latest time at which a refused caller was told to
        return.
    """

    interval_ms: float
    next_at_ms: float
    is_user: bool
    booked_ms: dict[int, float] = dataclasses.field(default_factory=dict)
    promised_at_ms: float = float('-inf')

    def turn_ms(self, call_id: int, now_ms: float) -> float:
        """Return when a call may be sent, as boot time in ms."""
        if not self.is_user:
            return float('inf')
        return self.booked_ms.get(call_id, max(self.next_at_ms, now_ms))

    def book(self, call_id: int, now_ms: float) -> None:
        """Reserve the next time for a call, unless it has one."""
        if call_id not in self.booked_ms:
            turn_ms = max(self.next_at_ms, now_ms)
            self.booked_ms[call_id] = turn_ms
            self.next_at_ms = turn_ms + self.interval_ms

    def release(self, call_id: int) -> None:
        """Give up the time of a call; the calls after it move up."""
        given_up_ms = self.booked_ms.pop(call_id, None)
        if given_up_ms is None:
            return
        for waiting, turn_ms in self.booked_ms.items():
            if turn_ms > given_up_ms:
                self.booked_ms[waiting] = turn_ms - self.interval_ms
        self.next_at_ms -= self.interval_ms

    def promise_return(self, now_ms: float) -> float:
        """Return the time in ms after which a refused caller should return."""
        self.promised_at_ms = max(
            self.next_at_ms, now_ms, self.promised_at_ms + self.interval_ms
        )
        return self.promised_at_ms - now_ms


class RequestLimits:
    """Shares the limits of servers among the routers, and keeps this one's.

    Each limited server is used by a few routers, chosen by rendezvous hashing.
    Each of them sends at even intervals, so that no requests accumulate.
    """

    def __init__(self) -> None:
        """Start without limits, as the only router."""
        self._log = structlog.get_logger(part='servers')
        self._own_name = ''
        self._routers: frozenset[str] = frozenset(('',))
        self._statements: dict[str, LimitStatement] = {}
        self._allowances: dict[str, _Allowance] = {}
        self._unsent: dict[str, bool] = {}
        self._lifted_at_ms: dict[str, float] = {}
        self._sent_at_ms = float('-inf')

    def update_routers(self, own_name: str, others: Iterable[str]) -> None:
        """Set the routers that share the limits."""
        routers = frozenset((own_name, *others))
        if routers == self._routers:
            return
        self._own_name = own_name
        self._routers = routers
        for instance, allowance in self._allowances.items():
            self._set_share(allowance, self._statements[instance])

    def hear(self, statement: LimitStatement) -> None:
        """Record what a server told this router itself."""
        known = self._statements.get(statement.instance)
        if known is None and statement.limit_per_s is None:
            return
        if self.learn(statement) and self._is_worth_sending(statement):
            is_change = known is None or (
                known.limit_per_s != statement.limit_per_s
            )
            is_unsent = self._unsent.get(statement.instance, False)
            self._unsent[statement.instance] = is_unsent or is_change

    def learn(self, statement: LimitStatement) -> bool:
        """Record a statement unless a newer one is known; tell whether."""
        instance = statement.instance
        known = self._statements.get(instance)
        if known is not None and statement.stated_at_ms <= known.stated_at_ms:
            return False
        self._statements.pop(instance, None)
        self._statements[instance] = statement
        while len(self._statements) > MAX_STATEMENTS:
            self.forget([next(iter(self._statements))])
        limit_before = None if known is None else known.limit_per_s
        if statement.limit_per_s != limit_before:
            self._apply(statement)
        return True

    def forget(self, instances: list[str]) -> None:
        """Drop the limits of servers that were removed."""
        for instance in instances:
            for table in (
                self._statements,
                self._allowances,
                self._unsent,
                self._lifted_at_ms,
            ):
                table.pop(instance, None)

    def take_due(self, now_ms: float) -> list[LimitStatement]:
        """Return the statements to send to the other routers now."""
        is_repeat_due = now_ms - self._sent_at_ms >= REPEAT_INTERVAL_MS
        if not any(self._unsent.values()) and not (
            self._unsent and is_repeat_due
        ):
            return []
        self._sent_at_ms = now_ms
        due = [self._statements[instance] for instance in self._unsent]
        self._unsent.clear()
        return due

    def wait_ms(
        self, instance: str, started_ms: int, call_id: int, now_ms: float
    ) -> float:
        """Return the time until a call may be sent to a server, in ms.

        It is infinite at routers that don't use the server while it is limited.
        """
        allowance = self._find(instance, started_ms, now_ms)
        if allowance is None:
            return 0
        return max(allowance.turn_ms(call_id, now_ms) - now_ms, 0)

    def book(self, instance: str, call_id: int, now_ms: float) -> None:
        """Reserve the next time at a limited server for a waiting call."""
        self.release(call_id, except_instance=instance)
        allowance = self._allowances.get(instance)
        if allowance is not None:
            allowance.book(call_id, now_ms)

    def take(self, instance: str, call_id: int, now_ms: float) -> None:
        """Use the time of a call that is sent to a server now."""
        self.release(call_id, except_instance=instance)
        allowance = self._allowances.get(instance)
        if allowance is not None:
            allowance.book(call_id, now_ms)
            allowance.booked_ms.pop(call_id)

    def release(self, call_id: int, *, except_instance: str = '') -> None:
        """Give up what a call has reserved at servers."""
        for instance, allowance in self._allowances.items():
            if instance != except_instance:
                allowance.release(call_id)

    def promise_return(self, instance: str, now_ms: float) -> float:
        """Return the time after which a refused caller should return, in ms."""
        allowance = self._allowances.get(instance)
        return 0 if allowance is None else allowance.promise_return(now_ms)

    def _find(
        self, instance: str, started_ms: int, now_ms: float
    ) -> _Allowance | None:
        statement = self._statements.get(instance)
        if statement is None or statement.started_ms != started_ms:
            return None
        allowance = self._allowances.get(instance)
        if allowance is None or allowance.is_user:
            return allowance
        # The end of the limit may have been missed.
        is_outdated = now_ms - statement.stated_at_ms > MAX_STATEMENT_AGE_MS
        return None if is_outdated else allowance

    def _is_worth_sending(self, statement: LimitStatement) -> bool:
        if statement.limit_per_s is not None:
            return True
        lifted_at_ms = self._lifted_at_ms.get(statement.instance, float('-inf'))
        return statement.stated_at_ms - lifted_at_ms < REPEAT_LIFTED_MS

    def _apply(self, statement: LimitStatement) -> None:
        instance = statement.instance
        limit_per_s = statement.limit_per_s
        if limit_per_s is None:
            self._allowances.pop(instance, None)
            self._lifted_at_ms[instance] = statement.stated_at_ms
            self._log.info('server lifted its limit', server=instance)
            return
        self._log.info(
            'server named a limit', server=instance, limit_per_s=limit_per_s
        )
        allowance = self._allowances.get(instance)
        if allowance is None:
            allowance = _Allowance(0, 0, is_user=True)
            self._allowances[instance] = allowance
            self._set_share(allowance, statement)
            # The routers that use a server begin one after the other.
            users = self._users(statement)
            place = users.index(self._own_name) if allowance.is_user else 0
            offset_ms = allowance.interval_ms * (place + 1) / len(users)
            allowance.next_at_ms = statement.stated_at_ms + offset_ms
        self._set_share(allowance, statement)

    def _set_share(
        self, allowance: _Allowance, statement: LimitStatement
    ) -> None:
        users = self._users(statement)
        share_per_s = max(statement.limit_per_s, MIN_LIMIT_PER_S) / len(users)
        allowance.interval_ms = MS_PER_S / share_per_s
        allowance.is_user = self._own_name in users

    def _users(self, statement: LimitStatement) -> list[str]:
        """Return the routers that use a limited server."""
        ranking = sorted(
            self._routers, key=rendezvous_weight(statement.instance)
        )
        extra = int(
            min(statement.limit_per_s, MAX_LIMIT_PER_S) * ROUTERS_PER_LIMIT
        )
        return ranking[: BASE_ROUTERS + extra]
