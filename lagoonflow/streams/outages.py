"""Logs when a stream of the log service is lost and found again."""

import structlog

from lagoonflow.platform.messages.common import Unavailable
from lagoonflow.platform.messages.log import ReadResult
from lagoonflow.streams.messages import Stream

LOG_LOST = 'streams: the log service does not answer'
LOG_BACK = 'streams: the log service answers again'

logger = structlog.get_logger()


class OutageLog:
    """Logs the begin and the end of each outage once."""

    def __init__(self, stream: Stream) -> None:
        """Start without an outage."""
        self._stream = stream.value
        self._has_outage = False

    def note(self, result: ReadResult) -> None:
        """Take the answer to a read."""
        is_outage = isinstance(result, Unavailable)
        if is_outage and not self._has_outage:
            logger.warning(LOG_LOST, stream=self._stream, reason=result.reason)
        elif self._has_outage and not is_outage:
            logger.info(LOG_BACK, stream=self._stream)
        self._has_outage = is_outage
