"""Judges requests by the crashes of servers that were running them."""

import dataclasses
from collections.abc import Callable, Iterable

from lagoonflow.crashes.fingerprints import SEPARATOR, without_prompt
from lagoonflow.gossip.messages import CrashEntry

# Crashes after which a request that was never answered is suspected.
MIN_CRASHES = 3
# The same for a request that had been answered before. Servers that crash
# within the time of a trial may crash for one reason, and count once.
MIN_CRASHES_OF_PROVEN_CALL = 6
# A suspected request is tried no sooner than this after its latest crash, in
# ms, so that servers that are killed in a row don't count against it.
TRIAL_DELAY_MS = 500
# Trials that crash their servers before the request is refused for good.
MAX_FAILED_TRIALS = 2
CrashId = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class _CrashUnderCall:
    """A crash of a server that may have been running a request.

    :param is_proven: the request had been answered before.
    :param is_trial: it was suspected when it was sent to the server.
    """

    crash_id: CrashId
    at_ms: int
    is_proven: bool
    is_trial: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CallSuspicion:
    """A request under which several servers crashed and none answered.

    :param fingerprint: that of the request; without that of its prompt if it is
        suspected whatever its prompt.
    :param crash_ids: those crashes, by instance and start of the server.
    :param first_crash_ms: wall clock of the earliest of them.
    :param last_crash_ms: wall clock of the latest of them.
    :param failed_trials: number of those whose server got the request while it
        was suspected. Clocks of two routers don't show which came first.
    """

    fingerprint: str
    crash_ids: frozenset[CrashId]
    first_crash_ms: int
    last_crash_ms: int
    failed_trials: int

    @property
    def is_blamed(self) -> bool:
        """Whether the request must not be sent any more."""
        return self.failed_trials >= MAX_FAILED_TRIALS


def suspect_calls(
    crashes: Iterable[CrashEntry], names: Iterable[str]
) -> dict[str, CallSuspicion]:
    """Return the suspected requests by fingerprint.

    :param names: fingerprints that may be suspected.
    """
    ordered = sorted(crashes, key=lambda one: one.at_ms)
    return _suspect_by_name(
        names,
        lambda name: [
            _under_call(crash, name, name in crash.trials)
            for crash in ordered
            if name in crash.call_ages_ms and name not in crash.cleared
        ],
    )


def suspect_whatever_prompt(
    crashes: Iterable[CrashEntry],
    names: Iterable[str],
    explained: Iterable[frozenset[CrashId]],
) -> dict[str, CallSuspicion]:
    """Return requests that are suspected with more than one prompt.

    :param names: fingerprints that may be suspected.
    :param explained: sets of crashes that a request with one prompt, or a part
        of prompts, explains. Requests that crashed no other server are left
        out, as others that differ in the prompt may be sound.
    """
    ordered = sorted(crashes, key=lambda one: one.at_ms)
    suspicions = _suspect_by_name(
        (name for name in names if name == without_prompt(name)),
        lambda name: [
            _under_call(crash, name, bool(_with_prompts(crash.trials, name)))
            for crash in ordered
            if name not in crash.cleared
            and _with_prompts(crash.call_ages_ms, name)
        ],
    )
    known = tuple(explained)
    return {
        name: suspicion
        for name, suspicion in suspicions.items()
        if not any(suspicion.crash_ids <= crash_ids for crash_ids in known)
    }


def _with_prompts(fingerprints: Iterable[str], name: str) -> list[str]:
    """Return those of a request, whatever its prompt."""
    prefix = name + SEPARATOR
    return [one for one in fingerprints if one.startswith(prefix)]


def _under_call(
    crash: CrashEntry, name: str, is_trial: bool
) -> _CrashUnderCall:
    return _CrashUnderCall(
        crash.crash_id, crash.at_ms, name in crash.proven, is_trial
    )


def _suspect_by_name(
    names: Iterable[str], crashes_of: Callable[[str], list[_CrashUnderCall]]
) -> dict[str, CallSuspicion]:
    suspicions: dict[str, CallSuspicion] = {}
    for name in sorted(names):
        under_it = crashes_of(name)
        if _is_suspected(under_it):
            suspicions[name] = _suspect(name, under_it)
    return suspicions


def _is_suspected(under_it: list[_CrashUnderCall]) -> bool:
    if not any(crash.is_proven for crash in under_it):
        return len(under_it) >= MIN_CRASHES
    occasions = 0
    occasion_ms = float('-inf')
    for crash in under_it:
        if crash.at_ms - occasion_ms >= TRIAL_DELAY_MS:
            occasions += 1
            occasion_ms = crash.at_ms
    return occasions >= MIN_CRASHES_OF_PROVEN_CALL


def _suspect(
    fingerprint: str, under_it: list[_CrashUnderCall]
) -> CallSuspicion:
    return CallSuspicion(
        fingerprint,
        frozenset(one.crash_id for one in under_it),
        under_it[0].at_ms,
        under_it[-1].at_ms,
        sum(one.is_trial for one in under_it),
    )
