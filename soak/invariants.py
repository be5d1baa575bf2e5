"""Checks the invariants that must hold under all faults."""

import collections
import threading

from loopback.platform_fleet import KEY, OTHER_KEY, Host, PlatformFleet
from soak.callers import EVENTS_PER_STREAM, Outcome

# Kinds of requests that must run at most once.
AT_MOST_ONCE_KINDS = frozenset(('book', 'draft'))
# Statuses which state that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Time after which requests with a withdrawn key must not run, in s.
WITHDRAWAL_LIMIT_S = 5
# Log line of a router that closes a connection with a request on it.
UNANSWERED = 'connection closed without an answer'


class InvariantChecker:
    """Compares what callers received with what backend servers ran.

    A server loses its counters when it is killed, so they are collected before.

    :ivar violations: violated invariants, each with a detail.
    """

    def __init__(self, fleet: PlatformFleet) -> None:
        """Check the backend servers of a fleet."""
        self.violations: list[str] = []
        self._fleet = fleet
        self._lock = threading.Lock()
        self._runs_by_server: dict[str, dict[str, int]] = {}

    def add_violation(self, invariant: str, detail: str) -> None:
        """Record the violation of an invariant."""
        with self._lock:
            self.violations.append(f'{invariant}: {detail}')

    def collect(self, hosts: list[Host]) -> None:
        """Read the counters of backend servers and check them."""
        for host in hosts:
            try:
                counts = self._fleet.counts(host)
            except OSError:
                if host.runner.is_running:
                    raise
                # A runner that has crashed has lost its counters.
                continue
            self._runs_by_server[counts['instance']] = counts['ran']
            if counts['overcommitted']:
                self.add_violation('memory is overcommitted', host.ip)
            if len(counts['holders']) > 1:
                self.add_violation('several holders', f'{counts["holders"]}')
            for seen in counts['headers_seen']:
                if KEY in seen['value'] or OTHER_KEY in seen['value']:
                    self.add_violation('a server saw a key', host.ip)

    def check(
        self, outcomes: list[Outcome], withdrawn_at_s: float | None
    ) -> None:
        """Check the outcomes of all requests against the counted runs.

        :param withdrawn_at_s: monotonic time, in seconds, at which OTHER_KEY was
            withdrawn; None when it was not.
        """
        ran: collections.Counter[str] = collections.Counter()
        for runs in self._runs_by_server.values():
            ran.update(runs)
        unanswered = self._fleet.router_logs().count(UNANSWERED)
        if unanswered:
            self.add_violation(
                'routers closed connections without an answer', str(unanswered)
            )
        for outcome in outcomes:
            self._check_outcome(
                outcome, ran[outcome.request_id], withdrawn_at_s
            )

    def _check_outcome(
        self, outcome: Outcome, runs: int, withdrawn_at_s: float | None
    ) -> None:
        name = f'{outcome.request_id} ({outcome.kind}, {outcome.status})'
        if outcome.kind in AT_MOST_ONCE_KINDS:
            if runs > 1:
                self.add_violation('ran more than once', name)
            if outcome.status in NOT_RUN_STATUSES and runs:
                self.add_violation('a refusal was not true', name)
        versions = {
            line.rpartition(b' ')[2]
            for line in outcome.whole_events.splitlines()
            if line.startswith(b'data: piece')
        }
        if len(versions) > 1:
            self.add_violation('two versions in a stream', name)
        if outcome.status == 200 and outcome.is_complete:
            self._check_success(outcome, name)
        if withdrawn_at_s is None or outcome.key != OTHER_KEY:
            return
        is_late = outcome.sent_at_s > withdrawn_at_s + WITHDRAWAL_LIMIT_S
        if is_late and runs:
            self.add_violation('a withdrawn key worked', name)

    def _check_success(self, outcome: Outcome, name: str) -> None:
        if not outcome.is_sealed:
            self.add_violation('an answer without its seal', name)
        if outcome.kind in {'read', 'book'}:
            if outcome.body != outcome.sent_body.encode():
                self.add_violation('an answer of another request', name)
            return
        numbers = [
            int(line.removeprefix(b'id: '))
            for line in outcome.body.splitlines()
            if line.startswith(b'id: ')
        ]
        if numbers != list(range(1, EVENTS_PER_STREAM + 1)):
            self.add_violation('a stream is not whole', f'{name} {numbers}')
