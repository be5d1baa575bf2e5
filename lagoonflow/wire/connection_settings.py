"""HTTP/2 settings that both ends of a connection share."""

import dataclasses

from grpclib.config import Configuration

from lagoonflow.clock import MS_PER_S


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """Limits of one connection between two programs.

    A connection carries pings while a call is open on it, so that one which
    has gone silent is closed after ``ping_interval_ms + ping_timeout_ms``.

    :param connect_timeout_ms: longest time to open a connection.
    :param call_timeout_ms: longest time of a unary call.
    :param send_timeout_ms: longest time a reader may block a server's stream.
    :param stream_window_bytes: unread bytes that a stream may hold back.
    :param connection_window_bytes: the same for all streams together.
    :param idle_timeout_ms: unused connections are closed after it.
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
        """Translate the settings into those of grpclib."""
        interval_s = self.ping_interval_ms / MS_PER_S
        return Configuration(
            _keepalive_time=interval_s,
            _keepalive_timeout=self.ping_timeout_ms / MS_PER_S,
            _http2_max_pings_without_data=0,
            _http2_min_sent_ping_interval_without_data=interval_s / 2,
            http2_stream_window_size=self.stream_window_bytes,
            http2_connection_window_size=self.connection_window_bytes,
        )
