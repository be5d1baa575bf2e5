"""Pool of gRPC channels to one member."""

import dataclasses
import ssl

from grpclib.client import Channel

from lagoonflow.wire.codec import MessagePackCodec
from lagoonflow.wire.connection_settings import ConnectionSettings

# HTTP/2 servers allow 100 streams on a connection by default.
MAX_CALLS_PER_CHANNEL = 90
MAX_CHANNELS_PER_MEMBER = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """Address of a member's gRPC port."""

    host: str
    port: int


class PooledChannel:
    """A gRPC channel with the number of calls that are open on it."""

    def __init__(self, channel: Channel) -> None:
        """Wrap a channel without open calls."""
        self.channel = channel
        self.open_calls = 0
        self.last_used_ms = 0
        self.is_retired = False

    def release(self, now_ms: int) -> None:
        """Record the end of a call; close if retired and without calls.

        :param now_ms: monotonic time, in ms.
        """
        self.open_calls -= 1
        self.last_used_ms = now_ms
        self._close_unused()

    def retire(self) -> None:
        """Accept no new calls, and close once the open ones have ended."""
        self.is_retired = True
        self._close_unused()

    def close(self) -> None:
        """Close at once, breaking open calls."""
        self.is_retired = True
        self.channel.close()

    def _close_unused(self) -> None:
        if self.is_retired and not self.open_calls:
            self.channel.close()


class ChannelPool:
    """A limited number of channels to one endpoint."""

    def __init__(
        self,
        endpoint: Endpoint,
        settings: ConnectionSettings,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        """Start without channels; they are opened on demand."""
        self.endpoint = endpoint
        self._settings = settings
        self._ssl_context = ssl_context
        self._channels: list[PooledChannel] = []

    def acquire(self) -> PooledChannel | None:
        """Return a channel for one more call, or None when all are full."""
        self._remove_retired()
        for pooled in self._channels:
            if pooled.open_calls < MAX_CALLS_PER_CHANNEL:
                pooled.open_calls += 1
                return pooled
        if len(self._channels) >= MAX_CHANNELS_PER_MEMBER:
            return None
        return self._open()

    def close_idle(self, now_ms: int) -> bool:
        """Close channels that were unused for the idle timeout.

        :returns: whether no channel is left.
        """
        idle_since_ms = now_ms - self._settings.idle_timeout_ms
        for pooled in self._channels:
            if not pooled.open_calls and pooled.last_used_ms < idle_since_ms:
                pooled.retire()
        self._remove_retired()
        return not self._channels

    def retire(self) -> None:
        """Retire all channels."""
        for pooled in self._channels:
            pooled.retire()

    def close(self) -> None:
        """Close all channels at once."""
        for pooled in self._channels:
            pooled.close()

    def _remove_retired(self) -> None:
        self._channels = [
            pooled for pooled in self._channels if not pooled.is_retired
        ]

    def _open(self) -> PooledChannel:
        channel = Channel(
            self.endpoint.host,
            self.endpoint.port,
            codec=MessagePackCodec(),
            ssl=self._ssl_context,
            config=self._settings.configuration(),
        )
        pooled = PooledChannel(channel)
        pooled.open_calls = 1
        self._channels.append(pooled)
        return pooled
