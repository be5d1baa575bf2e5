"""Rendezvous hashing: which agent is the home of a model."""

from collections.abc import Sequence

import xxhash

from lagoonflow.roster.messages import Member
from lagoonflow.roster.state import RosterFold

WEIGHT_STORE_SUBJECT = 'weight-store'
_MODEL_PREFIX = 'model/'
_MAX_CACHED_SUBJECTS = 4096


def rank_members(subject: str, members: Sequence[Member]) -> list[Member]:
    """Members by descending rendezvous weight for a subject."""
    seed = xxhash.xxh3_64_intdigest(subject.encode())
    return sorted(
        members,
        key=lambda member: (
            xxhash.xxh3_64_intdigest(member.name.encode(), seed),
            member.name,
        ),
        reverse=True,
    )


def home_of(model: str, fold: RosterFold) -> Member | None:
    """Home of a model, or ``None`` when there are no engine agents."""
    return _first(rank_members(_MODEL_PREFIX + model, fold.engine_agents()))


class HomeRankings:
    """Rankings of one fold, cached until its version changes."""

    def __init__(self, fold: RosterFold) -> None:
        """Follow a fold."""
        self._fold = fold
        self._version = fold.version
        self._agents = fold.engine_agents()
        self._rankings: dict[str, tuple[Member, ...]] = {}

    def ranking(self, model: str) -> tuple[Member, ...]:
        """Engine agents by rank for a model; the first is its home."""
        return self._ranked(_MODEL_PREFIX + model)

    def home_of(self, model: str) -> Member | None:
        """Home of a model, or ``None`` when there are no engine agents."""
        return _first(self.ranking(model))

    def weight_store_ranking(self) -> tuple[Member, ...]:
        """Engine agents by rank for the weight store."""
        return self._ranked(WEIGHT_STORE_SUBJECT)

    def _ranked(self, subject: str) -> tuple[Member, ...]:
        self._refresh()
        ranking = self._rankings.get(subject)
        if ranking is None:
            ranking = tuple(rank_members(subject, self._agents))
            self._rankings[subject] = ranking
        return ranking

    def _refresh(self) -> None:
        is_full = len(self._rankings) >= _MAX_CACHED_SUBJECTS
        if self._version == self._fold.version and not is_full:
            return
        self._version = self._fold.version
        self._rankings.clear()
        self._agents = self._fold.engine_agents()


def _first(ranking: Sequence[Member]) -> Member | None:
    return ranking[0] if ranking else None
