"""Why the connections of callers end."""

import asyncio
import enum

from lagoonflow.cancellations import is_cancelled
from lagoonflow.http1.channel import (
    Channel,
    ConnectionClosedError,
    is_writable,
)

# Errors that end what a call waits for: its own connection, or something else.
WAIT_ENDED_ERRORS = (asyncio.CancelledError, ConnectionClosedError)


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


class CallerState(enum.Enum):
    """What is known of a caller's side of its connection."""

    CONNECTED = 'sends and reads'
    # Looks the same for a caller that still reads and for one that has left.
    HALF_CLOSED = 'sends no more'
    GONE = 'the connection has ended'


def caller_state(channel: Channel) -> CallerState:
    """Return what is known of the caller's side of a connection."""
    if not is_writable(channel):
        return CallerState.GONE
    if channel.has_peer_closed:
        return CallerState.HALF_CLOSED
    return CallerState.CONNECTED


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


def ends_connection(
    error: ConnectionClosedError | asyncio.CancelledError, channel: Channel
) -> bool:
    """Return whether an error in a call ends its caller's connection.

    Otherwise it belongs to something that the call has waited for.
    """
    if isinstance(error, asyncio.CancelledError):
        return is_cancelled()
    return error.channel is channel
