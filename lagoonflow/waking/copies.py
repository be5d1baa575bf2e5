"""Locations of model copies, and the time of a load from each."""

import functools
from collections.abc import Callable

import xxhash

from lagoonflow.backends.messages import RunnerReport
from lagoonflow.declared.messages import Model
from lagoonflow.gossip.messages import AgentState, HeldModelState

# Pairs of a key and an instance whose weights are kept at most.
MAX_CACHED_WEIGHTS = 65_536


def has_local_copy(model: str, copies: RunnerReport | AgentState) -> bool:
    """Whether a copy is in a runner's host memory or on its disk."""
    return model in copies.in_memory or model in copies.on_disk


def find_held(
    held: tuple[HeldModelState, ...], name: str
) -> HeldModelState | None:
    """Return the held model of a name; ``None`` if it is not held."""
    return next((one for one in held if one.name == name), None)


def load_time_ms(
    model: Model, copies: RunnerReport | AgentState
) -> tuple[float, bool]:
    """Return the load time, in ms, and whether the load uses the store."""
    if model.name in copies.in_memory:
        return model.memory_load_ms, False
    if model.name in copies.on_disk:
        return model.disk_load_ms, False
    return model.store_load_ms, True


def models_with_copy(state: AgentState) -> set[str]:
    """Return the models that a runner holds, is loading or has a copy of."""
    held = {one.name for one in state.held}
    loading = {state.loading} if state.loading else set()
    return held | loading | set(state.in_memory) | set(state.on_disk)


def rendezvous_weight(key: str) -> Callable[[str], int]:
    """Return a function that ranks instances by rendezvous hashing.

    :param key: name of the model or router that they are ranked for.
    """
    return functools.partial(_weight, key)


@functools.lru_cache(maxsize=MAX_CACHED_WEIGHTS)
def _weight(key: str, instance: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{key} {instance}'.encode())
