"""Task that keeps a fold up to date with its stream."""

import asyncio
import functools
import random
from collections.abc import Callable

import structlog

from lagoonflow.clients.messages.common import Unavailable
from lagoonflow.clients.messages.log import Appended, ReadResult
from lagoonflow.clock import MS_PER_S, Clock, boottime_ms
from lagoonflow.results import Refusal
from lagoonflow.streams.appender import StreamAppender
from lagoonflow.streams.change_signal import ChangeSignal
from lagoonflow.streams.envelope import Record, decode_envelope
from lagoonflow.streams.fold import FoldBase
from lagoonflow.streams.follower_logic import (
    AppendCheckpoint,
    FollowAction,
    FollowerLogic,
    FollowerSettings,
    Pause,
    SendPullRequest,
)
from lagoonflow.streams.messages import (
    PullReply,
    PullRequest,
    Stream,
    Versions,
)
from lagoonflow.streams.outage_log import OutageLog
from lagoonflow.streams.peer_puller import PeerPuller
from lagoonflow.streams.ports import LogClient, Pull
from lagoonflow.time_limits import time_limit

TOO_LARGE = 'streams: the state is too large for a checkpoint'

logger = structlog.get_logger()


class StreamFollower:
    """Keeps a fold up to date with records from the log and from peers.

    :param fold: state of the stream; only this follower changes it.
    :param pull: requests missing records from any peer; None without peers.
    :param appender: appends checkpoints; None when only other
        processes append them.
    :param versions: returns how far this process has folded each stream.
    :ivar listeners: called after each change of the fold.
    """

    def __init__(
        self,
        fold: FoldBase,
        log: LogClient,
        *,
        settings: FollowerSettings | None = None,
        pull: Pull | None = None,
        appender: StreamAppender | None = None,
        versions: Callable[[], Versions] | None = None,
        rng: random.Random | None = None,
        clock: Clock = boottime_ms,
    ) -> None:
        self.fold = fold
        self.listeners: list[Callable[[], None]] = []
        self._log = log
        self._settings = settings or FollowerSettings()
        self._pull = pull
        self._appender = appender
        self._versions = versions or functools.partial(_own_versions, fold)
        self._clock = clock
        self._logic = FollowerLogic(
            fold, rng or random.Random(), self._settings, clock()
        )
        self._signal = ChangeSignal()
        self._outages = OutageLog(fold.stream)
        self._checkpoint_task: asyncio.Task[Appended | Refusal] | None = None
        self._puller = PeerPuller(self._pull_request, self.apply_reply)

    @property
    def is_log_available(self) -> bool:
        """Whether the last read of the log was answered."""
        return self._logic.is_log_available

    @property
    def is_current(self) -> bool:
        """Whether the last read of the log reached its head."""
        reader = self._logic.reader
        return (
            self.is_log_available
            and reader.is_at_head
            and not reader.is_waiting_for_checkpoint
        )

    @property
    def is_waiting_for_checkpoint(self) -> bool:
        """Whether records expired that only a checkpoint can replace."""
        return self._logic.reader.is_waiting_for_checkpoint

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        try:
            while True:
                await self._step()
        except asyncio.CancelledError:
            self._puller.stop()
            if self._checkpoint_task is not None:
                self._checkpoint_task.cancel()
            raise

    def serve_pull(self, request: PullRequest) -> PullReply:
        """Return the records that a peer lacks, or a checkpoint."""
        return self._logic.reader.serve_pull(request, self._versions())

    def apply_reply(self, reply: PullReply) -> bool:
        """Apply the records or the checkpoint that a peer sent.

        :returns: whether the fold has changed.
        """
        has_changed = self._logic.reader.apply_reply(reply)
        if has_changed:
            self._notify()
        return has_changed

    def pull_if_behind(self, peer: Versions, pull: Pull | None = None) -> bool:
        """Pull missing records when a peer has folded more of the stream.

        :param peer: how far the peer has folded each stream.
        :param pull: requests records from that peer; None for any peer.
        :returns: whether this process is behind the peer.
        """
        peer_offset = _offset_of(self.fold.stream, peer)
        if peer_offset <= self.fold.next_offset:
            return False
        self._puller.start(pull or self._pull)
        return True

    async def wait_for(self, next_offset: int, timeout_ms: int) -> bool:
        """Wait until the fold has reached an offset.

        :param timeout_ms: time limit, in ms.
        :returns: false when the fold has not reached it in time.
        """
        return await self._signal.wait_until(
            lambda: self.fold.next_offset >= next_offset, timeout_ms
        )

    async def wait_until_current(self, timeout_ms: int) -> bool:
        """Wait until a read has reached the head of the log.

        :param timeout_ms: time limit, in ms.
        :returns: false when no read has reached it in time.
        """
        return await self._signal.wait_until(
            lambda: self.is_current, timeout_ms
        )

    async def _step(self) -> None:
        before = self.fold.extent
        result = await self._read()
        actions = self._logic.on_read(self._clock(), result)
        self._outages.observe(result)
        self._signal.notify_all()
        if self.fold.extent != before:
            self._notify()
        for action in actions:
            await self._perform(action)

    async def _read(self) -> ReadResult:
        read = self._logic.next_read(self._clock())
        limit_ms = read.wait_ms + self._settings.answer_margin_ms
        try:
            async with time_limit(limit_ms):
                return await self._log.read(
                    self.fold.stream, read.offset, read.wait_ms, read.limit
                )
        except (OSError, TimeoutError) as error:
            return Unavailable(repr(error))

    async def _perform(self, action: FollowAction) -> None:
        match action:
            case Pause(duration_ms):
                await asyncio.sleep(duration_ms / MS_PER_S)
            case SendPullRequest():
                self._puller.start(self._pull)
            case AppendCheckpoint():
                self._start_checkpoint()

    def _start_checkpoint(self) -> None:
        if self._appender is None:
            return
        text = self.fold.checkpoint()
        envelope = decode_envelope(text)
        if envelope is None:
            stream = self.fold.stream.value
            logger.error(TOO_LARGE, stream=stream, chars=len(text))
            return
        record = Record(envelope.record_id, envelope.kind, envelope.body)
        self._checkpoint_task = asyncio.create_task(
            self._appender.append(record),
        )

    def _pull_request(self) -> PullRequest:
        return PullRequest(
            self.fold.stream, self.fold.next_offset, self._versions()
        )

    def _notify(self) -> None:
        self._signal.notify_all()
        for listener in self.listeners:
            listener()


def versions_of(offsets: dict[Stream, int]) -> Versions:
    """Return the next offsets as versions; 0 for missing streams."""
    return Versions(
        releases=offsets.get(Stream.RELEASES, 0),
        roster=offsets.get(Stream.ROSTER, 0),
    )


def _own_versions(fold: FoldBase) -> Versions:
    return versions_of({fold.stream: fold.next_offset})


def _offset_of(stream: Stream, versions: Versions) -> int:
    match stream:
        case Stream.RELEASES:
            return versions.releases
        case Stream.ROSTER:
            return versions.roster
        case _:
            return 0
