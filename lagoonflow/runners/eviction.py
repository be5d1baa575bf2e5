"""Chooses the replicas that are evicted to make room for another one."""

import dataclasses
from collections.abc import Iterable

from lagoonflow.runners.messages import ReplicaKey


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A replica that could be evicted.

    :param memory_mb: memory that its eviction frees, adapters included.
    :param reload_ms: predicted time to load it again.
    :param next_use_ms: predicted time until its next request.
    :param drain_ms: predicted time until its requests are done; 0 when it
        is idle.
    """

    key: ReplicaKey
    memory_mb: int
    reload_ms: float
    next_use_ms: float
    drain_ms: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Eviction:
    """Replicas to drain and unload, and what that costs.

    :param victims: the replicas, in the order in which they were chosen.
    :param cost_ms: expected time of loading them again.
    :param drain_ms: predicted time until all of them are drained.
    """

    victims: tuple[ReplicaKey, ...] = ()
    freed_mb: int = 0
    cost_ms: int = 0
    drain_ms: int = 0


def choose_eviction(
    shortage_mb: int,
    candidates: Iterable[Candidate],
    horizon_ms: float,
) -> Eviction | None:
    """Choose victims, cheapest first, until enough memory is freed.

    Idle replicas are chosen before busy ones. A busy replica is drained: it
    is unloaded only when its last request is done. Victims that turn out to
    be unneeded are left out.

    :param horizon_ms: evicting a replica whose next request is this far
        away costs a tenth of its reload time.
    :returns: ``None`` when all candidates together free too little.
    """
    if shortage_mb <= 0:
        return Eviction()
    ranked = sorted(
        candidates,
        key=lambda candidate: (
            candidate.drain_ms > 0,
            _cost_ms(candidate, horizon_ms) + candidate.drain_ms,
            candidate.key.model,
            candidate.key.version,
        ),
    )
    chosen: list[Candidate] = []
    freed_mb = 0
    for candidate in ranked:
        if freed_mb >= shortage_mb:
            break
        chosen.append(candidate)
        freed_mb += candidate.memory_mb
    if freed_mb < shortage_mb:
        return None
    return _build_eviction(
        _drop_unneeded(chosen, freed_mb - shortage_mb), horizon_ms
    )


def _cost_ms(candidate: Candidate, horizon_ms: float) -> float:
    # 1 for a request that is due now, 0.1 for one that is due at the horizon.
    likelihood = horizon_ms / (horizon_ms + 9 * candidate.next_use_ms)
    return candidate.reload_ms * likelihood


def _drop_unneeded(
    chosen: list[Candidate],
    surplus_mb: int,
) -> list[Candidate]:
    kept: list[Candidate] = []
    for candidate in reversed(chosen):
        if candidate.memory_mb <= surplus_mb:
            surplus_mb -= candidate.memory_mb
        else:
            kept.append(candidate)
    return list(reversed(kept))


def _build_eviction(chosen: list[Candidate], horizon_ms: float) -> Eviction:
    cost_ms = sum(_cost_ms(candidate, horizon_ms) for candidate in chosen)
    return Eviction(
        victims=tuple(candidate.key for candidate in chosen),
        freed_mb=sum(candidate.memory_mb for candidate in chosen),
        cost_ms=round(cost_ms),
        drain_ms=round(max(candidate.drain_ms for candidate in chosen)),
    )
