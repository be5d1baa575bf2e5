"""Bodies, faults and states of the model engine."""

import enum
from typing import Literal

import msgspec

from standins.faults import Faults

OrderKind = Literal['load', 'unload', 'load_adapter', 'unload_adapter']


class EngineFaults(Faults, frozen=True, kw_only=True):
    """Faults of the model engine.

    :param refuse_orders: answer every order with 423, without effect.
    :param order_delay_ms: delay before an order is handled, in ms.
    :param lose_order_answers: how many of the next orders take effect without
        an answer.
    :param late_order_ms: delay after which orders take effect, in ms; they get
        no answer.
    :param freeze_streams: send nothing more on the streams that are open now,
        once.
    :param fail_loads: how many of the next loads fail at their end.
    :param generate_error: how many of the next generate requests are answered
        with 500.
    """

    refuse_orders: bool = False
    order_delay_ms: float = 0
    lose_order_answers: int = 0
    late_order_ms: float = 0
    freeze_streams: bool = False
    fail_loads: int = 0
    generate_error: int = 0


class Order(msgspec.Struct, frozen=True):
    """One order; a repeated order id has no further effect.

    :param order_id: unique id of the order.
    :param fence: fencing number of the sender.
    :param kind: the operation to execute.
    :param model: name of the model.
    :param version: version of the model.
    :param checkpoint: name of the checkpoint in the weight store.
    :param memory_mb: memory that the load takes, in MB.
    :param adapter: name of the adapter, or an empty string.
    :param adapter_version: version of the adapter.
    """

    order_id: str
    fence: int
    kind: OrderKind
    model: str
    version: str
    checkpoint: str = ''
    memory_mb: float = 0
    adapter: str = ''
    adapter_version: str = ''


class GenerateBody(msgspec.Struct, frozen=True):
    """Body of a generate request.

    :param request_id: id of the request.
    :param model: name of the model.
    :param version: version of the model.
    :param prompt: the whole prompt.
    :param max_tokens: length limit of the whole answer, in tokens.
    :param adapter: name of the adapter, or an empty string.
    :param adapter_version: version of the adapter.
    :param priority: lower numbers start first.
    :param from_token: index of the first token to send.
    :param seed: accepted but ignored, as the text is deterministic.
    """

    request_id: str
    model: str
    version: str
    prompt: str
    max_tokens: int
    adapter: str = ''
    adapter_version: str = ''
    priority: int = 0
    from_token: int = 0
    seed: int = 0


class CancelBody(msgspec.Struct, frozen=True):
    """Body of a cancel request.

    :param request_id: id of the request to cancel.
    """

    request_id: str


class State(enum.StrEnum):
    """State of a replica or an adapter."""

    LOADING = 'loading'
    READY = 'ready'
    FAILED = 'failed'


class OrderRefused(Exception):
    """An order was refused and has no effect.

    :param status: HTTP status of the answer.
    :param reason: why it was refused.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
