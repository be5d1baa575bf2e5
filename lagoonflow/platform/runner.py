"""Reports of a model runner, and orders to it."""

import msgspec

from lagoonflow.backends.messages import RunnerReport
from lagoonflow.http1.client import ConnectionPool, WholeResponse, send_request
from lagoonflow.http1.messages import ExchangeError, ExchangeStage, RequestHead
from lagoonflow.platform.servers import (
    AvailableCopies,
    ModelEntry,
    held_models,
)
from lagoonflow.waking.messages import OrderKind, OrderOutcome, RunnerOrder

# A runner on the same host answers in a few ms.
REPORT_TIMEOUT_MS = 250
# An order is accepted or rejected at once; its work follows.
ORDER_TIMEOUT_MS = 300
IDENTITY_HEADER = b'instance-id'


class _Report(msgspec.Struct):
    models: list[ModelEntry] = []
    busy: bool = False
    born: int = 0
    # Counts the orders that were accepted since the start.
    sequence: int = 0
    queued: int = 0
    active: int = 0
    # Memory of running requests; cached prompts can yield.
    kv_used: int = 0
    kv_total: int = 0
    # MODEL/NAME@VERSION of adapters on their way.
    pending: list[str] = []
    available: AvailableCopies = msgspec.field(default_factory=AvailableCopies)


_OPERATIONS = {
    OrderKind.LOAD: 'model_load',
    OrderKind.UNLOAD: 'model_unload',
}
_OUTCOMES = {
    200: OrderOutcome.ALREADY_HOLDS,
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
}


class RunnerClient:
    """Calls the runner on this host.

    :param address: ``IP:port`` of the runner.
    :param holder: name of this host, the only one that orders the runner.
    """

    def __init__(self, address: str, holder: str) -> None:
        """Connect on demand."""
        self._pool = ConnectionPool(address)
        self._address = address.encode()
        self._holder = holder

    async def report(self) -> RunnerReport | None:
        """Return the runner's report; ``None`` when it gives none."""
        head = RequestHead(b'GET', b'/report', ((b'host', self._address),))
        try:
            answer = await send_request(
                self._pool, head, b'', REPORT_TIMEOUT_MS
            )
            return _decode_report(answer)
        except (ExchangeError, msgspec.MsgspecError):
            return None

    async def identify(self, health_check_path: str) -> str:
        """Return the identity of the runner's start; empty when unknown."""
        target = health_check_path.encode()
        head = RequestHead(b'GET', target, ((b'host', self._address),))
        try:
            answer = await send_request(
                self._pool, head, b'', REPORT_TIMEOUT_MS
            )
        except ExchangeError:
            return ''
        for name, text in answer.headers:
            if name.lower() == IDENTITY_HEADER:
                return text.decode('latin-1')
        return ''

    async def order(
        self, step: RunnerOrder, instance: str, fence: int
    ) -> OrderOutcome:
        """Give an order to one start of the runner.

        :param instance: identity of that start; others reject the order.
        :param fence: fencing token; never lower than one used before.
        """
        fields = _order_fields(step)
        fields['holder'] = self._holder
        fields['fencing_token'] = fence
        body = msgspec.json.encode(fields)
        headers = [
            (b'host', self._address),
            (b'content-type', b'application/json'),
            (b'content-length', str(len(body)).encode()),
            (b'expect-instance', instance.encode()),
        ]
        head = RequestHead(b'POST', b'/order', tuple(headers))
        try:
            answer = await send_request(
                self._pool, head, body, ORDER_TIMEOUT_MS
            )
        except ExchangeError as error:
            if error.stage is ExchangeStage.CONNECTING:
                return OrderOutcome.NOT_SENT
            return OrderOutcome.UNKNOWN
        return _OUTCOMES.get(answer.status, OrderOutcome.REJECTED)


def _decode_report(answer: WholeResponse) -> RunnerReport | None:
    if answer.status != 200:
        return None
    body = msgspec.json.decode(answer.body, type=_Report)
    return RunnerReport(
        started_ms=body.born,
        models=held_models(body.models),
        is_busy=body.busy,
        order_sequence=body.sequence,
        queued=body.queued,
        active=body.active,
        cache_used_tokens=body.kv_used,
        cache_total_tokens=body.kv_total,
        pending_adapters=frozenset(
            name.partition('@')[0] for name in body.pending
        ),
        in_memory=frozenset(body.available.in_memory),
        on_disk=frozenset(body.available.on_disk),
    )


def _order_fields(step: RunnerOrder) -> dict[str, object]:
    fields: dict[str, object] = {
        'operation': _OPERATIONS[step.kind],
        'model': step.model,
        # Carried out only while this many orders have been accepted.
        'precondition': step.after_sequence,
    }
    if step.adapter:
        fields['adapter'] = step.adapter
    return fields
