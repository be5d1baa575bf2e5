"""Client of the gRPC methods of other members."""

import contextlib
import ssl
import time
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from typing import Any

from grpclib.client import Stream
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from lagoonflow.clock import MS_PER_S
from lagoonflow.results import Refusal, Result
from lagoonflow.time_limits import time_limit
from lagoonflow.wire.channel_pool import ChannelPool, Endpoint, PooledChannel
from lagoonflow.wire.connection_settings import ConnectionSettings
from lagoonflow.wire.message_limits import limit_messages
from lagoonflow.wire.methods import Method

Resolve = Callable[[str], Endpoint | None]

_RESULT_OF_STATUS = {
    Status.INVALID_ARGUMENT: Result.MALFORMED_MESSAGE,
    Status.UNIMPLEMENTED: Result.MALFORMED_MESSAGE,
    Status.PERMISSION_DENIED: Result.NOT_ALLOWED,
    Status.UNKNOWN: Result.BACKEND_FAILED,
    Status.INTERNAL: Result.BACKEND_FAILED,
}
# grpclib raises AttributeError on reading from a closed connection, AssertionError
# when a stream ends within a message, and NotImplementedError for compressed ones.
_CONNECTION_ERRORS = (
    OSError,
    ProtocolError,
    StreamTerminatedError,
    AttributeError,
    AssertionError,
    NotImplementedError,
)


class NotSentError(Exception):
    """The connection could not be opened, so nothing was sent."""


# Timeouts are among these failures: TimeoutError is an OSError.
_CONNECTION_FAILURES = (NotSentError, *_CONNECTION_ERRORS)
_FAILURES = (GRPCError, *_CONNECTION_FAILURES)


def _monotonic_ms() -> int:
    return time.monotonic_ns() // (MS_PER_S * MS_PER_S)


class PeerClient:
    """Calls gRPC methods of members by name.

    Failures are returned as refusals. Their ``not_run`` is true only when
    the message was never sent.
    """

    def __init__(
        self,
        resolve: Resolve,
        settings: ConnectionSettings | None = None,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        """Start without connections; they are opened on demand.

        :param resolve: returns the current address of a member's gRPC port,
            None for an unknown member.
        :param ssl_context: context for TLS; None connects without it.
        """
        self._resolve = resolve
        self._settings = settings or ConnectionSettings()
        self._ssl_context = ssl_context
        self._pools: dict[tuple[str, str], ChannelPool] = {}

    async def send(
        self,
        member_name: str,
        method: Method,
        message: Any,
        timeout_ms: int = 0,
    ) -> Any:
        """Call a unary method and return its reply or a refusal.

        :param timeout_ms: time limit of the call, in ms; 0 for
            ``call_timeout_ms`` of the settings.
        """
        timeout_ms = timeout_ms or self._settings.call_timeout_ms
        replies = self._call(member_name, method, message, timeout_ms, 'unary')
        async with contextlib.aclosing(replies) as received:
            reply = await anext(received, None)
        return reply or _unreachable('the call ended without a reply')

    async def stream(
        self,
        member_name: str,
        method: Method,
        message: Any,
        progress_timeout_ms: int,
    ) -> AsyncGenerator[Any, None]:
        """Call a streaming method and yield its replies.

        When the call fails, or no reply arrives in time, the last item is a
        refusal.

        :param progress_timeout_ms: longest time between replies, in ms.
        """
        replies = self._call(
            member_name, method, message, progress_timeout_ms, 'stream'
        )
        async with contextlib.aclosing(replies) as received:
            async for reply in received:
                yield reply

    def close_idle(self) -> None:
        """Close connections that were unused for the idle timeout."""
        now_ms = _monotonic_ms()
        for pool_key in list(self._pools):
            if self._pools[pool_key].close_idle(now_ms):
                self._pools.pop(pool_key)

    def close(self) -> None:
        """Close all connections at once, breaking open calls."""
        for pool in self._pools.values():
            pool.close()
        self._pools.clear()

    async def _call(
        self,
        member_name: str,
        method: Method,
        message: Any,
        timeout_ms: int,
        purpose: str,
    ) -> AsyncGenerator[Any, None]:
        pooled = self._acquire(member_name, purpose)
        if isinstance(pooled, Refusal):
            yield pooled
            return
        try:
            replies = self._replies(pooled, method, message, timeout_ms)
            async with _retire_on_failure(pooled, replies) as received:
                async for reply in received:
                    yield reply
        except _FAILURES as failure:
            yield _refusal_of(failure)
        finally:
            pooled.release(_monotonic_ms())

    async def _replies(
        self,
        pooled: PooledChannel,
        method: Method,
        message: Any,
        timeout_ms: int,
    ) -> AsyncGenerator[Any, None]:
        request = pooled.channel.request(
            method.path,
            method.cardinality,
            method.request_type,
            method.reply_type,
        )
        async with request as stream:
            await self._open(stream)
            limit_messages(stream)
            async with time_limit(timeout_ms):
                await stream.send_message(message, end=True)
            while True:
                async with time_limit(timeout_ms):
                    reply = await stream.recv_message()
                if reply is None:
                    break
                yield reply

    async def _open(self, stream: Stream[Any, Any]) -> None:
        timeout_ms = self._settings.connect_timeout_ms
        try:
            async with time_limit(timeout_ms):
                await stream.send_request()
        except _CONNECTION_ERRORS as broken:
            raise NotSentError(str(broken) or 'connection failed') from broken

    def _acquire(
        self, member_name: str, purpose: str
    ) -> PooledChannel | Refusal:
        endpoint = self._resolve(member_name)
        if endpoint is None:
            return Refusal(
                Result.NOT_A_MEMBER, f'{member_name} is not a member'
            )
        pool_key = (member_name, purpose)
        pool = self._pools.get(pool_key)
        if pool is None or pool.endpoint != endpoint:
            if pool is not None:
                pool.retire()
            pool = ChannelPool(endpoint, self._settings, self._ssl_context)
            self._pools[pool_key] = pool
        pooled = pool.acquire()
        if pooled is None:
            return Refusal(
                Result.TOO_MANY_CONNECTIONS,
                f'all connections to {member_name} are fully used',
            )
        return pooled


@contextlib.asynccontextmanager
async def _retire_on_failure(
    pooled: PooledChannel, replies: AsyncGenerator[Any, None]
) -> AsyncIterator[AsyncIterator[Any]]:
    try:
        async with contextlib.aclosing(replies) as received:
            yield received
    except _CONNECTION_FAILURES:
        pooled.retire()
        raise


def _unreachable(reason: str) -> Refusal:
    return Refusal(Result.BACKEND_UNREACHABLE, reason, not_run=False)


def _refusal_of(failure: Exception) -> Refusal:
    match failure:
        case NotSentError():
            return Refusal(Result.BACKEND_UNREACHABLE, str(failure))
        case GRPCError(status=status, message=message):
            code = _RESULT_OF_STATUS.get(status, Result.BACKEND_UNREACHABLE)
            return Refusal(code, message or status.name, not_run=False)
        case TimeoutError():
            return _unreachable('no reply in time')
    return _unreachable(str(failure) or 'the connection was lost')
