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
        self._was_unavailable = False

    def observe(self, result: ReadResult) -> None:
        """Take the answer to a read."""
        is_unavailable = isinstance(result, Unavailable)
        if is_unavailable == self._was_unavailable:
            return
        self._was_unavailable = is_unavailable
        match result:
            case Unavailable(reason):
                logger.warning(LOG_LOST, stream=self._stream, reason=reason)
            case _:
                logger.info(LOG_BACK, stream=self._stream)
