"""Decides which agents may load from the weight store.

The store serves only few loads at full speed. More loads than that slow each
other down, and each blocks all other orders of its runner meanwhile.
"""

import bisect
import dataclasses
import statistics
from collections.abc import Iterable, Mapping

from lagoonflow.gossip.messages import AgentState

# Assumed number of loads that the store serves at full speed together, until
# agents have estimated it.
DEFAULT_STORE_CONCURRENCY = 4

# Estimates may be too high by this much.
ESTIMATE_EXCESS = 0.3

States = Mapping[str, AgentState]


def store_concurrency(states: States) -> int:
    """Return how many loads the store serves at full speed together.

    That is the median of the agents' estimates.
    """
    estimates = _estimates(states)
    if not estimates:
        return DEFAULT_STORE_CONCURRENCY
    return max(round(statistics.median(estimates)), 1)


def least_store_concurrency(states: States) -> int:
    """Return the lowest plausible number of such loads; 0 while unknown.

    A load that began before others of the same moment is slowed less than all
    of them together would be, so estimates are rather too high.
    """
    estimates = _estimates(states)
    if not estimates:
        return 0
    return max(round(statistics.median_low(estimates) - ESTIMATE_EXCESS), 1)


def _estimates(states: States) -> list[float]:
    return [
        state.store_concurrency
        for state in states.values()
        if state.store_concurrency > 0
    ]


def loads_in_progress(states: States) -> int:
    """Count the loads from the weight store that are in progress."""
    return sum(state.is_from_store for state in states.values())


@dataclasses.dataclass(frozen=True, slots=True)
class StoreQueue:
    """Loads from the weight store that are in progress or wait for it.

    :param concurrency: loads that the store serves at full speed together.
    :param in_progress: loads in progress at all runners.
    :param ranks: ranks of the agents with a requested load, the first in line
        in front.
    """

    concurrency: int
    in_progress: int
    ranks: tuple[tuple[float, str], ...]

    def may_use_store(self, instance: str, state: AgentState) -> bool:
        """Whether an agent may begin a requested load from the store now.

        Agents whose requested model has the highest demand come first.
        """
        ahead = self._loads_ahead_of(instance, state)
        return self.in_progress + ahead < self.concurrency

    def queue_ms(
        self, instance: str, state: AgentState, load_ms: float
    ) -> float:
        """Return the time until a load from the store could begin, in ms.

        :param load_ms: time that one load from the store takes, in ms.
        """
        before = self.in_progress + self._loads_ahead_of(instance, state)
        excess = max(before + 1 - self.concurrency, 0)
        return excess * load_ms / self.concurrency

    def _loads_ahead_of(self, instance: str, state: AgentState) -> int:
        return bisect.bisect_left(
            self.ranks, (-state.store_demand_per_s, instance)
        )


def store_queue(states: States) -> StoreQueue:
    """Return the queue for the weight store."""
    ranks = sorted(
        (-state.store_demand_per_s, instance)
        for instance, state in states.items()
        if state.store_demand_per_s > 0
    )
    return StoreQueue(
        store_concurrency(states), loads_in_progress(states), tuple(ranks)
    )


def grant_preloads(
    candidates: Iterable[tuple[str, str]], states: States
) -> dict[str, str]:
    """Return the preloads from the store that may begin, by instance.

    :param candidates: instances and models, the most important first.
    """
    waiting = sum(state.store_demand_per_s > 0 for state in states.values())
    # While there is any demand, one load is left for models that requests
    # may soon wait for.
    reserved = int(any(_has_demand(state) for state in states.values()))
    free = (
        store_concurrency(states)
        - loads_in_progress(states)
        - waiting
        - reserved
    )
    granted: dict[str, str] = {}
    for instance, model in candidates:
        has_no_store_load = not states[instance].is_from_store
        if (
            len(granted) < free
            and has_no_store_load
            and instance not in granted
        ):
            granted[instance] = model
    return granted


def _has_demand(state: AgentState) -> bool:
    return any(held.demand_per_s > 0 for held in state.held)
