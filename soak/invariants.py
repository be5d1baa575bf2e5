"""The promises that hold whatever happens."""

import collections
import threading

from loopback.platform_fleet import KEY, OTHER_KEY, Host, PlatformFleet
from soak.callers import PIECES, Outcome

# Requests of these kinds run at most once.
ONCE = frozenset(('book', 'draft'))
# These statuses promise that a request has not run and never will.
NOT_RUN = frozenset((408, 421, 429, 503))
# Time after which a withdrawn key must not work, in s.
WITHDRAWAL_S = 5


class Ledger:
    """Collects what backend servers ran, also before they were killed."""

    def __init__(self, fleet: PlatformFleet) -> None:
        """Collect from a fleet."""
        self.broken: list[str] = []
        self._fleet = fleet
        self._lock = threading.Lock()
        self._ran: dict[str, dict[str, int]] = {}

    def break_(self, promise: str, detail: str) -> None:
        """Note a broken promise."""
        with self._lock:
            self.broken.append(f'{promise}: {detail}')

    def collect(self, hosts: list[Host]) -> None:
        """Read the counters of backend servers and check what they show."""
        for host in hosts:
            counts = self._fleet.counts(host)
            self._ran[counts['instance']] = counts['ran']
            if counts['overcommitted']:
                self.break_('memory is overcommitted', host.ip)
            if len(counts['holders']) > 1:
                self.break_('several holders', f'{counts["holders"]}')
            for seen in counts['headers_seen']:
                if KEY in seen['value'] or OTHER_KEY in seen['value']:
                    self.break_('a server saw a key', host.ip)

    def check(
        self, outcomes: list[Outcome], withdrawn_at_s: float | None
    ) -> None:
        """Check all outcomes against what ran."""
        ran: collections.Counter[str] = collections.Counter()
        for runs in self._ran.values():
            ran.update(runs)
        for outcome in outcomes:
            self._check_one(outcome, ran[outcome.request_id], withdrawn_at_s)

    def _check_one(
        self, outcome: Outcome, runs: int, withdrawn_at_s: float | None
    ) -> None:
        name = f'{outcome.request_id} ({outcome.kind}, {outcome.status})'
        if outcome.kind in ONCE:
            if runs > 1:
                self.break_('ran more than once', name)
            if outcome.status in NOT_RUN and runs:
                self.break_('a refusal was not true', name)
        if outcome.status == 200 and outcome.is_whole:
            self._check_success(outcome, name)
        if withdrawn_at_s is None or outcome.key != OTHER_KEY:
            return
        is_late = outcome.sent_at_s > withdrawn_at_s + WITHDRAWAL_S
        if is_late and runs:
            self.break_('a withdrawn key worked', name)

    def _check_success(self, outcome: Outcome, name: str) -> None:
        if not outcome.is_sealed:
            self.break_('an answer without its seal', name)
        if outcome.kind in {'read', 'book'}:
            if outcome.body != outcome.request_id.encode():
                self.break_('an answer of another request', name)
            return
        numbers = [
            int(line.removeprefix(b'id: '))
            for line in outcome.body.splitlines()
            if line.startswith(b'id: ')
        ]
        if numbers != list(range(1, PIECES + 1)):
            self.break_('a stream is not whole', f'{name} {numbers}')
