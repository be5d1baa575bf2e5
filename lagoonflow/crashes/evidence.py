"""Crashes of servers under requests, as all routers have reported them."""

import collections
from collections.abc import Container, Iterable

import msgspec

from lagoonflow.crashes.announcements import Announcements
from lagoonflow.crashes.blame import MIN_CRASHES, Blame, find_blame
from lagoonflow.crashes.call_counts import CallCounts, call_names
from lagoonflow.crashes.calls import (
    CallSuspicion,
    suspect_calls,
    suspect_whatever_prompt,
)
from lagoonflow.crashes.fingerprints import without_prompt
from lagoonflow.gossip.messages import CrashEntry, join_ages

# A crash is remembered for this long; then its parts are given another try.
MEMORY_MS = 300_000
# For this long, all requests of a crash are saved, in ms, as another router may
# see the next one under the same request.
SAVED_WHOLE_MS = 10_000
# Crashes remembered at most; the oldest are forgotten first.
MAX_CRASHES = 64
# Parts whose requests were answered, remembered at most.
MAX_ANSWERED_PARTS = 8192
# The same for whole requests.
MAX_ANSWERED_CALLS = 8192
# Whole requests that are suspected of one crash at most. The newest are kept,
# so that the crashes fit into a record of the metadata store.
MAX_CALLS_PER_CRASH = 96


class CrashEvidence:
    """Remembers crashes, and prompt parts and requests that may cause them.

    Entries only gain suspects and cleared ones, so routers that have received
    the same entries agree, in whatever order they came.

    :ivar has_unsaved: whether this router has seen crashes that are not in the
        metadata store yet.
    """

    def __init__(self) -> None:
        """Start without crashes."""
        self.has_unsaved = False
        self._crashes: dict[tuple[str, int], CrashEntry] = {}
        self._answered: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._answered_calls: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._call_counts = CallCounts()
        self._suspects: frozenset[str] = frozenset()
        self._blames: tuple[Blame, ...] = ()
        self._suspicions: dict[str, CallSuspicion] = {}
        # Whether the three above lag behind the crashes.
        self._is_stale = False
        self._announcements = Announcements()

    def report(self, crash: CrashEntry, wall_ms: int) -> None:
        """Add a crash that this router has seen itself."""
        if self._merge(
            _with_proven(crash, self._answered, self._answered_calls), wall_ms
        ):
            self.has_unsaved = True
            self._announcements.add(crash.crash_id)

    def learn(self, crash: CrashEntry, wall_ms: int) -> bool:
        """Add what another router has reported; return whether it is new.

        The others learn of suspected parts that only this router has seen
        answered.
        """
        is_new = self._merge(
            _with_proven(crash, self._answered, self._answered_calls), wall_ms
        )
        known = self._crashes.get(crash.crash_id, crash)
        if is_new and len(known.proven) > len(crash.proven):
            self._announcements.add(crash.crash_id)
        return is_new

    def note_answer(self, parts: Iterable[str]) -> None:
        """Record that a server went on answering a request with these parts.

        A crashing part crashes every server, so these parts have not caused
        the crashes that are known so far.
        """
        answered = frozenset(parts)
        for part in answered:
            _remember(self._answered, part, MAX_ANSWERED_PARTS)
        self._refresh()
        if answered.isdisjoint(self._suspects):
            return
        for crash in list(self._crashes.values()):
            self._clear(crash, answered.intersection(crash.suspects))

    def note_call_answered(self, fingerprint: str) -> None:
        """Record that a server has survived a whole answer to a request."""
        names = {fingerprint, without_prompt(fingerprint)}
        for name in names:
            _remember(self._answered_calls, name, MAX_ANSWERED_CALLS)
        # A request of a single crash isn't suspected; the others need not hear.
        innocent = self._call_counts.take_uncleared(fingerprint)
        if innocent:
            for crash in list(self._crashes.values()):
                self._clear(crash, innocent & call_names(crash))

    def find_blame(self, parts: Iterable[str]) -> Blame | None:
        """Return why requests with these parts must not be sent, if so."""
        blames = self.blames()
        if not blames:
            return None
        given = frozenset(parts)
        for blame in blames:
            if blame.parts <= given:
                return blame
        return None

    def blames(self) -> tuple[Blame, ...]:
        """Return all parts that are to blame for crashes."""
        self._refresh()
        return self._blames

    def suspicion(self, fingerprint: str) -> CallSuspicion | None:
        """Return why a request is suspected, if it is."""
        self._refresh()
        if not self._suspicions:
            return None
        return self._suspicions.get(fingerprint) or self._suspicions.get(
            without_prompt(fingerprint)
        )

    def suspicions(self) -> tuple[CallSuspicion, ...]:
        """Return all requests that are suspected."""
        self._refresh()
        return tuple(self._suspicions.values())

    def entries(self) -> tuple[CrashEntry, ...]:
        """Return all crashes that are remembered."""
        return tuple(self._crashes.values())

    def entries_to_save(self, wall_ms: int) -> tuple[CrashEntry, ...]:
        """Return what a router that starts later needs of the crashes.

        Most requests occur in one crash; they are left out soon after it.
        """
        repeated = self._call_counts.repeated()
        return tuple(
            crash
            if wall_ms - crash.at_ms < SAVED_WHOLE_MS
            else _with_calls(crash, repeated)
            for crash in self._crashes.values()
        )

    def drop_expired(self, wall_ms: int) -> None:
        """Forget crashes that are too old or too many."""
        newest = sorted(self._crashes.values(), key=lambda one: one.at_ms)
        kept = {
            crash.crash_id: crash
            for crash in newest[-MAX_CRASHES:]
            if wall_ms - crash.at_ms < MEMORY_MS
        }
        if len(kept) == len(self._crashes):
            return
        for crash_id, crash in self._crashes.items():
            if crash_id not in kept:
                self._call_counts.replace(crash, None)
        self._crashes = kept
        self._is_stale = True

    def take_due(self, now_ms: float) -> tuple[CrashEntry, ...]:
        """Return the entries to send to the other routers now."""
        return self._announcements.take_due(self._crashes, now_ms)

    def _clear(self, crash: CrashEntry, innocent: Iterable[str]) -> None:
        """Clear suspects of a crash, and tell the other routers."""
        cleared = tuple(sorted({*crash.cleared, *innocent}))
        if len(cleared) == len(crash.cleared):
            return
        self._crashes[crash.crash_id] = msgspec.structs.replace(
            crash, cleared=cleared
        )
        self._announcements.add(crash.crash_id)
        self._is_stale = True

    def _merge(self, crash: CrashEntry, wall_ms: int) -> bool:
        if wall_ms - crash.at_ms >= MEMORY_MS:
            return False
        known = self._crashes.get(crash.crash_id)
        if crash == known:
            return False
        joined = _join(known or crash, crash)
        if joined == known:
            return False
        self._call_counts.replace(known, joined)
        self._crashes[crash.crash_id] = joined
        self._is_stale = True
        return True

    def _refresh(self) -> None:
        if not self._is_stale:
            return
        self._is_stale = False
        crashes = self._crashes.values()
        self._suspects = frozenset(
            part for crash in crashes for part in crash.suspects
        )
        names = self._call_counts.repeated()
        suspicions = suspect_calls(crashes, names)
        self._blames = find_blame(crashes, suspicions.values())
        explained = (
            one.crash_ids for one in (*suspicions.values(), *self._blames)
        )
        self._suspicions = suspicions | suspect_whatever_prompt(
            crashes, names, explained
        )


