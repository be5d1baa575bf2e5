"""Logs when the log service is lost, and when it is back."""

import structlog

from lagoonflow.clients.messages.common import Unavailable
from lagoonflow.clients.messages.log import ReadResult
from lagoonflow.streams.messages import Stream

LOG_LOST = 'streams: the log service does not answer'
LOG_BACK = 'streams: the log service answers again'

logger = structlog.get_logger()


class OutageLog:
    """Logs each outage once, however many reads fail.

    :param stream: stream that is read.
    """

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._is_lost = False

    def note(self, result: ReadResult) -> None:
        """Take the answer to a read."""
        is_lost = isinstance(result, Unavailable)
        if is_lost == self._is_lost:
            return
        self._is_lost = is_lost
        match result:
            case Unavailable(reason):
                logger.warning(LOG_LOST, stream=self._stream, reason=reason)
            case _:
                logger.info(LOG_BACK, stream=self._stream)
