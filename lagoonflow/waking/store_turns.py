"""Turns at the weight store for models that no runner has a copy of.

The load: callers keep requesting more such models than the store can load
soon, and some of them only for a short time. Models whose callers have been
refused again and again come first, as they will probably be called for when a
load is done; a busy model that has lost its copies passes them soon.
"""

import bisect
import collections
import dataclasses
from collections.abc import Callable, Container, Mapping, Sequence

from lagoonflow.declared.messages import EngineSpec
from lagoonflow.gossip.messages import AgentState
from lagoonflow.waking.copies import rendezvous_weight
from lagoonflow.waking.eviction import store_only_models
from lagoonflow.waking.fleet_copies import FleetCopies
from lagoonflow.waking.store_loads import StoreLoad, load_in_progress
from lagoonflow.waking.store_queue import (
    DEFAULT_STORE_CONCURRENCY,
    least_store_concurrency,
)

# Time from the plan of a turn until its load begins: the message to the agent
# and the eviction of a model.
TURN_DELAY_MS = 300
# Refused requests are counted by periods of this length, in ms: about the time of
# a load from the store.
PERIOD_MS = 8000
# So many refused requests count as much as one more period with any.
BUSY_REFUSALS = 10
# Share of the store that may be in use by loads of which some are slow. Each load
# blocks its runner, so few fast ones are better than many slow ones.
MAX_SLOW_USE = 0.95
# A runner that would have to evict a model which only the store can restore
# counts as having so many models that only it can load.
STORE_ONLY_BLOCKING = 10


@dataclasses.dataclass(frozen=True, slots=True)
class StoreTurns:
    """Models that wait for a load from the store, the first in line in front.

    A load that begins beside others takes longer, and less of what the store
    can do at a time. So while loads are slow, another one may begin beside them.

    :param concurrency: loads that the store serves at full speed together.
    :param loads: the loads in progress.
    :param load_ms: time that one load takes at full speed, in ms.
    """

    models: tuple[str, ...]
    concurrency: int
    loads: tuple[StoreLoad, ...]
    load_ms: float

    @property
    def free(self) -> int:
        """Number of loads that may begin now."""
        loads = list(self.loads)
        while self._may_begin(loads):
            slowdown = self._slowdown(len(loads))
            loads.append(StoreLoad(self.load_ms * slowdown, slowdown))
        return len(loads) - len(self.loads)

    def place(self, model: str) -> int:
        """Return how many models come before one in line.

        A model that isn't in line counts as the last.
        """
        line = self.models
        return line.index(model) if model in line else len(line)

    def ready_in_ms(self, model: str) -> float:
        """Return the time until a model can be loaded, in ms."""
        loads = sorted(self.loads, key=_ready_in_ms)
        begins_ms: float = 0
        done_ms: float = 0
        for _ in range(self.place(model) + 1):
            while loads and not self._may_begin(loads):
                begins_ms = max(begins_ms, loads.pop(0).ready_in_ms)
            slowdown = self._slowdown(len(loads))
            done_ms = begins_ms + TURN_DELAY_MS + self.load_ms * slowdown
            bisect.insort(loads, StoreLoad(done_ms, slowdown), key=_ready_in_ms)
        return done_ms

    def _slowdown(self, in_progress: int) -> float:
        """Return the slowdown of a load that begins beside others."""
        return max((in_progress + 1) / self.concurrency, 1)

    def _may_begin(self, loads: Sequence[StoreLoad]) -> bool:
        """Whether another load should begin beside others."""
        if len(loads) < self.concurrency:
            return True
        used = sum(1 / load.slowdown for load in loads)
        used += 1 / self._slowdown(len(loads))
        return used <= self.concurrency * MAX_SLOW_USE


def _ready_in_ms(load: StoreLoad) -> float:
    return load.ready_in_ms


def store_turns(spec: EngineSpec, copies: FleetCopies) -> StoreTurns:
    """Return the models that wait for the store, in the order of their turns.

    Agents report which of the models that routers requested from them have to
    come from the store. One that an agent evicts another model for keeps its
    turn.
    """
    unserved_s: dict[str, int] = {}
    for reporting in copies.states.values():
        for model, since_s in reporting.store_requests.items():
            if model in spec.models:
                unserved_s[model] = max(since_s, unserved_s.get(model, 0))
    prepared = {state.store_turn for state in copies.states.values()}
    demand = _refused_demand(copies)

    def rank(model: str) -> tuple[bool, float, int, str]:
        is_prepared = model in prepared
        return not is_prepared, -demand[model], -unserved_s[model], model

    waiting = unserved_s.keys() - copies.counts.keys()
    loads = tuple(
        load_in_progress(loading)
        for loading in copies.states.values()
        if loading.is_from_store
    )
    return StoreTurns(
        tuple(sorted(waiting, key=rank)),
        least_store_concurrency(copies.states) or DEFAULT_STORE_CONCURRENCY,
        (*loads, *copies.lost_loads),
        max((one.store_load_ms for one in spec.models.values()), default=0),
    )


def _refused_demand(copies: FleetCopies) -> Mapping[str, float]:
    """Return how much models are called for, by what agents report.

    That is the number of periods in which requests were refused, and more where
    many were.
    """
    refused: collections.Counter[str] = collections.Counter()
    periods: dict[str, int] = collections.defaultdict(int)
    for reporting in copies.states.values():
        refused.update(reporting.store_refusals)
        for model, bits in reporting.store_periods.items():
            periods[model] |= bits
    demand: dict[str, float] = collections.defaultdict(float)
    for model, count in refused.items():
        demand[model] = periods[model].bit_count() + count / BUSY_REFUSALS
    return demand


def assign_turns(
    turns: StoreTurns, copies: FleetCopies, leaving: Container[str] = ()
) -> dict[str, str]:
    """Return the models that may be loaded from the store now, by instance.

    An agent that is already evicting another model for its turn keeps it.

    :param leaving: ids of runners that would end before the load.
    """
    assigned: dict[str, str] = {}
    staying = {
        instance: state
        for instance, state in copies.states.items()
        if instance not in leaving and not state.is_leaving
    }
    blocking = {instance: _blocking(instance, copies) for instance in staying}
    for model in turns.models[: turns.free]:
        candidates = _candidates(model, staying, assigned)
        if candidates:
            chosen = min(candidates, key=_turn_rank(model, blocking))
            assigned[chosen] = model
    return assigned


def _turn_rank(
    model: str, blocking: Mapping[str, int]
) -> Callable[[str], tuple[int, int]]:
    weight = rendezvous_weight(model)

    def rank(instance: str) -> tuple[int, int]:
        return blocking[instance], weight(instance)

    return rank


def _candidates(
    model: str,
    states: Mapping[str, AgentState],
    assigned: Mapping[str, str],
) -> Sequence[str]:
    free = [
        instance
        for instance, state in states.items()
        if instance not in assigned and not state.is_from_store
    ]
    preparing = [one for one in free if states[one].store_turn == model]
    return preparing or free


def _blocking(instance: str, copies: FleetCopies) -> int:
    """Count the models that a load from the store would make unavailable.

    The runner takes no other order meanwhile.
    """
    store_only = store_only_models(instance, copies)
    return (
        copies.count_only_here(instance) + len(store_only) * STORE_ONLY_BLOCKING
    )
