"""Appends changes of the roster and waits until they are read back."""

from lagoonflow.results import Refusal, Result
from lagoonflow.roster.messages import RosterChange
from lagoonflow.roster.records import encode_change
from lagoonflow.streams.appender import StreamAppender
from lagoonflow.streams.follower import StreamFollower

READ_BACK_TIMEOUT_MS = 10_000


class RosterWriter:
    """Writes to the roster stream on behalf of one process.

    :param writer_id: unique for this start of the process.
    """

    def __init__(
        self, writer_id: str, appender: StreamAppender, follower: StreamFollower
    ) -> None:
        """Prepare; appender and follower have to run beside."""
        self._writer_id = writer_id
        self._appender = appender
        self._follower = follower
        self._last_record = 0

    async def append(self, change: RosterChange) -> Refusal | None:
        """Append a change and return once it is folded in."""
        self._last_record += 1
        record_id = f'{self._writer_id}-{self._last_record}'
        appended = await self._appender.append(encode_change(change, record_id))
        if isinstance(appended, Refusal):
            return appended
        is_read_back = await self._follower.wait_for(
            appended.first_offset + 1, READ_BACK_TIMEOUT_MS
        )
        if is_read_back:
            return None
        return Refusal(
            Result.LOG_UNAVAILABLE,
            'The record was appended but not read back in time.',
            not_run=False,
        )
