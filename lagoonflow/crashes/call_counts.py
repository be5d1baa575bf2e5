"""Counts the crashes that requests have in common, as entries change."""

import collections
from collections.abc import Set

from lagoonflow.crashes.fingerprints import without_prompt
from lagoonflow.gossip.messages import CrashEntry


class CallCounts:
    """Counts crashes by fingerprint, with and without that of the prompt.

    Most requests occur in one crash. Only the others are looked at again.
    """

    def __init__(self) -> None:
        """Start without crashes."""
        self._counts: collections.Counter[str] = collections.Counter()
        self._repeated: set[str] = set()
        self._uncleared: set[str] = set()

    def replace(
        self, known: CrashEntry | None, changed: CrashEntry | None
    ) -> None:
        """Count an entry in place of what was known of it.

        :param known: the entry before; ``None`` for a new one.
        :param changed: the entry now; ``None`` when it is forgotten.
        """
        before = set() if known is None else call_names(known)
        after = set() if changed is None else call_names(changed)
        for name in before - after:
            self._remove(name)
        self._counts.update(after - before)
        repeated = {one for one in after if self._counts[one] > 1}
        self._repeated |= repeated
        if changed is not None:
            self._uncleared |= repeated.difference(changed.cleared)

    def repeated(self) -> Set[str]:
        """Return the requests that occur in several crashes."""
        return self._repeated

    def take_uncleared(self, fingerprint: str) -> set[str]:
        """Return the names of an answered request that are to be cleared."""
        names = {fingerprint, without_prompt(fingerprint)} & self._uncleared
        self._uncleared -= names
        return names

    def _remove(self, name: str) -> None:
        self._counts[name] -= 1
        if self._counts[name] < 2:
            self._repeated.discard(name)
            self._uncleared.discard(name)
        if not self._counts[name]:
            self._counts.pop(name)


def call_names(crash: CrashEntry) -> set[str]:
    """Return the fingerprints of a crash's requests, also without prompt."""
    return {*crash.call_ages_ms, *map(without_prompt, crash.call_ages_ms)}
