"""Orders to a model engine and their results."""

import dataclasses
import enum
from typing import Literal

OrderKind = Literal['load', 'unload', 'load_adapter', 'unload_adapter']


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to load or unload a model or an adapter.

    :param order_id: unique id; an engine executes it at most once.
    :param fence: fencing number of the order.
    :param kind: what to load or unload.
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


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAccepted:
    """The engine accepted the order; its listing shows the progress.

    :param order_id: id of the order.
    """

    order_id: str


class OrderRefusal(enum.Enum):
    """Why an order had no effect."""

    CONFLICT = 'old fence'
    OUT_OF_MEMORY = 'out of memory'
    NOT_SENT = 'not sent'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRefused:
    """The order certainly had no effect.

    :param kind: cause of the refusal; CONFLICT means that the fencing number
        is lower than one that the engine has already seen.
    :param reason: what went wrong, for logs and error messages.
    """

    kind: OrderRefusal
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class OrderUnknown:
    """The order may take effect, now or later.

    :param reason: what went wrong, for logs and error messages.
    """

    reason: str


OrderResult = OrderAccepted | OrderRefused | OrderUnknown
