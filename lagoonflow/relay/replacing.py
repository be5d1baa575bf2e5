"""Reservation of the servers that replace silent ones."""

import dataclasses

from lagoonflow.backends.choosing import Send
from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.messages import BackendServer
from lagoonflow.clock import boottime_ms
from lagoonflow.relay.admission import AdmittedCall
from lagoonflow.relay.attempts import Attempts
from lagoonflow.relay.call_log import CallRecord
from lagoonflow.relay.placing import Placer, RequestedLoad
from lagoonflow.relay.pools import ServerPools
from lagoonflow.relay.replacement import (
    NotAtHand,
    ReplacementSearch,
    Silence,
)
from lagoonflow.relay.streaming import Progress
from lagoonflow.retries.budget import RetryBudgets

# A connection to the replacement is probably open after this time.
OPENING_RECHECK_MS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class RunningSend:
    """A call and the server that it has been sent to.

    :param progress: what the caller has received so far.
    """

    record: CallRecord
    admitted: AdmittedCall
    attempts: Attempts
    progress: Progress
    server: BackendServer

    def note_silence(self, silence: Silence) -> None:
        """Record a silence of the server for the call's log line."""
        self.record.note_silence(self.server.instance, silence, boottime_ms())

    def attempts_without(self, excluded: set[str]) -> Attempts:
        """Return the attempts as they are if the server is left now.

        :param excluded: other servers that are not tried.
        """
        attempts = self.attempts
        return dataclasses.replace(
            attempts,
            excluded=attempts.excluded | excluded | {self.server.instance},
            rejecting=set(attempts.rejecting),
            has_answer_begun=self.progress.reply.has_started,
            software_version=(
                self.progress.software_version or attempts.software_version
            ),
        )


class _SidePlacement:
    """Places a call at another server while its present one is silent."""

    def __init__(
        self,
        fleet: Fleet,
        placer: Placer,
        pools: ServerPools,
        sent: RunningSend,
    ) -> None:
        self._fleet = fleet
        self._placer = placer
        self._pools = pools
        self._sent = sent
        self._requested = RequestedLoad()
        self._excluded: set[str] = set()

    def take(self) -> Send | NotAtHand:
        """Reserve a server that is connected and can take the call at once."""
        attempts = self._sent.attempts_without(self._excluded)
        found = self._placer.place_now(
            self._sent.record,
            self._sent.admitted,
            attempts,
            self._requested,
            self._check,
        )
        # Runners that did not plan a requested load are excluded.
        self._excluded = attempts.excluded
        return found

    def release(self) -> None:
        """Stop asking for a load of the call's model."""
        self._requested = RequestedLoad()
        self._placer.load_requests.remove(self._sent.admitted)

    def _check(self, send: Send) -> NotAtHand | None:
        instance = send.server.instance
        if self._fleet.liveness.is_silent(instance, boottime_ms()):
            return NotAtHand(f'{instance} is silent')
        request_id = self._sent.admitted.call.request_id
        if self._pools.prepare(send.server, request_id):
            return None
        return NotAtHand(f'{instance} is not connected', OPENING_RECHECK_MS)


class Replacements:
    """Looks for the replacements of servers that fall silent."""

    def __init__(
        self,
        fleet: Fleet,
        placer: Placer,
        pools: ServerPools,
        budgets: RetryBudgets,
    ) -> None:
        """Use the given parts."""
        self._fleet = fleet
        self._placer = placer
        self._pools = pools
        self._budgets = budgets

    def search(self, sent: RunningSend) -> ReplacementSearch:
        """Return a search for the replacement of one send's server."""
        route = sent.admitted.route
        return ReplacementSearch(
            sent.attempts,
            route.most_sends if route.is_repeatable else 0,
            self._budgets.budget_for(sent.admitted.service.name),
            _SidePlacement(self._fleet, self._placer, self._pools, sent),
            sent.note_silence,
            boottime_ms,
        )

    def release_unused(
        self, admitted: AdmittedCall, attempts: Attempts
    ) -> None:
        """Give up what is reserved or requested for a call that has ended."""
        self._placer.load_requests.remove(admitted)
        attempts.close_openings()
        replacement = attempts.take_replacement()
        if replacement is None:
            return
        self._budgets.budget_for(admitted.service.name).give_back()
        self._fleet.held_bytes.release(
            replacement.server.instance, id(admitted.call), boottime_ms()
        )
