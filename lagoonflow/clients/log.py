"""Client of the append-only log service."""

import dataclasses

from lagoonflow.clients.exchange import (
    DEFAULT_TIMEOUT_MS,
    HttpAnswer,
    HttpFailure,
    HttpRequest,
    decode_json,
    describe_status,
    post_json,
    retry_after_ms,
)
from lagoonflow.clients.http import HttpClient
from lagoonflow.clients.messages.common import Unavailable
from lagoonflow.clients.messages.log import (
    Appended,
    AppendRefused,
    AppendResult,
    AppendUnknown,
    Batch,
    Expired,
    ReadResult,
)

OK = 200
GONE = 410
FIRST_SERVER_ERROR = 500
DEFAULT_LIMIT = 1000
DEFAULT_WAIT_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class AppendBody:
    """JSON body of an append request.

    :param records: texts to append, in order.
    """

    records: tuple[str, ...]


class LogClient:
    """Appends to and reads from the streams of the log service.

    :param address: `IP:port` of the log service.
    """

    def __init__(self, address: str) -> None:
        self._http = HttpClient(address)

    async def append(
        self,
        stream: str,
        records: tuple[str, ...],
        timeout_ms: float = DEFAULT_TIMEOUT_MS,
    ) -> AppendResult:
        """Append records to a stream, in one request.

        :param stream: name of the stream.
        :param records: texts to append, in order.
        :param timeout_ms: time limit for the answer, in ms.
        """
        target = f'/streams/{stream}/records'
        request = post_json(target, AppendBody(records), timeout_ms)
        answer = await self._http.call(request)
        if isinstance(answer, HttpAnswer):
            return _append_result(answer)
        return _append_failure(answer)

    async def read(
        self,
        stream: str,
        offset: int,
        wait_ms: int = DEFAULT_WAIT_MS,
        limit: int = DEFAULT_LIMIT,
    ) -> ReadResult:
        """Read records from an offset on, waiting for at least one.

        :param stream: name of the stream.
        :param offset: offset of the first record wanted.
        :param wait_ms: longest time to wait for a record, in ms.
        :param limit: maximum number of records to return.
        """
        query = f'offset={offset}&limit={limit}&wait_ms={wait_ms}'
        request = HttpRequest(
            'GET',
            f'/streams/{stream}/records?{query}',
            timeout_ms=wait_ms + DEFAULT_TIMEOUT_MS,
        )
        answer = await self._http.call(request)
        if isinstance(answer, HttpFailure):
            return Unavailable(answer.reason)
        return _read_result(answer)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._http.aclose()


def _append_result(answer: HttpAnswer) -> AppendResult:
    if answer.status == OK:
        appended = decode_json(answer.body, Appended)
        if isinstance(appended, HttpFailure):
            return AppendUnknown(appended.reason)
        return appended
    reason = describe_status(answer)
    if answer.status >= FIRST_SERVER_ERROR:
        return AppendUnknown(reason)
    return AppendRefused(reason, retry_after_ms(answer))


def _append_failure(failure: HttpFailure) -> AppendResult:
    if failure.was_sent:
        return AppendUnknown(failure.reason)
    return AppendRefused(failure.reason)


def _read_result(answer: HttpAnswer) -> ReadResult:
    if answer.status == OK:
        result = decode_json(answer.body, Batch)
    elif answer.status == GONE:
        result = decode_json(answer.body, Expired)
    else:
        return Unavailable(describe_status(answer))
    if isinstance(result, HttpFailure):
        return Unavailable(result.reason)
    return result
