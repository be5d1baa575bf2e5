"""Appends changes of the roster and waits until they are folded in."""

from lagoonflow.results import Refusal, Result
from lagoonflow.roster.messages import RosterChange
from lagoonflow.roster.records import encode_change
from lagoonflow.streams.appender import StreamAppender
from lagoonflow.streams.follower import StreamFollower

READ_BACK_TIMEOUT_MS = 10_000


class RosterWriter:
    """Appends the changes that one process makes to the roster.

    :param writer_id: unique id of this run of the process; record ids start
        with it.
    :param appender: appends to the roster stream; the caller runs it.
    :param follower: follows the roster stream; the caller runs it.
    """

    def __init__(
        self, writer_id: str, appender: StreamAppender, follower: StreamFollower
    ) -> None:
        """Set up the writer."""
        self._writer_id = writer_id
        self._appender = appender
        self._follower = follower
        self._record_count = 0

    async def append(self, change: RosterChange) -> Refusal | None:
        """Append a change and return once it is folded into the roster.

        :returns: a refusal when the change was not appended, or was not
            read back within ``READ_BACK_TIMEOUT_MS``.
        """
        self._record_count += 1
        record_id = f'{self._writer_id}-{self._record_count}'
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
