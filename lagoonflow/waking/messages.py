"""Orders to a runner, and what becomes of them."""

import dataclasses
import enum


class OrderKind(enum.Enum):
    """What the runner is told."""

    LOAD = 'load'
    UNLOAD = 'unload'


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerOrder:
    """The next order.

    :param adapter: empty for the model itself.
    :param cause: why, for the log.
    """

    kind: OrderKind
    model: str
    adapter: str
    after_sequence: int
    cause: str
    expected_ms: float = 0
    is_from_store: bool = False


class OrderOutcome(enum.Enum):
    """What became of an order."""

    ACCEPTED = 'accepted'
    ALREADY_HOLDS = 'already holds'
    CONFLICT = 'another order came first'
    FENCED = 'the fencing token is too low'
    REJECTED = 'rejected'
    UNKNOWN = 'no answer; it may be carried out later'
    NOT_SENT = 'not sent'
