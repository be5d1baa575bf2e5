"""Decides whether a request may be sent, by the crashes of servers."""

import dataclasses
from collections.abc import Iterable

from lagoonflow.crashes.blame import Blame
from lagoonflow.crashes.evidence import (
    CrashEvidence,
    blamed_for_ms,
    remembered_for_ms,
)
from lagoonflow.crashes.fingerprints import without_prompt
from lagoonflow.crashes.trials import TrialTurns


@dataclasses.dataclass(frozen=True, slots=True)
class Sound:
    """Nothing speaks against the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class BlamedPrompt:
    """Parts of the prompt crash servers.

    :param for_ms: time for which the blame lasts at least, in ms.
    """

    blame: Blame
    for_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class BlamedCall:
    """The request crashes servers.

    :param crashes: number of servers that crashed under it.
    :param for_ms: time for which the blame lasts at least, in ms.
    """

    crashes: int
    for_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectedCall:
    """The request may crash servers; it is tried elsewhere, or later.

    :param crashes: number of servers that crashed under it.
    :param wait_ms: time until it may be tried, or judged, in ms.
    """

    crashes: int
    wait_ms: int


Verdict = Sound | BlamedPrompt | BlamedCall | SuspectedCall
SOUND = Sound()


class CrashGuard:
    """Judges requests before they are sent.

    :param evidence: crashes that the fleet has seen.
    :param turns: when this router may try a suspected request.
    """

    def __init__(self, evidence: CrashEvidence, turns: TrialTurns) -> None:
        """Judge by what is known at the time."""
        self._evidence = evidence
        self._turns = turns

    def judge(
        self, part_ids: Iterable[str], fingerprint: str, wall_ms: int
    ) -> Verdict:
        """Return whether a request may be sent now.

        :param part_ids: parts of its prompt.
        """
        blame = self._evidence.find_blame(part_ids)
        if blame is not None:
            return BlamedPrompt(blame, blamed_for_ms(blame, wall_ms))
        suspicion = self._evidence.suspicion(fingerprint)
        if suspicion is None:
            return SOUND
        crashes = len(suspicion.crash_ids)
        if suspicion.is_blamed:
            for_ms = remembered_for_ms(suspicion.first_crash_ms, wall_ms)
            return BlamedCall(crashes, for_ms)
        wait_ms = self._turns.wait_ms(suspicion, wall_ms)
        return SuspectedCall(crashes, wait_ms) if wait_ms else SOUND

    def begin_send(self, fingerprint: str, wall_ms: int) -> bool:
        """Record that a request is sent; return whether it is a trial."""
        suspicion = self._evidence.suspicion(fingerprint)
        if suspicion is None:
            return False
        self._turns.take(suspicion.fingerprint, wall_ms)
        return True

    def end_trial(self, fingerprint: str) -> None:
        """Record that a trial was answered, or that the server rejected it."""
        self._turns.give_back(fingerprint)
        self._turns.give_back(without_prompt(fingerprint))
