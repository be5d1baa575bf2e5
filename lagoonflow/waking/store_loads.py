"""Loads from the weight store that are in progress, also at lost runners."""

import dataclasses
from collections.abc import Mapping

from lagoonflow.gossip.messages import AgentState

# A lost load that was overdue is taken to last for this much longer, in ms.
OVERDUE_KEPT_MS = 5000


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLoad:
    """A load from the weight store that is in progress.

    :param ready_in_ms: time until it is done, in ms.
    :param slowdown: how many times its declared time it takes.
    """

    ready_in_ms: float
    slowdown: float = 1


def load_in_progress(state: AgentState) -> StoreLoad:
    """Return the load from the store that an agent reports."""
    return StoreLoad(
        float(state.order_ready_in_ms), max(state.store_slowdown, 1)
    )


class LostLoads:
    """Remembers loads of runners that have crashed or fallen silent.

    The store goes on with them, so they slow others until they would have been
    done.
    """

    def __init__(self) -> None:
        """Start without any loads."""
        self._known: dict[str, tuple[float, StoreLoad]] = {}

    def observe(self, states: Mapping[str, AgentState], now_ms: float) -> None:
        """Record the loads that agents report.

        :param states: the newest states of agents, by instance.
        """
        for instance, state in states.items():
            if state.is_from_store:
                self._known[instance] = now_ms, load_in_progress(state)
            else:
                self._known.pop(instance, None)

    def of_others(
        self, states: Mapping[str, AgentState], now_ms: float
    ) -> tuple[StoreLoad, ...]:
        """Return the loads at runners whose agents report nothing."""
        lost: list[StoreLoad] = []
        for instance, (seen_ms, load) in list(self._known.items()):
            kept_ms = max(load.ready_in_ms, OVERDUE_KEPT_MS)
            left_ms = kept_ms - (now_ms - seen_ms)
            if left_ms <= 0:
                self._known.pop(instance)
            elif instance not in states:
                lost.append(dataclasses.replace(load, ready_in_ms=left_ms))
        return tuple(lost)
