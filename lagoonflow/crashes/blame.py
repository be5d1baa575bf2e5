"""Decides which prompt parts are to blame for crashes of servers."""

import dataclasses
from collections.abc import Iterable

from lagoonflow.crashes.calls import CallSuspicion
from lagoonflow.gossip.messages import CrashEntry

# Crashes after which a part is blamed, if no request with it was ever answered.
MIN_CRASHES = 3
# The same for a part on which requests have been answered before.
MIN_CRASHES_OF_PROVEN_PART = 6
# A part is blamed only if it explains this share of the crashes since its
# first one; otherwise servers also crash without it.
MIN_SHARE = 0.4
# After so many crashes a part on which no request was ever answered is blamed
# even if most servers crash without it.
MIN_CRASHES_BESIDE_OTHERS = 4
# Servers that crash within this time, in ms, may crash for one reason.
TOGETHER_MS = 250


@dataclasses.dataclass(frozen=True, slots=True)
class Blame:
    """Prompt parts that crash servers when a request has all of them.

    Parts that occurred together in each of their crashes can't be told apart.

    :param crashed_at_ms: wall clock of the crashes that prove it, in order.
    :param crash_ids: all crashes that the parts may have caused, by instance
        and start of the server.
    """

    parts: frozenset[str]
    crashed_at_ms: tuple[int, ...]
    crash_ids: frozenset[tuple[str, int]] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class _Suspicion:
    """A part and the crashes that it may have caused.

    :param crash_ids: all of them, by instance and start of the server.
    :param at_ms: wall clock of those whose request was sent after the one
        before; only these count.
    :param explained: their number, each multiplied by the share of the servers
        that crashed at the time and had a request with the part.
    :param share: the same, relative to all occasions since the first crash.
    :param contrasted: number of crashes after which requests with other
        suspected parts were answered, though none with this one.
    """

    part: str
    crash_ids: frozenset[tuple[str, int]]
    at_ms: tuple[int, ...]
    explained: float
    share: float
    contrasted: int

    @property
    def rank(self) -> tuple[float, int, str]:
        """Sort key; the most suspicious part has the highest."""
        return self.explained, len(self.crash_ids), self.part

    def is_guilty(self, *, is_proven: bool) -> bool:
        """Return whether the crashes suffice to blame the part.

        :param is_proven: requests with the part had been answered before.
        """
        explains_most = self.share >= MIN_SHARE
        if is_proven:
            has_contrast = 2 * self.contrasted >= len(self.crash_ids)
            is_frequent = self.explained >= MIN_CRASHES_OF_PROVEN_PART
            return is_frequent and explains_most and has_contrast
        if self.explained >= MIN_CRASHES_BESIDE_OTHERS:
            return True
        return self.explained >= MIN_CRASHES and explains_most


def find_blame(
    crashes: Iterable[CrashEntry], calls: Iterable[CallSuspicion] = ()
) -> tuple[Blame, ...]:
    """Return the parts that are to blame for crashes.

    The most suspicious part comes first. Crashes that it explains don't count
    against the parts that were in flight beside it.

    :param calls: suspected requests. A part that crashed servers only together
        with one of them isn't blamed: others that have it may be sound.
    """
    unexplained = sorted(
        (crash for crash in crashes if crash.suspect_ages_ms),
        key=lambda crash: crash.at_ms,
    )
    proven = {part for crash in unexplained for part in crash.proven}
    blames: list[Blame] = []
    for is_proven in (False, True):
        while True:
            suspicions = _find_suspicions(unexplained)
            guilty = [
                suspicion
                for suspicion in suspicions
                if (suspicion.part in proven) == is_proven
                and suspicion.is_guilty(is_proven=is_proven)
            ]
            if not guilty:
                break
            worst = max(guilty, key=lambda suspicion: suspicion.rank)
            inseparable = frozenset(
                suspicion.part
                for suspicion in suspicions
                if suspicion.crash_ids == worst.crash_ids
            )
            blames.append(Blame(inseparable, worst.at_ms, worst.crash_ids))
            unexplained = [
                crash
                for crash in unexplained
                if crash.crash_id not in worst.crash_ids
            ]
    return _without_those_of_calls(blames, tuple(calls))


def _without_those_of_calls(
    blames: list[Blame], calls: tuple[CallSuspicion, ...]
) -> tuple[Blame, ...]:
    return tuple(
        blame
        for blame in blames
        if not any(blame.crash_ids <= call.crash_ids for call in calls)
    )


def _find_suspicions(crashes: list[CrashEntry]) -> list[_Suspicion]:
    """Return the parts that occur in enough crashes to be blamed."""
    crashes_by_part: dict[str, list[CrashEntry]] = {}
    for crash in crashes:
        for suspect in crash.suspects:
            crashes_by_part.setdefault(suspect, []).append(crash)
    return [
        _suspect(part, under_it, crashes)
        for part, under_it in crashes_by_part.items()
        if len(under_it) >= MIN_CRASHES
    ]


def _suspect(
    part: str, under_it: list[CrashEntry], crashes: list[CrashEntry]
) -> _Suspicion:
    independent = _independent_crashes(part, under_it)
    explained = sum(
        _count_together(crash, under_it) / _count_together(crash, crashes)
        for crash in independent
    )
    others = _count_occasions_without(under_it, crashes)
    return _Suspicion(
        part,
        frozenset(crash.crash_id for crash in under_it),
        tuple(crash.at_ms for crash in independent),
        explained,
        explained / (explained + others),
        sum(bool(crash.cleared) for crash in under_it),
    )


def _independent_crashes(
    part: str, under_it: list[CrashEntry]
) -> list[CrashEntry]:
    """Return the crashes whose request was sent after the one before.

    Times are in whole ms, so a caller that goes on at once sends its next
    request in the ms of the crash.
    """
    independent: list[CrashEntry] = []
    for crash in under_it:
        sent_at_ms = crash.at_ms - crash.suspect_ages_ms[part]
        if not independent or sent_at_ms >= independent[-1].at_ms:
            independent.append(crash)
    return independent


def _count_together(crash: CrashEntry, crashes: list[CrashEntry]) -> int:
    """Count the crashes that may have the same cause as one of them."""
    return sum(abs(one.at_ms - crash.at_ms) < TOGETHER_MS for one in crashes)


def _count_occasions_without(
    under_it: list[CrashEntry], crashes: list[CrashEntry]
) -> int:
    """Count the times since the first crash when servers crashed without it."""
    occasions = 0
    occasion_ms = float('-inf')
    for crash in crashes:
        since_ms = crash.at_ms - max(under_it[0].at_ms, occasion_ms)
        if since_ms < TOGETHER_MS or _count_together(crash, under_it):
            continue
        occasions += 1
        occasion_ms = crash.at_ms
    return occasions
