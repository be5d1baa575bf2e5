"""Copies of models at all runners, counted once for one plan."""

import collections
import dataclasses
from collections.abc import Mapping

from lagoonflow.gossip.messages import AgentState
from lagoonflow.waking.copies import models_with_copy
from lagoonflow.waking.store_loads import StoreLoad


@dataclasses.dataclass(frozen=True, slots=True)
class FleetCopies:
    """What a plan needs to know of all runners, by instance.

    :param states: the agents' states.
    :param models: models that a runner holds, is loading or has a copy of.
    :param counts: number of runners with such a copy, by model.
    :param demand_per_s: demand for the models that a runner holds, in requests
        per second.
    :param lost_loads: loads from the store at runners without a state.
    """

    states: Mapping[str, AgentState]
    models: Mapping[str, set[str]]
    counts: collections.Counter[str]
    demand_per_s: Mapping[str, float]
    lost_loads: tuple[StoreLoad, ...] = ()

    def count_only_here(self, instance: str) -> int:
        """Count the models that have their only copy at a runner.

        Models that the runner holds are left out. The others can't be loaded
        quickly anywhere while it loads from the store.
        """
        held = {one.name for one in self.states[instance].held}
        return sum(
            self.counts[name] == 1
            for name in self.models[instance]
            if name not in held
        )


def count_copies(
    states: Mapping[str, AgentState], lost_loads: tuple[StoreLoad, ...] = ()
) -> FleetCopies:
    """Count the copies in the states of all agents, by instance."""
    models = {
        instance: models_with_copy(state) for instance, state in states.items()
    }
    counts: collections.Counter[str] = collections.Counter()
    for names in models.values():
        counts.update(names)
    demand_per_s = {
        instance: sum(held.demand_per_s for held in state.held)
        for instance, state in states.items()
    }
    return FleetCopies(states, models, counts, demand_per_s, lost_loads)
