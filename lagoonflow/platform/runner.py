"""Client of the model runner on the agent's host: reports and orders."""

import msgspec

from lagoonflow.backends.messages import RunnerReport
from lagoonflow.clock import boottime_ms
from lagoonflow.http1.client import ConnectionPool, WholeResponse, send_request
from lagoonflow.http1.messages import ExchangeError, ExchangeStage, RequestHead
from lagoonflow.platform.bounds import Count, check_server_id
from lagoonflow.platform.cold_times import parse_cold_time
from lagoonflow.platform.headers import (
    parse_limit,
    parse_load,
    parse_pause,
    says_leaving,
)
from lagoonflow.platform.servers import (
    AvailableCopies,
    ModelEntry,
    decode_held_models,
)
from lagoonflow.waking.messages import OrderKind, OrderOutcome, RunnerOrder

# A runner on the same host answers in a few ms, so a later answer counts as
# none.
REPORT_TIMEOUT_MS = 250
# Also short, since a runner accepts or rejects an order at once and carries it
# out afterwards.
ORDER_TIMEOUT_MS = 300
IDENTITY_HEADER = b'instance-id'
MAX_ANSWER_BYTES = 1_048_576
# Models of one report. Decoding as many as its length allows would stop the
# event loop.
MAX_REPORT_MODELS = 4096


class _Report(msgspec.Struct):
    models: list[ModelEntry] = []
    # Whether an order is in progress.
    busy: bool = False
    # Unix time of the start, in ms.
    born: Count = 0
    # Orders accepted since the start.
    sequence: Count = 0
    queued: Count = 0
    active: Count = 0
    # Cache of running requests, in tokens. Cached prompts aren't counted,
    # since they are evicted when running requests need the space.
    kv_used: Count = 0
    kv_total: Count = 0
    # Adapters that are being loaded, as MODEL/NAME@VERSION.
    pending: list[str] = []
    available: AvailableCopies = msgspec.field(default_factory=AvailableCopies)


_OPERATIONS = {
    OrderKind.LOAD: 'model_load',
    OrderKind.UNLOAD: 'model_unload',
}
_OUTCOMES_BY_STATUS = {
    200: OrderOutcome.ALREADY_HOLDS,
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
}


class RunnerClient:
    """Calls the runner on this host.

    :param address: ``IP:port`` of the runner.
    :param holder: name of this host; each order states it as the holder of
        the fencing token.
    """

    def __init__(self, address: str, holder: str) -> None:
        """Create the client; it connects on the first call."""
        self._pool = ConnectionPool(address)
        self._address = address.encode()
        self._holder = holder
        self._paused_until_ms = float('-inf')
        self._cold_until_ms = float('-inf')

    def is_paused(self, now_ms: float) -> bool:
        """Return whether the runner asked for no requests until later."""
        return now_ms < self._paused_until_ms

    def cold_for_ms(self, now_ms: float) -> float:
        """Return for how long the runner is cold by its answers, in ms."""
        return max(self._cold_until_ms - now_ms, 0)

    async def report(self) -> RunnerReport | None:
        """Read the runner's report; ``None`` when it gives no valid one."""
        head = RequestHead(b'GET', b'/report', ((b'host', self._address),))
        try:
            answer = await self._send(head, b'', REPORT_TIMEOUT_MS)
            return _decode_report(answer)
        except (ExchangeError, ValueError, RecursionError):
            return None

    async def identify(self, health_check_path: str) -> str:
        """Read the id of the runner's present start; empty when unknown.

        :param health_check_path: path of the health check, whose answer
            carries the id with any status.
        """
        target = health_check_path.encode()
        head = RequestHead(b'GET', target, ((b'host', self._address),))
        try:
            answer = await self._send(head, b'', REPORT_TIMEOUT_MS)
        except ExchangeError:
            return ''
        for name, text in answer.headers:
            if name.lower() == IDENTITY_HEADER:
                return _parse_identity(text)
        return ''

    async def order(
        self, order: RunnerOrder, instance: str, fence: int
    ) -> OrderOutcome:
        """Send an order to one start of the runner.

        :param instance: id of that start; any other start of the runner
            rejects the order.
        :param fence: fencing token; the runner rejects orders with a lower
            one than it has seen.
        :returns: outcome of the order; ``UNKNOWN`` when no answer arrived, as
            the runner may still carry the order out.
        """
        fields = _to_order_fields(order)
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
            answer = await self._send(head, body, ORDER_TIMEOUT_MS)
        except ExchangeError as error:
            if error.stage is ExchangeStage.CONNECTING:
                return OrderOutcome.NOT_SENT
            return OrderOutcome.UNKNOWN
        return _OUTCOMES_BY_STATUS.get(answer.status, OrderOutcome.REJECTED)

    async def _send(
        self, head: RequestHead, body: bytes, timeout_ms: float
    ) -> WholeResponse:
        answer = await send_request(
            self._pool, head, body, timeout_ms, MAX_ANSWER_BYTES
        )
        pause_ms = parse_pause(answer.status, answer.headers)
        if pause_ms is not None:
            until_ms = boottime_ms() + pause_ms
            self._paused_until_ms = max(self._paused_until_ms, until_ms)
        cold_ms = parse_cold_time(answer.headers)
        if cold_ms is not None:
            self._cold_until_ms = boottime_ms() + cold_ms
        return answer


def _parse_identity(text: bytes) -> str:
    try:
        return check_server_id(text.decode('latin-1').strip())
    except ValueError:
        return ''


def _decode_report(answer: WholeResponse) -> RunnerReport | None:
    # Each model is an object.
    if answer.status != 200 or answer.body.count(b'{') > MAX_REPORT_MODELS:
        return None
    body = msgspec.json.decode(answer.body, type=_Report)
    load = parse_load(answer.headers)
    return RunnerReport(
        started_ms=body.born,
        models=decode_held_models(body.models),
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
        is_leaving=says_leaving(answer.headers),
        limit_per_s=parse_limit(answer.headers),
        work_time_percent=None if load is None else load.work_time_percent,
    )


def _to_order_fields(order: RunnerOrder) -> dict[str, object]:
    fields: dict[str, object] = {
        'operation': _OPERATIONS[order.kind],
        'model': order.model,
        # The runner carries out the order only if it has accepted exactly this
        # many orders before; otherwise another order came first.
        'precondition': order.after_sequence,
    }
    if order.adapter:
        fields['adapter'] = order.adapter
    return fields
