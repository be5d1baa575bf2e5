"""HTTP client with one connection per request, and errors as values."""

import asyncio
import contextlib
import re
from collections.abc import Callable

import h11

from lagoonflow.clients.exchange import (
    HttpAnswer,
    HttpFailure,
    HttpRequest,
)
from lagoonflow.http1.client import ClientConnection, ConnectionPool
from lagoonflow.http1.messages import (
    BodyFraming,
    ExchangeError,
    ExchangeStage,
    Headers,
    RequestHead,
    ResponseHead,
)
from lagoonflow.time_limits import time_limit

DEFAULT_MAX_CONNECTIONS = 256
CONNECT_TIMEOUT_MS = 1000
METHODS_WITHOUT_BODY = frozenset(('GET', 'HEAD'))
# Headers that the client sets itself.
OWN_HEADERS = frozenset(
    ('host', 'connection', 'content-length', 'transfer-encoding')
)
SAFE_TARGET = re.compile('/[!-~]*')
SAFE_METHOD = re.compile('[A-Z]+')


class HttpStream:
    """An answer whose body is read piece by piece.

    :param exchange: the exchange, whose answer has begun.
    """

    def __init__(self, exchange: '_Exchange') -> None:
        self.status = exchange.head.status
        self._exchange = exchange

    async def read(self, timeout_ms: float) -> bytes | HttpFailure:
        """Return the next piece, or an empty one after the end of the body.

        :param timeout_ms: time limit for the piece, in ms.
        """
        try:
            async with time_limit(timeout_ms):
                return await self._exchange.read_piece()
        except TimeoutError:
            return HttpFailure('no progress in time', True, True)
        except ExchangeError as error:
            return HttpFailure(str(error), was_sent=True)

    async def aclose(self) -> None:
        """Close the connection; may be called more than once."""
        self._exchange.close()


class HttpClient:
    """Sends requests to one server.

    :param address: `IP:port` of the server.
    :param max_connections: maximum number of concurrent requests; further
        ones wait.
    """

    def __init__(
        self,
        address: str,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ) -> None:
        self._address = address
        self._pool = ConnectionPool(address)
        self._places = asyncio.Semaphore(max_connections)
        self._exchanges: set[_Exchange] = set()

    async def call(self, request: HttpRequest) -> HttpAnswer | HttpFailure:
        """Send a request and read its whole answer."""
        exchange = self._begin()
        try:
            async with time_limit(request.timeout_ms):
                head = await exchange.open(request)
                body = await exchange.read_body(request.body_limit_bytes)
        except (TimeoutError, ExchangeError, h11.LocalProtocolError) as error:
            return exchange.failure(error)
        finally:
            exchange.close()
        return HttpAnswer(head.status, _decode_headers(head.headers), body)

    async def open(self, request: HttpRequest) -> HttpStream | HttpFailure:
        """Send a request and return once the answer's headers arrive."""
        exchange = self._begin()
        with contextlib.ExitStack() as on_failure:
            on_failure.callback(exchange.close)
            try:
                async with time_limit(request.timeout_ms):
                    await exchange.open(request)
            except (
                TimeoutError,
                ExchangeError,
                h11.LocalProtocolError,
            ) as error:
                return exchange.failure(error)
            on_failure.pop_all()
        return HttpStream(exchange)

    async def aclose(self) -> None:
        """Close all connections."""
        for exchange in list(self._exchanges):
            exchange.close()

    def _begin(self) -> '_Exchange':
        exchange = _Exchange(
            self._address, self._pool, self._places, self._exchanges.discard
        )
        self._exchanges.add(exchange)
        return exchange


class _Exchange:
    """One request and its answer, on a connection of their own.

    :param places: limits the number of exchanges.
    :param on_close: called once, with the exchange, when it ends.
    :ivar head: head of the answer, once it has arrived.
    """

    def __init__(
        self,
        address: str,
        pool: ConnectionPool,
        places: asyncio.Semaphore,
        on_close: Callable[['_Exchange'], None],
    ) -> None:
        self.head: ResponseHead | None = None
        self._on_close = on_close
        self._address = address
        self._pool = pool
        self._places = places
        self._connection: ClientConnection | None = None
        self._has_place = False
        self._was_sent = False
        self._is_closed = False

    async def open(self, request: HttpRequest) -> ResponseHead:
        """Send a request, and return the head of its answer.

        :raises ExchangeError: when the server doesn't answer.
        :raises h11.LocalProtocolError: when the request can't be sent.
        """
        head = _request_head(request, self._address)
        await self._places.acquire()
        self._has_place = True
        self._connection = await self._pool.connect(CONNECT_TIMEOUT_MS)
        self._was_sent = True
        await self._connection.send(head, request.body)
        self.head = await self._connection.read_head()
        return self.head

    async def read_body(self, max_bytes: int) -> bytes:
        """Return the whole body.

        :raises ExchangeError: when it is cut or too long, and when nothing
            tells where it ends, so that a cut one would look whole.
        """
        if self.head.framing is BodyFraming.UNTIL_CLOSE:
            reason = 'answer without a length'
            raise ExchangeError(ExchangeStage.ANSWERING, reason)
        return await self._connection.read_body(max_bytes)

    async def read_piece(self) -> bytes:
        """Return the next piece of the body, an empty one after the last.

        :raises ExchangeError: when the body is cut.
        """
        if self._is_closed:
            return b''
        piece = await self._connection.read_part()
        return b'' if piece is None else piece

    def failure(self, error: Exception) -> HttpFailure:
        """Return the failure that an error of the exchange is."""
        if isinstance(error, TimeoutError):
            return HttpFailure('no answer in time', self._was_sent, True)
        # A request that h11 rejects is rejected before its first byte.
        was_sent = self._was_sent and isinstance(error, ExchangeError)
        return HttpFailure(str(error), was_sent)

    def close(self) -> None:
        """End the exchange; may be called more than once."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._connection is not None:
            self._pool.discard(self._connection)
        if self._has_place:
            self._places.release()
        self._on_close(self)


def _request_head(request: HttpRequest, address: str) -> RequestHead:
    """Return the request line and headers to send; repeated ones are joined.

    A request without a body states a length of 0 if its method allows a body.

    :raises h11.LocalProtocolError: when the method or the target is malformed,
        or when a method that allows no body has one.
    """
    _check_request_line(request)
    headers = {'host': address, 'connection': 'close'}
    if request.body or request.method not in METHODS_WITHOUT_BODY:
        headers['content-length'] = str(len(request.body))
    for name, text in request.headers:
        key = name.lower()
        if key not in OWN_HEADERS:
            before = f'{headers[key]}, ' if key in headers else ''
            headers[key] = before + text
    target = request.target.replace('#', '%23')
    return RequestHead(
        request.method.encode(), target.encode(), _encode_headers(headers)
    )


def _check_request_line(request: HttpRequest) -> None:
    if not SAFE_METHOD.fullmatch(request.method):
        raise h11.LocalProtocolError('malformed method')
    if not SAFE_TARGET.fullmatch(request.target):
        raise h11.LocalProtocolError('malformed target')
    if request.body and request.method in METHODS_WITHOUT_BODY:
        raise h11.LocalProtocolError(f'{request.method} with a body')


def _encode_headers(headers: dict[str, str]) -> Headers:
    try:
        return tuple(
            (key.encode('ascii'), headers[key].encode('latin-1'))
            for key in headers
        )
    except UnicodeEncodeError as error:
        raise h11.LocalProtocolError('malformed header') from error


def _decode_headers(headers: Headers) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in headers
    )
