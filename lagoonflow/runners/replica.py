"""State of one replica and its adapters, with the replica's life cycle."""

import dataclasses
import enum

from transitions import Machine

from lagoonflow.placement.messages import Tier
from lagoonflow.runners.messages import AdapterKey, ReplicaKey


class State(enum.StrEnum):
    """States of a replica on its runner.

    A replica is reserved until its load is ordered, ordered until the engine
    accepts the order, and then loading until it is ready. A draining one
    runs queued requests but takes no new ones; an unloading one runs none.
    It is gone once the engine no longer lists it, and failed after too many
    failed loads.
    """

    RESERVED = 'reserved'
    ORDERED = 'ordered'
    LOADING = 'loading'
    READY = 'ready'
    DRAINING = 'draining'
    UNLOADING = 'unloading'
    GONE = 'gone'
    FAILED = 'failed'


class Event(enum.StrEnum):
    """Events that change the state of a replica."""

    ORDER = 'order'
    ACCEPT = 'accept'
    READY = 'become_ready'
    RETRY = 'retry'
    DRAIN = 'drain'
    RESUME = 'resume'
    UNLOAD = 'unload'
    VANISH = 'vanish'
    FAIL = 'fail'


_BEFORE_READY = (State.RESERVED, State.ORDERED, State.LOADING)
_LIVE = (*_BEFORE_READY, State.READY, State.DRAINING, State.UNLOADING)
_TRANSITIONS = (
    (Event.ORDER, (State.RESERVED,), State.ORDERED),
    (Event.ACCEPT, (State.ORDERED,), State.LOADING),
    (Event.READY, (State.ORDERED, State.LOADING), State.READY),
    (Event.RETRY, (State.ORDERED, State.LOADING), State.RESERVED),
    (Event.DRAIN, (State.READY,), State.DRAINING),
    (Event.RESUME, (State.DRAINING,), State.READY),
    (Event.UNLOAD, (State.READY, State.DRAINING), State.UNLOADING),
    (Event.VANISH, _LIVE, State.GONE),
    (Event.FAIL, _LIVE, State.FAILED),
)


def _build_machine() -> Machine:
    machine = Machine(
        model=None,
        states=[state.value for state in State],
        initial=State.RESERVED.value,
        auto_transitions=False,
    )
    for event, sources, target in _TRANSITIONS:
        names = [source.value for source in sources]
        machine.add_transition(event.value, names, target.value)
    return machine


_MACHINE = _build_machine()


@dataclasses.dataclass(slots=True)
class AdapterSlot:
    """What the agent knows about one adapter on a replica.

    :param is_ordered: whether its load was ordered or it was listed.
    :param is_ready: whether the engine has loaded it.
    :param is_draining: whether it is unloaded after its last request.
    :param listing_valid_from_ms: listings that were requested earlier are
        too old to say anything about it.
    :param retry_at_ms: when the next order may be sent.
    :param running: attempts that use it.
    """

    key: AdapterKey
    memory_mb: int
    checkpoint: str = ''
    is_ordered: bool = False
    is_ready: bool = False
    is_draining: bool = False
    listing_valid_from_ms: int = 0
    retry_at_ms: int = 0
    last_used_ms: int = 0
    running: int = 0


@dataclasses.dataclass(slots=True)
class ReplicaState:
    """What the agent knows about one replica.

    :param tier: nearest tier that had its checkpoint.
    :param predicted_ready_ms: when it should be ready, on the agent's clock.
    :param listing_valid_from_ms: listings that were requested earlier are
        too old to say anything about it.
    :param running: attempts that run on it.
    :param failures: loads that failed one after the other.
    :param permit_id: permit that was requested from the weight store's home;
        empty when none is needed or its load has ended.
    :param retry_at_ms: when the next order or permit request may be sent.
    :param needs_unload: whether the order to unload has to be sent.
    """

    key: ReplicaKey
    memory_mb: int
    checkpoint: str = ''
    decision_id: str = ''
    state: str = State.RESERVED.value
    tier: Tier = Tier.REMOTE
    created_at_ms: int = 0
    ordered_at_ms: int = 0
    predicted_ready_ms: int = 0
    predicted_load_ms: int = 0
    ready_at_ms: int = 0
    listing_valid_from_ms: int = 0
    last_used_ms: int = 0
    running: int = 0
    failures: int = 0
    permit_id: str = ''
    has_permit: bool = False
    permit_requested_at_ms: int = 0
    retry_at_ms: int = 0
    needs_unload: bool = False
    adapters: dict[AdapterKey, AdapterSlot] = dataclasses.field(
        default_factory=dict,
    )

    def fire(self, event: Event) -> None:
        """Change the state as an event demands.

        :raises transitions.MachineError: when the state doesn't allow it.
        """
        _MACHINE.events[event.value].trigger(self)

    @property
    def is_ready(self) -> bool:
        """Whether it takes new requests and runs them."""
        return self.state == State.READY

    @property
    def is_pending(self) -> bool:
        """Whether it isn't loaded yet and takes requests that wait for it."""
        return self.state in _BEFORE_READY

    @property
    def is_serving(self) -> bool:
        """Whether queued requests may start on it."""
        return self.state in {State.READY, State.DRAINING}

    @property
    def is_terminal(self) -> bool:
        """Whether it was removed, or its loads failed too often."""
        return self.state in {State.GONE, State.FAILED}
