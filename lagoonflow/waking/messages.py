"""Orders to a runner, and their outcomes."""

import dataclasses
import enum


class OrderKind(enum.Enum):
    """What an order makes the runner do."""

    LOAD = 'load'
    UNLOAD = 'unload'


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerOrder:
    """An order to load or unload a model or an adapter.

    :param adapter: empty for the model itself.
    :param after_sequence: the runner's sequence number when the order was
        planned; the runner rejects the order if it has accepted another one
        since.
    :param cause: reason of the order, for the log.
    :param expected_ms: declared time of a model load, in ms.
    :param is_from_store: the model is loaded from the weight store.
    """

    kind: OrderKind
    model: str
    adapter: str
    after_sequence: int
    cause: str
    expected_ms: float = 0
    is_from_store: bool = False


class OrderOutcome(enum.Enum):
    """Outcome of an order."""

    ACCEPTED = 'accepted'
    ALREADY_HOLDS = 'already holds'
    CONFLICT = 'another order came first'
    FENCED = 'the fencing token is too low'
    REJECTED = 'rejected'
    UNKNOWN = 'no answer; it may be carried out later'
    NOT_SENT = 'not sent'
