"""Timeouts and HTTP/2 settings of gRPC clients and servers."""

import dataclasses

from grpclib.config import Configuration

from lagoonflow.clock import MS_PER_S


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """Limits of one connection between two programs.

    Each end sends HTTP/2 pings while a call is open. It closes a connection
    whose other end stops responding after at most
    ``ping_interval_ms + ping_timeout_ms``.

    :param ping_interval_ms: time between pings, in ms.
    :param ping_timeout_ms: longest time to wait for the answer to a ping,
        in ms.
    :param connect_timeout_ms: longest time to open a connection, in ms.
    :param call_timeout_ms: longest time of a unary call, in ms.
    :param send_timeout_ms: longest time that a client which does not read
        may block a server's stream, in ms.
    :param stream_window_bytes: HTTP/2 flow control window of a stream: the
        most bytes that its receiver leaves unread.
    :param connection_window_bytes: the same for all streams together.
    :param idle_timeout_ms: time after which a connection without calls is
        closed, in ms.
    """

    ping_interval_ms: int = 1000
    ping_timeout_ms: int = 3000
    connect_timeout_ms: int = 1000
    call_timeout_ms: int = 2000
    send_timeout_ms: int = 30_000
    stream_window_bytes: int = 65_536
    connection_window_bytes: int = 16_777_216
    idle_timeout_ms: int = 60_000

    def configuration(self) -> Configuration:
        """Return the settings as a grpclib configuration."""
        interval_s = self.ping_interval_ms / MS_PER_S
        return Configuration(
            _keepalive_time=interval_s,
            _keepalive_timeout=self.ping_timeout_ms / MS_PER_S,
            _http2_max_pings_without_data=0,
            _http2_min_sent_ping_interval_without_data=interval_s / 2,
            http2_stream_window_size=self.stream_window_bytes,
            http2_connection_window_size=self.connection_window_bytes,
        )
