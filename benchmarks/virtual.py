"""Virtual clock, engines and weight store for benchmarks of decisions."""

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

    def after(self, delay_ms, callback, *arguments):
        """Call back later."""
        at_ms = self.now_ms + max(0, round(delay_ms))
        event = (at_ms, next(self._sequence), callback, arguments)
        heapq.heappush(self._events, event)

    def run(self, until_ms):
        """Run all callbacks up to a time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
        self.now_ms = until_ms


class Store:
    """A weight store which paces starts and slows down when crowded."""

    def __init__(self, clock, rate_per_s, parallel, fetch_ms):
        self.clock = clock
        self.interval_ms = 1_000 / rate_per_s
        self.parallel = parallel
        self.fetch_ms = fetch_ms
        self.slowdown = 1
        self.fetches = 0
        self._next_start_ms = 0
        self._running = 0

    def fetch(self, size_mb, done, *arguments):
        """Fetch a checkpoint; calls ``done`` when it is there."""
        start_ms = max(self.clock.now_ms, self._next_start_ms)
        self._next_start_ms = start_ms + self.interval_ms
        delay_ms = start_ms - self.clock.now_ms
        self.clock.after(delay_ms, self._start, size_mb, done, arguments)

    def _start(self, size_mb, done, arguments):
        self.fetches += 1
        self._running += 1
        crowding = max(1, self._running / self.parallel)
        took_ms = self.fetch_ms * size_mb / 20_000 * crowding * self.slowdown
        self.clock.after(took_ms, self._finish, done, arguments)

    def _finish(self, done, arguments):
        self._running -= 1
        done(*arguments)


@dataclasses.dataclass
class Held:
    """A replica or an adapter in the memory of an engine."""

    memory_mb: int
    state: EngineState = EngineState.LOADING
    running: int = 0
    idle_since_ms: int = 0
    last_used_ms: int = 0


class Engine:
    """A model engine with local checkpoints."""

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
        """Memory of weights and adapters."""
        held = (*self.replicas.values(), *self.adapters.values())
        return sum(one.memory_mb for one in held)

    def order(self, order):
        """Take an order and answer it."""
        if order.fence < self.fence:
            return OrderAnswer(
                order.fence, Answer.STALE_FENCE, last_fence=self.fence
            )
        self.fence = order.fence
        match order:
            case actions.OrderLoad(replica=key, memory_mb=memory_mb):
                is_taken = self.load(key, memory_mb)
            case actions.OrderAdapterLoad(adapter=key, memory_mb=memory_mb):
                is_taken = self.load_adapter(key, memory_mb)
            case actions.OrderUnload(replica=key):
                is_taken = self.unload(key)
            case actions.OrderAdapterUnload(adapter=key):
                is_taken = self.adapters.pop(key, None) is not None
        answer = Answer.ACCEPTED if is_taken else Answer.NO_MEMORY
        return OrderAnswer(order.fence, answer)

    def load(self, key, memory_mb):
        """Load a replica from the nearest tier."""
        if key in self.replicas:
            return True
        if self.used_mb + memory_mb > self.sizes.memory_mb:
            self.overcommits += 1
            return False
        self.loads += 1
        held = Held(memory_mb)
        self.replicas[key] = held
        tier = self.checkpoints.get(key.model, Tier.REMOTE)
        if tier is Tier.REMOTE:
            self.store.fetch(memory_mb, self._fetched, key, held)
        else:
            per_mb = self.sizes.ms_per_mb[tier]
            self.clock.after(memory_mb * per_mb, self._ready, key, held)
        return True

    def unload(self, key):
        """Free the memory of a replica and its adapters."""
        held = self.replicas.pop(key, None)
        if held is not None and held.state is EngineState.READY:
            self.idle_ms += self.clock.now_ms - held.idle_since_ms
        for adapter in tuple(self.adapters):
            if adapter.replica == key:
                self.adapters.pop(adapter)
        return True

    def load_adapter(self, key, memory_mb):
        """Load an adapter; more than 30 at once slow each other down."""
        if key in self.adapters:
            return True
        if self.used_mb + memory_mb > self.sizes.memory_mb:
            self.overcommits += 1
            return False
        self.adapters[key] = Held(memory_mb)
        self.adapters_in_flight += 1
        crowding = max(1, self.adapters_in_flight / 30)
        self.clock.after(10 * crowding, self._adapter_ready, key)
        return True

    def generate(self, key, tokens, done, *arguments):
        """Run a sequence; returns the time to its first token."""
        held = self.replicas[key]
        if not held.running:
            self.idle_ms += self.clock.now_ms - held.idle_since_ms
        held.running += 1
        self.running += 1
        crowding = max(1, self.running / self.sizes.batch)
        first_ms = self.sizes.first_token_ms * crowding
        took_ms = first_ms + tokens * self.sizes.token_ms * crowding
        self.clock.after(
            took_ms, self._finish, held, done, (*arguments, first_ms, took_ms)
        )
        return first_ms

    def finish_idle(self):
        """Count the idle time up to now."""
        for held in self.replicas.values():
            if held.state is EngineState.READY and not held.running:
                self.idle_ms += self.clock.now_ms - held.idle_since_ms

    def is_ready(self, model, adapter=''):
        """Tell whether a request could start at once."""
        for key, held in self.replicas.items():
            if key.model == model and held.state is EngineState.READY:
                return not adapter or any(
                    one.adapter == adapter
                    and its.state is EngineState.READY
                    and one.replica == key
                    for one, its in self.adapters.items()
                )
        return False

    def listing(self):
        """Tell what the engine holds."""
        return Listing(
            f'epoch-{self.name}',
            self.sizes.memory_mb,
            self.fence,
            tuple(
                ListedReplica(
                    key.model,
                    key.version,
                    held.state,
                    held.memory_mb,
                    tuple(
                        ListedAdapter(
                            one.adapter, one.version, its.memory_mb, its.state
                        )
                        for one, its in self.adapters.items()
                        if one.replica == key
                    ),
                )
                for key, held in self.replicas.items()
            ),
            tuple(
                ListedCheckpoint(model, '1', tier)
                for model, tier in self.checkpoints.items()
            ),
        )

    def _fetched(self, key, held):
        self.checkpoints[key.model] = Tier.DISK
        per_mb = self.sizes.ms_per_mb[Tier.DISK]
        self.clock.after(held.memory_mb * per_mb, self._ready, key, held)

    def _ready(self, key, held):
        if self.replicas.get(key) is held:
            held.state = EngineState.READY
            held.idle_since_ms = held.last_used_ms = self.clock.now_ms
            self.on_change()

    def _adapter_ready(self, key):
        self.adapters_in_flight -= 1
        if key in self.adapters:
            self.adapters[key].state = EngineState.READY
            self.on_change()

    def _finish(self, held, done, arguments):
        held.running -= 1
        self.running -= 1
        held.last_used_ms = self.clock.now_ms
        if not held.running:
            held.idle_since_ms = self.clock.now_ms
        done(*arguments)
