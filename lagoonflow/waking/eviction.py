"""Which held model to evict, where most models can't be held.

The load: every load evicts a model. A model with a copy at some runner is
available again within a second, one without only after a load from the weight
store, which others wait for too. So a model costs its callers its demand times
the time of its next load.
"""

from lagoonflow.declared.messages import EngineSpec
from lagoonflow.waking.fleet_copies import FleetCopies

# Time to load an evicted model again from a copy, with the eviction that this
# needs, in ms.
COPY_RELOAD_MS = 700
# A load from the store waits for others; it takes about so many times its own
# time until the model is available again.
STORE_LOADS_WAITED = 3
# Demand that a held model has at least, in requests per second: a model that
# is requested each 12 s is hardly visible in demand that halves each 6 s.
MIN_DEMAND_PER_S = 0.03
# An eviction waits until the running requests of its model have ended, which
# costs as much as so many delayed requests times ms.
RUNNING_COST_MS = 300


def store_only_models(instance: str, copies: FleetCopies) -> tuple[str, ...]:
    """Return the held models that only the store could load again."""
    state = copies.states[instance]
    local = {*state.in_memory, *state.on_disk}
    return tuple(
        held.name
        for held in state.held
        if held.name not in local and copies.counts[held.name] == 1
    )


def eviction_cost_ms(
    spec: EngineSpec,
    model: str,
    demand_per_s: float,
    *,
    is_store_only: bool,
    is_running: bool,
) -> float:
    """Return what an eviction costs the model's callers, in requests x ms."""
    declared = spec.models.get(model)
    if declared is None:
        return 0
    reload_ms: float = COPY_RELOAD_MS
    if is_store_only:
        reload_ms = declared.store_load_ms * STORE_LOADS_WAITED
    cost_ms = max(demand_per_s, MIN_DEMAND_PER_S) * reload_ms
    return cost_ms + RUNNING_COST_MS * is_running