def blamed_for_ms(blame: Blame, wall_ms: int) -> int:
    """Return how long the crashes that prove a blame are remembered, in ms."""
    return remembered_for_ms(blame.crashed_at_ms[-MIN_CRASHES], wall_ms)


def remembered_for_ms(crashed_at_ms: int, wall_ms: int) -> int:
    """Return how long a crash is still remembered, in ms."""
    return max(crashed_at_ms + MEMORY_MS - wall_ms, 0)


def newest_calls(ages_ms: dict[str, int]) -> dict[str, int]:
    """Return the requests sent last, as many as are kept of one crash."""
    if len(ages_ms) <= MAX_CALLS_PER_CRASH:
        return ages_ms
    newest = sorted(ages_ms, key=lambda one: (ages_ms[one], one))
    return {one: ages_ms[one] for one in newest[:MAX_CALLS_PER_CRASH]}


def _with_proven(
    crash: CrashEntry, parts: Container[str], calls: Container[str]
) -> CrashEntry:
    """Add the suspects of which this router has seen answers before."""
    proven = {
        *crash.proven,
        *filter(parts.__contains__, crash.suspect_ages_ms),
        *filter(calls.__contains__, call_names(crash)),
    }
    return msgspec.structs.replace(crash, proven=tuple(sorted(proven)))


def _with_calls(crash: CrashEntry, names: Container[str]) -> CrashEntry:
    """Return an entry without requests other than those named."""
    kept = {
        fingerprint: age_ms
        for fingerprint, age_ms in crash.call_ages_ms.items()
        if fingerprint in names or without_prompt(fingerprint) in names
    }
    trials = tuple(name for name in crash.trials if name in kept)
    return msgspec.structs.replace(crash, call_ages_ms=kept, trials=trials)


def _remember(
    known: collections.OrderedDict[str, None], name: str, most: int
) -> None:
    known[name] = None
    known.move_to_end(name)
    if len(known) > most:
        known.popitem(last=False)


def _join(first: CrashEntry, second: CrashEntry) -> CrashEntry:
    """Combine two reports of the same crash."""
    call_ages_ms = newest_calls(
        join_ages(first.call_ages_ms, second.call_ages_ms)
    )
    trials = {*first.trials, *second.trials}
    return msgspec.structs.replace(
        first,
        at_ms=min(first.at_ms, second.at_ms),
        request_ages_ms=join_ages(
            first.request_ages_ms, second.request_ages_ms
        ),
        waiting_ages_ms=join_ages(
            first.waiting_ages_ms, second.waiting_ages_ms
        ),
        proven=tuple(sorted({*first.proven, *second.proven})),
        cleared=tuple(sorted({*first.cleared, *second.cleared})),
        call_ages_ms=call_ages_ms,
        trials=tuple(sorted(trials.intersection(call_ages_ms))),
    )
