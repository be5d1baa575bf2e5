"""Simulated clock, engines and weight store for the placement benchmark."""

import dataclasses
import heapq
import itertools

from lagoonflow.placement.messages import Tier
from lagoonflow.runners import messages as actions
from lagoonflow.runners.engine_messages import (
    Answer,
    EngineState,
    ListedAdapter,
    ListedCheckpoint,
    ListedReplica,
    Listing,
    OrderAnswer,
)


class Clock:
    """Runs callbacks in the order of their virtual times, in ms."""

    def __init__(self):
        self.now_ms = 0
        self._events = []
        self._sequence = itertools.count()

    def call_later(self, delay_ms, callback, *arguments):
        """Call ``callback`` after a delay.

        Callbacks that are due at the same time run in the order of the calls.
        """
        at_ms = self.now_ms + max(0, round(delay_ms))
        event = (at_ms, next(self._sequence), callback, arguments)
        heapq.heappush(self._events, event)

    def run(self, until_ms):
        """Advance the clock to a time and run all callbacks due until then."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
        self.now_ms = until_ms


class Store:
    """A weight store with a limited rate of fetches.

    Fetches beyond ``parallel`` at a time slow each other down.

    :param rate_per_s: fetches that may start per second.
    :param fetch_ms: time to fetch 20,000 MB at full speed.
    """

    def __init__(self, clock, rate_per_s, parallel, fetch_ms):
        self.clock = clock
        self.interval_ms = 1_000 / rate_per_s
        self.parallel = parallel
        self.fetch_ms = fetch_ms
        self.slowdown = 1
        self.fetches = 0
        self._next_start_ms = 0
        self._running = 0

    def fetch(self, size_mb, on_done, *arguments):
        """Fetch a checkpoint and call ``on_done`` when it is complete."""
        start_ms = max(self.clock.now_ms, self._next_start_ms)
        self._next_start_ms = start_ms + self.interval_ms
        delay_ms = start_ms - self.clock.now_ms
        self.clock.call_later(
            delay_ms, self._start_fetch, size_mb, on_done, arguments
        )

    def _start_fetch(self, size_mb, on_done, arguments):
        self.fetches += 1
        self._running += 1
        slowdown_factor = max(1, self._running / self.parallel)
        duration_ms = (
            self.fetch_ms * size_mb / 20_000 * slowdown_factor * self.slowdown
        )
        self.clock.call_later(
            duration_ms, self._on_finished, on_done, arguments
        )

    def _on_finished(self, on_done, arguments):
        self._running -= 1
        on_done(*arguments)


@dataclasses.dataclass
class MemoryEntry:
    """A replica or an adapter in the memory of an engine.

    :param running: sequences that run on the replica.
    :param idle_since_ms: when the replica last became idle.
    """

    memory_mb: int
    state: EngineState = EngineState.LOADING
    running: int = 0
    idle_since_ms: int = 0
    last_used_ms: int = 0


class Engine:
    """A simulated model engine with local checkpoints.

    :param checkpoints: tier of each local checkpoint by model.
    """

    def __init__(self, clock, store, sizes, checkpoints, name):
        self.clock = clock
        self.store = store
        self.sizes = sizes
        self.name = name
        self.checkpoints = dict(checkpoints)
        self.replicas = {}
        self.adapters = {}
        self.fence = 0
        self.loads = 0
        self.overcommits = 0
        self.idle_ms = 0
        self.running = 0
        self.adapters_in_flight = 0
        self.on_change = lambda: None

    @property
    def used_mb(self):
        """Memory of all replicas and adapters, in MB."""
        entries = (*self.replicas.values(), *self.adapters.values())
        return sum(entry.memory_mb for entry in entries)

    def execute_order(self, order):
        """Execute an order of the agent unless its fencing token is stale."""
        if order.fence < self.fence:
            return OrderAnswer(
                order.fence, Answer.STALE_FENCE, last_fence=self.fence
            )
        self.fence = order.fence
        match order:
            case actions.OrderLoad(replica=key, memory_mb=memory_mb):
                is_accepted = self.load(key, memory_mb)
            case actions.OrderAdapterLoad(adapter=key, memory_mb=memory_mb):
                is_accepted = self.load_adapter(key, memory_mb)
            case actions.OrderUnload(replica=key):
                is_accepted = self.unload(key)
            case actions.OrderAdapterUnload(adapter=key):
                is_accepted = self.adapters.pop(key, None) is not None
        answer = Answer.ACCEPTED if is_accepted else Answer.NO_MEMORY
        return OrderAnswer(order.fence, answer)

    def load(self, key, memory_mb):
        """Load a replica from the local checkpoint, or else from the store.

        :returns: False if it does not fit into memory.
        """
        if key in self.replicas:
            return True
        if self.used_mb + memory_mb > self.sizes.memory_mb:
            self.overcommits += 1
            return False
        self.loads += 1
        entry = MemoryEntry(memory_mb)
        self.replicas[key] = entry
        tier = self.checkpoints.get(key.model, Tier.REMOTE)
        if tier is Tier.REMOTE:
            self.store.fetch(memory_mb, self._on_fetched, key, entry)
        else:
            ms_per_mb = self.sizes.ms_per_mb[tier]
            self.clock.call_later(
                memory_mb * ms_per_mb, self._on_replica_ready, key, entry
            )
        return True

    def unload(self, key):
        """Unload a replica and its adapters."""
        entry = self.replicas.pop(key, None)
        if entry is not None and entry.state is EngineState.READY:
            self.idle_ms += self.clock.now_ms - entry.idle_since_ms
        for adapter in tuple(self.adapters):
            if adapter.replica == key:
                self.adapters.pop(adapter)
        return True

    def load_adapter(self, key, memory_mb):
        """Load an adapter; more than 30 at once slow each other down.

        :returns: False if it does not fit into memory.
        """
        if key in self.adapters:
            return True
        if self.used_mb + memory_mb > self.sizes.memory_mb:
            self.overcommits += 1
            return False
        self.adapters[key] = MemoryEntry(memory_mb)
        self.adapters_in_flight += 1
        slowdown_factor = max(1, self.adapters_in_flight / 30)
        self.clock.call_later(10 * slowdown_factor, self._on_adapter_ready, key)
        return True

    def generate(self, key, tokens, on_done, *arguments):
        """Run a sequence and return the time to its first token, in ms.

        ``on_done`` is called at the end with ``arguments``, the time to the
        first token and the duration.
        """
        entry = self.replicas[key]
        if not entry.running:
            self.idle_ms += self.clock.now_ms - entry.idle_since_ms
        entry.running += 1
        self.running += 1
        slowdown_factor = max(1, self.running / self.sizes.batch)
        first_ms = self.sizes.first_token_ms * slowdown_factor
        duration_ms = first_ms + tokens * self.sizes.token_ms * slowdown_factor
        self.clock.call_later(
            duration_ms,
            self._on_finished,
            entry,
            on_done,
            (*arguments, first_ms, duration_ms),
        )
        return first_ms

    def end_idle_time(self):
        """Add the idle time of replicas that are idle now to the total."""
        for entry in self.replicas.values():
            if entry.state is EngineState.READY and not entry.running:
                self.idle_ms += self.clock.now_ms - entry.idle_since_ms

    def is_ready(self, model, adapter=''):
        """Tell whether a model, and an adapter if one is named, is ready."""
        for key, entry in self.replicas.items():
            if key.model == model and entry.state is EngineState.READY:
                return not adapter or any(
                    adapter_key.adapter == adapter
                    and adapter_entry.state is EngineState.READY
                    and adapter_key.replica == key
                    for adapter_key, adapter_entry in self.adapters.items()
                )
        return False

    def listing(self):
        """Return the replicas, adapters and checkpoints of the engine."""
        return Listing(
            f'epoch-{self.name}',
            self.sizes.memory_mb,
            self.fence,
            tuple(
                ListedReplica(
                    key.model,
                    key.version,
                    entry.state,
                    entry.memory_mb,
                    tuple(
                        ListedAdapter(
                            adapter_key.adapter,
                            adapter_key.version,
                            adapter_entry.memory_mb,
                            adapter_entry.state,
                        )
                        for adapter_key, adapter_entry in self.adapters.items()
                        if adapter_key.replica == key
                    ),
                )
                for key, entry in self.replicas.items()
            ),
            tuple(
                ListedCheckpoint(model, '1', tier)
                for model, tier in self.checkpoints.items()
            ),
        )

    def _on_fetched(self, key, entry):
        self.checkpoints[key.model] = Tier.DISK
        ms_per_mb = self.sizes.ms_per_mb[Tier.DISK]
        self.clock.call_later(
            entry.memory_mb * ms_per_mb, self._on_replica_ready, key, entry
        )

    def _on_replica_ready(self, key, entry):
        if self.replicas.get(key) is entry:
            entry.state = EngineState.READY
            entry.idle_since_ms = entry.last_used_ms = self.clock.now_ms
            self.on_change()

    def _on_adapter_ready(self, key):
        self.adapters_in_flight -= 1
        if key in self.adapters:
            self.adapters[key].state = EngineState.READY
            self.on_change()

    def _on_finished(self, entry, on_done, arguments):
        entry.running -= 1
        self.running -= 1
        entry.last_used_ms = self.clock.now_ms
        if not entry.running:
            entry.idle_since_ms = self.clock.now_ms
        on_done(*arguments)
