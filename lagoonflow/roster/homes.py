"""Ranks agents by rendezvous hashing; the first one is a model's home."""

from collections.abc import Sequence

import xxhash

from lagoonflow.roster.messages import Member
from lagoonflow.roster.state import RosterFold

WEIGHT_STORE_KEY = 'weight-store'
_MODEL_PREFIX = 'model/'
_MAX_CACHED_RANKINGS = 4096


def rank_members(key: str, members: Sequence[Member]) -> list[Member]:
    """Return the members by descending rendezvous weight for a key.

    When a member departs, only the keys that it ranked first get another
    first member.
    """
    seed = xxhash.xxh3_64_intdigest(key.encode())
    return sorted(
        members,
        key=lambda member: (
            xxhash.xxh3_64_intdigest(member.name.encode(), seed),
            member.name,
        ),
        reverse=True,
    )


def home_of(model: str, fold: RosterFold) -> Member | None:
    """Return the home of a model; ``None`` if there is no engine agent."""
    return _first_or_none(
        rank_members(_MODEL_PREFIX + model, fold.engine_agents())
    )


class HomeRankings:
    """Rankings of the agents in a roster, cached until the roster changes."""

    def __init__(self, fold: RosterFold) -> None:
        """Start with an empty cache; rankings are computed on first use.

        :param fold: the roster; a new version of it empties the cache.
        """
        self._fold = fold
        self._version = fold.version
        self._agents = fold.engine_agents()
        self._rankings: dict[str, tuple[Member, ...]] = {}

    def ranking(self, model: str) -> tuple[Member, ...]:
        """Return the engine agents by rank for a model, its home first."""
        return self._cached_ranking(_MODEL_PREFIX + model)

    def home_of(self, model: str) -> Member | None:
        """Return the home of a model; ``None`` if there is no engine agent."""
        return _first_or_none(self.ranking(model))

    def weight_store_ranking(self) -> tuple[Member, ...]:
        """Return the engine agents by rank for the weight store."""
        return self._cached_ranking(WEIGHT_STORE_KEY)

    def _cached_ranking(self, key: str) -> tuple[Member, ...]:
        self._refresh()
        ranking = self._rankings.get(key)
        if ranking is None:
            ranking = tuple(rank_members(key, self._agents))
            self._rankings[key] = ranking
        return ranking

    def _refresh(self) -> None:
        is_full = len(self._rankings) >= _MAX_CACHED_RANKINGS
        if self._version == self._fold.version and not is_full:
            return
        self._version = self._fold.version
        self._rankings.clear()
        self._agents = self._fold.engine_agents()


def _first_or_none(ranking: Sequence[Member]) -> Member | None:
    return ranking[0] if ranking else None
