"""Where copies of a model lie, and how long a load takes from there."""

from lagoonflow.backends.messages import RunnerReport
from lagoonflow.declared.messages import Model
from lagoonflow.gossip.messages import AgentState


def load_time_ms(
    model: Model, copies: RunnerReport | AgentState
) -> tuple[float, bool]:
    """Return how long a load takes, and whether it uses the store."""
    if model.name in copies.in_memory:
        return model.memory_load_ms, False
    if model.name in copies.on_disk:
        return model.disk_load_ms, False
    return model.store_load_ms, True
