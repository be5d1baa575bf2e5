"""Whether this agent acts as home of a model."""

import enum

from lagoonflow.placement.settings import HomeSettings, Ranking


class HomeRole(enum.Enum):
    """What this agent is for a model."""

    HOME = 'home'
    UNSURE = 'unsure'
    NONE = 'none'


class HomeRoles:
    """The first agent of a ranking is home; others act once it is lost."""

    def __init__(self, settings: HomeSettings, ranking: Ranking) -> None:
        self._name = settings.name
        self._unreachable_ms = settings.unreachable_ms
        self._gather_ms = settings.gather_ms
        self._ranking = ranking
        self._unreachable: dict[str, int] = {}
        self._home_since_ms: dict[str, int] = {}

    def role_of(self, now_ms: int, model: str) -> HomeRole:
        """Tell what this agent is for a model."""
        if self._name not in self._ranking(model):
            return HomeRole.NONE
        if any(self.predecessors_to_probe(now_ms, model)):
            self._home_since_ms.pop(model, None)
            return HomeRole.UNSURE
        self._home_since_ms.setdefault(model, now_ms)
        return HomeRole.HOME

    def predecessors_to_probe(self, now_ms: int, model: str) -> tuple[str, ...]:
        """Earlier agents that have not been found unreachable lately."""
        ranking = list(self._ranking(model))
        earlier = ranking[: ranking.index(self._name)]
        return tuple(
            peer for peer in earlier if self._unreachable.get(peer, 0) <= now_ms
        )

    def agents(self, now_ms: int, model: str) -> list[str]:
        """All agents by rank, the unreachable ones last."""
        return sorted(
            self._ranking(model),
            key=lambda peer: self._unreachable.get(peer, 0) > now_ms,
        )

    def is_new_home(self, now_ms: int, model: str) -> bool:
        """Whether this agent has been home only for a short time."""
        return now_ms - self._home_since_ms.get(model, now_ms) < self._gather_ms

    def record_reachability(
        self, now_ms: int, peer: str, *, is_reachable: bool
    ) -> None:
        """Note whether a peer could be reached."""
        if is_reachable:
            self._unreachable.pop(peer, None)
        else:
            self._unreachable[peer] = now_ms + self._unreachable_ms

    def reset(self) -> None:
        """Start anew after a pause."""
        self._unreachable.clear()
        self._home_since_ms.clear()
