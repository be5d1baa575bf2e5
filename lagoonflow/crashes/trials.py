"""Which router may try a request that is suspected of crashing servers."""

from collections.abc import Callable, Iterable

import xxhash

from lagoonflow.crashes.calls import TRIAL_DELAY_MS, CallSuspicion

# For this long one router may try a suspected request, in ms; then another.
TURN_MS = 5000


class TrialTurns:
    """Lets one router at a time send a suspected request, once in its turn.

    A request that is answered may be sent again in the same turn. Routers
    choose by the time of day, and agree while they know the same routers.

    :param own_name: name of this router.
    :param other_names: names of the other routers that are running.
    :param started_ms: wall clock of the router's start.
    """

    def __init__(
        self,
        own_name: str,
        other_names: Callable[[], Iterable[str]],
        started_ms: int,
    ) -> None:
        """Start without trials."""
        self._started_ms = started_ms
        self._own_name = own_name
        self._other_names = other_names
        self._taken: dict[str, int] = {}

    def wait_ms(self, suspicion: CallSuspicion, wall_ms: int) -> int:
        """Return when the request may be tried next, in ms; 0 for now."""
        cooled_ms = suspicion.last_crash_ms + TRIAL_DELAY_MS
        if wall_ms < cooled_ms:
            return cooled_ms - wall_ms
        turn = wall_ms // TURN_MS
        is_chosen = self._chosen(suspicion.fingerprint, turn) == self._own_name
        if is_chosen and not self._is_taken(suspicion, turn):
            return 0
        return TRIAL_DELAY_MS

    def take(self, fingerprint: str, wall_ms: int) -> None:
        """Record that the request is tried now."""
        turn = wall_ms // TURN_MS
        self._taken = {
            known: taken
            for known, taken in self._taken.items()
            if taken == turn
        }
        self._taken[fingerprint] = turn

    def give_back(self, fingerprint: str) -> None:
        """Record that the trial was answered, or did not run."""
        self._taken.pop(fingerprint, None)

    def _is_taken(self, suspicion: CallSuspicion, turn: int) -> bool:
        # Before a restart, this router may have used the turn already.
        has_earlier_start = suspicion.last_crash_ms < self._started_ms
        if has_earlier_start and self._started_ms // TURN_MS == turn:
            return True
        return self._taken.get(suspicion.fingerprint) == turn

    def _chosen(self, fingerprint: str, turn: int) -> str:
        names = (self._own_name, *self._other_names())
        return max(names, key=lambda name: _weight(name, fingerprint, turn))


def _weight(name: str, fingerprint: str, turn: int) -> tuple[int, str]:
    digest = xxhash.xxh3_64_intdigest(f'{name} {fingerprint} {turn}'.encode())
    return digest, name
