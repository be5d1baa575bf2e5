"""Why the connections of callers end."""

import enum

from lagoonflow.cancellations import is_cancelled
from lagoonflow.http1.channel import Channel, ConnectionClosedError


class ConnectionEnd(enum.StrEnum):
    """Why a caller's connection has ended."""

    FINISHED = 'no further request is read'
    CALLER_CLOSED = 'the caller has closed it'
    CALLER_CUT = 'the caller took nothing'
    IDLE = 'closed as idle'
    PROCESS_STOP = 'the process stops'
    CANCELLED_INSIDE = 'what a request waited for was cancelled'
    OTHER_CONNECTION = 'another connection was closed'
    ERROR = 'an unexpected error'

    @property
    def is_from_inside(self) -> bool:
        """Whether neither the caller nor the stop of the process is the cause."""
        return self in {
            ConnectionEnd.CANCELLED_INSIDE,
            ConnectionEnd.OTHER_CONNECTION,
        }


def cancellation_end(channel: Channel, *, is_idle: bool) -> ConnectionEnd:
    """Return why the task of a connection got a ``CancelledError``.

    :param is_idle: the task was cancelled to close an idle connection.
    """
    if not is_cancelled():
        return ConnectionEnd.CANCELLED_INSIDE
    if channel.has_peer_closed:
        return ConnectionEnd.CALLER_CLOSED
    return ConnectionEnd.IDLE if is_idle else ConnectionEnd.PROCESS_STOP


def closed_end(
    error: ConnectionClosedError, channel: Channel, *, is_cut: bool
) -> ConnectionEnd:
    """Return why the task of a connection got a ``ConnectionClosedError``.

    :param is_cut: the caller was disconnected for taking nothing.
    """
    if error.channel is not channel:
        return ConnectionEnd.OTHER_CONNECTION
    return ConnectionEnd.CALLER_CUT if is_cut else ConnectionEnd.CALLER_CLOSED
