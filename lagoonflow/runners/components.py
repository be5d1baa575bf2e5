"""Wires the components of a runner and advances them together."""

from collections.abc import Iterator

from lagoonflow.results import Result
from lagoonflow.runners.adapters import Adapters
from lagoonflow.runners.announcement_builder import AnnouncementBuilder
from lagoonflow.runners.bids import Bidder
from lagoonflow.runners.keepalive import KeepAlive
from lagoonflow.runners.messages import Action, SendAnnouncement
from lagoonflow.runners.open_orders import MAX_ORDER_DELAY_MS, OpenOrders
from lagoonflow.runners.predictor import Predictor
from lagoonflow.runners.reconcile import Reconciler
from lagoonflow.runners.replica import ReplicaState, State
from lagoonflow.runners.replica_orders import ReplicaOrders
from lagoonflow.runners.replicas import Replicas
from lagoonflow.runners.runner_memory import RunnerMemory
from lagoonflow.runners.scheduler import Scheduler
from lagoonflow.runners.settings import Releases, RunnerSettings
from lagoonflow.runners.upgrades import Upgrades
from lagoonflow.streams.messages import Versions

UNREACHABLE_AFTER_FAILED_LISTINGS = 2
_TRANSIENT_STATES = frozenset((State.ORDERED, State.LOADING, State.UNLOADING))


class RunnerComponents:
    """The components of one runner.

    :ivar releases: release notes in force.
    :ivar versions: versions of roster and release notes that this process
        has applied.
    """

    def __init__(self, settings: RunnerSettings, releases: Releases) -> None:
        self.releases = releases
        self.versions = Versions()
        self.keep_alive = KeepAlive(settings.reload_weight)
        self.replicas = Replicas(
            RunnerMemory(0, settings.kv_room_mb, settings.adapter_room_mb),
            OpenOrders(settings.first_fence),
            Predictor(),
        )
        self.adapters = Adapters(self.replicas, settings.adapters_in_flight)
        self.scheduler = Scheduler(
            self.replicas, self.adapters, settings.max_running
        )
        self.bidder = Bidder(
            settings, self.replicas, self.scheduler, self.keep_alive
        )
        self.reconciler = Reconciler(self.replicas, self.adapters)
        self.announcements = AnnouncementBuilder(
            self.replicas, self.scheduler, settings.pressure_wait_ms
        )
        self._may_follow_another = settings.may_follow_another
        self._orders_allowed_from_ms: int | None = None
        self._failed_listings = 0
        self._replica_orders = ReplicaOrders(settings.agent, self.replicas)
        self._upgrades = Upgrades(
            self.replicas, self.adapters, self.bidder.obtainable_mb
        )

    @property
    def is_reconciled(self) -> bool:
        """Whether a listing of the engine has been applied."""
        return bool(self.reconciler.epoch)

    def may_send_orders(self, now_ms: int) -> bool:
        """Whether orders of an earlier agent can't take effect any more.

        It is false until the engine's first listing.
        """
        allowed_from_ms = self._orders_allowed_from_ms
        return allowed_from_ms is not None and now_ms >= allowed_from_ms

    @property
    def is_engine_unreachable(self) -> bool:
        """Whether the engine did not answer several polls in a row."""
        return self._failed_listings >= UNREACHABLE_AFTER_FAILED_LISTINGS

    def on_listing_failed(self, now_ms: int) -> tuple[Action, ...]:
        """Record that the engine did not answer a poll.

        Once it is unreachable, all bids are withdrawn, all queued attempts
        are refused, and the models are announced once, without replicas.
        """
        self._failed_listings += 1
        if not self.is_engine_unreachable:
            return ()
        self.bidder.withdraw_all()
        refused = [
            self.scheduler.refuse(
                entry, Result.STALE_LOCATION, 'The engine is unreachable.'
            )
            for entry in self.scheduler.queue
        ]
        if self._failed_listings > UNREACHABLE_AFTER_FAILED_LISTINGS:
            return tuple(refused)
        return (*refused, SendAnnouncement(self.announcements.models()))

    def on_listing_received(self, now_ms: int) -> tuple[Action, ...]:
        """Record that the engine answers.

        After the first listing, orders are held back until those of an
        earlier agent can't take effect any more.
        """
        was_unreachable = self.is_engine_unreachable
        self._failed_listings = 0
        if self._orders_allowed_from_ms is None:
            wait_ms = MAX_ORDER_DELAY_MS if self._may_follow_another else 0
            self._orders_allowed_from_ms = now_ms + wait_ms
        return (
            (SendAnnouncement(self.announcements.models()),)
            if was_unreachable
            else ()
        )

    def has_pending_changes(self) -> bool:
        """Whether a listing is needed to learn the outcome of a change."""
        if not self.is_reconciled or len(self.replicas.orders):
            return True
        return any(
            replica.state in _TRANSIENT_STATES or _has_pending_adapter(replica)
            for replica in self.replicas.table.values()
        )

    def unload_idle(self, now_ms: int) -> None:
        """Drain the replicas that were idle longer than their keep-alive."""
        for replica in tuple(self.replicas.table.values()):
            if self._is_idle_too_long(now_ms, replica):
                self.replicas.drain(replica)

    def advance(self, now_ms: int) -> tuple[Action, ...]:
        """Start upgrades and return the actions that are due.

        These are orders to the engine, refusals of attempts that would be
        late or have no replica, starts of generations, and announcements of
        changes. Nothing is due before the engine's first listing.
        """
        if not self.is_reconciled:
            return ()
        actions: list[Action] = []
        if self.may_send_orders(now_ms):
            self._upgrades.start_upgrades(now_ms, self.releases)
            actions.extend(self._due_orders(now_ms))
        actions.extend(self.scheduler.refuse_late(now_ms))
        actions.extend(self.scheduler.dispatch(now_ms))
        changed = self.announcements.changed_models(now_ms)
        if changed:
            actions.append(SendAnnouncement(changed))
        return tuple(actions)

    def _due_orders(self, now_ms: int) -> Iterator[Action]:
        self._request_adapters(now_ms)
        yield from self._replica_orders.due_actions(
            now_ms, self.scheduler.summarise_waiting, self.versions
        )
        yield from self.adapters.due_actions(now_ms)

    def _request_adapters(self, now_ms: int) -> None:
        targets = {entry.target: None for entry in self.scheduler.queue}
        for target in targets:
            name = target.adapter
            spec = self.releases.adapter(name) if name else None
            replica = self.replicas.find_serving(target.model) if spec else None
            if replica is not None and spec is not None:
                self.adapters.request(now_ms, replica, name, spec)

    def _is_idle_too_long(self, now_ms: int, replica: ReplicaState) -> bool:
        model = replica.key.model
        if not replica.is_ready or replica.running:
            return False
        if self.scheduler.summarise_waiting(model).count:
            return False
        tier = self.replicas.tier(replica.key)
        reload_ms = self.replicas.predictor.load_ms(
            model, tier, replica.memory_mb
        )
        keep_alive_ms = self.keep_alive.keep_alive_ms(model, reload_ms)
        return now_ms - replica.last_used_ms > keep_alive_ms


def _has_pending_adapter(replica: ReplicaState) -> bool:
    return any(not slot.is_ready for slot in replica.adapters.values())
