"""Decides which router removes the registrations of processes that are gone.

Answers registrations that pile up: a process that is killed can't remove its
own, and limits would be divided among all that were ever registered.
"""

from collections.abc import Collection, Iterator

import xxhash

from lagoonflow.gossip.members import RECLAIM_MS, SILENCE_TIMEOUT_MS, Members

# The next router removes a registration if the one before hasn't within this
# time, in ms: the store may refuse it while it hears from the others.
TURN_MS = 5000
# A running process that can't be heard registers again after each removal, so
# the time until the next one doubles up to this many times.
MAX_DOUBLINGS = 10
# After a longer pause between two checks, in ms, this process has not listened
# meanwhile, and silence proves nothing.
MAX_CHECK_PAUSE_MS = 5000


class RemovalTurns:
    """Finds the registrations that this router is to remove now.

    :param own_name: name of this router.
    :param routers: the routers, which take turns.
    """

    def __init__(self, own_name: str, routers: Members) -> None:
        """Start without having listened."""
        self._own_name = own_name
        self._routers = routers
        self._checked_at_ms = float('-inf')
        self._listening_since_ms = float('inf')

    def due(
        self, members: Members, now_ms: float, least_silence_ms: float = 0
    ) -> Iterator[str]:
        """Return the names whose registrations this router is to remove.

        :param members: the registered processes of one role.
        :param least_silence_ms: least silence that proves that one is gone.
        """
        if now_ms - self._checked_at_ms > MAX_CHECK_PAUSE_MS:
            self._listening_since_ms = now_ms
        self._checked_at_ms = now_ms
        silence_ms = RECLAIM_MS
        if self._routers.hears_majority(now_ms):
            silence_ms = SILENCE_TIMEOUT_MS
        others = self._routers.heard(now_ms)
        for silent in members.silences(now_ms):
            doublings = min(silent.vain_removals, MAX_DOUBLINGS)
            needed_ms = max(silence_ms, least_silence_ms) * 2**doublings
            needed_ms += TURN_MS * self._rank(silent.name, others)
            listened_ms = now_ms - self._listening_since_ms
            if min(silent.silent_ms, listened_ms) >= needed_ms:
                yield silent.name

    def _rank(self, gone: str, others: Collection[str]) -> int:
        """Return how many of the others remove a registration before."""
        own = _weight(self._own_name, gone)
        return sum(_weight(other, gone) < own for other in others)


def _weight(router: str, gone: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f'{gone}\0{router}'.encode()), router
