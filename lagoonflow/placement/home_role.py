"""Which role an agent has for a model: home or not."""

import enum

from lagoonflow.placement.settings import HomeSettings, Ranking


class HomeRole(enum.Enum):
    """Role of this agent for a model.

    HOME: it acts as home.
    UNSURE: agents that rank before it may be reachable, and have to be
        probed first.
    NONE: it isn't in the ranking of the model.
    """

    HOME = 'home'
    UNSURE = 'unsure'
    NONE = 'none'


class HomeRoles:
    """Determines for which models this agent acts as home.

    The first agent of a model's ranking is its home. Another one acts as
    home while all agents that rank before it are unreachable.
    """

    def __init__(self, settings: HomeSettings, ranking: Ranking) -> None:
        self._name = settings.name
        self._unreachable_ms = settings.unreachable_ms
        self._gather_ms = settings.gather_ms
        self._ranking = ranking
        self._unreachable: dict[str, int] = {}
        self._home_since_ms: dict[str, int] = {}

    def role_of(self, now_ms: int, model: str) -> HomeRole:
        """Return the role of this agent for a model."""
        if self._name not in self._ranking(model):
            return HomeRole.NONE
        if any(self.predecessors_to_probe(now_ms, model)):
            self._home_since_ms.pop(model, None)
            return HomeRole.UNSURE
        self._home_since_ms.setdefault(model, now_ms)
        return HomeRole.HOME

    def predecessors_to_probe(self, now_ms: int, model: str) -> tuple[str, ...]:
        """Return the agents ranked before this one that may be reachable."""
        ranking = list(self._ranking(model))
        earlier = ranking[: ranking.index(self._name)]
        return tuple(
            peer for peer in earlier if self._unreachable.get(peer, 0) <= now_ms
        )

    def agents(self, now_ms: int, model: str) -> list[str]:
        """Return all agents by rank, with the unreachable ones last."""
        return sorted(
            self._ranking(model),
            key=lambda peer: self._unreachable.get(peer, 0) > now_ms,
        )

    def is_new_home(self, now_ms: int, model: str) -> bool:
        """Tell whether this agent became home of a model only recently.

        It may then not know of replicas that agents have not announced to it
        yet.
        """
        return now_ms - self._home_since_ms.get(model, now_ms) < self._gather_ms

    def record_reachability(
        self, now_ms: int, peer: str, *, is_reachable: bool
    ) -> None:
        """Record whether a peer could be reached."""
        if is_reachable:
            self._unreachable.pop(peer, None)
        else:
            self._unreachable[peer] = now_ms + self._unreachable_ms

    def reset(self) -> None:
        """Drop all knowledge of peers, which is out of date after a pause."""
        self._unreachable.clear()
        self._home_since_ms.clear()
