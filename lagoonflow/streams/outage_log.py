"""Logs the start and the end of outages of the log service."""

import structlog

from lagoonflow.clients.messages.common import Unavailable
from lagoonflow.clients.messages.log import ReadResult
from lagoonflow.streams.messages import Stream

LOG_UNAVAILABLE = 'streams: the log service does not answer'
LOG_AVAILABLE = 'streams: the log service answers again'

logger = structlog.get_logger()


class OutageLog:
    """Logs an outage when it starts and ends, not for each failed read.

    :param stream: stream that is read.
    """

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._was_unavailable = False

    def observe(self, result: ReadResult) -> None:
        """Log when the answer to a read starts or ends an outage."""
        is_unavailable = isinstance(result, Unavailable)
        if is_unavailable == self._was_unavailable:
            return
        self._was_unavailable = is_unavailable
        match result:
            case Unavailable(reason):
                logger.warning(
                    LOG_UNAVAILABLE, stream=self._stream, reason=reason
                )
            case _:
                logger.info(LOG_AVAILABLE, stream=self._stream)
