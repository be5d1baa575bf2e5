"""Local state of the log's streams, kept current from the log and peers."""

import asyncio
import functools
import random
from collections.abc import Callable

from lagoonflow.clients.messages.common import Unavailable
from lagoonflow.releases.state import ReleaseFold
from lagoonflow.results import Refusal
from lagoonflow.roster.state import RosterFold
from lagoonflow.roster.writer import RosterWriter
from lagoonflow.streams.appender import StreamAppender
from lagoonflow.streams.fold import FoldBase
from lagoonflow.streams.follower import StreamFollower
from lagoonflow.streams.follower_logic import FollowerSettings
from lagoonflow.streams.messages import (
    PullReply,
    PullRequest,
    Stream,
    Versions,
)
from lagoonflow.streams.ports import LogClient
from lagoonflow.wire.methods import PULL
from lagoonflow.wire.peer_client import PeerClient
from lagoonflow.wiring.background import BackgroundTasks

MS_PER_S = 1000
CHECKPOINTS_PER_RETENTION = 5
CATCH_UP_TIMEOUT_MS = 2000
CATCH_UP_RETRY_S = 0.5


class StreamFolds:
    """The folds of one process, with the tasks that keep them current.

    A fold is the state that results from all records of a stream.

    :ivar releases: fold of the release notes in force.
    :ivar roster: fold of the members.
    :ivar followers: reads each stream and updates its fold.
    :ivar appenders: appends to each stream.
    """

    def __init__(
        self,
        log: LogClient,
        peers: PeerClient,
        list_peers: Callable[[], tuple[str, ...]],
        retention_s: int,
        roster: RosterFold,
    ) -> None:
        """Follow releases and roster; :meth:`start` begins to read.

        :param log: reads from and appends to the log service.
        :param peers: sends messages to other processes.
        :param list_peers: returns the names of all other processes.
        :param retention_s: time for which the log keeps records; checkpoints
            are appended several times within it.
        :param roster: fold of the roster.
        """
        self.releases = ReleaseFold()
        self.roster = roster
        self._log = log
        self._peers = peers
        self._list_peers = list_peers
        self._rng = random.Random()
        self._settings = FollowerSettings(
            checkpoint_interval_ms=retention_s
            * MS_PER_S
            // CHECKPOINTS_PER_RETENTION,
        )
        self.followers: dict[Stream, StreamFollower] = {}
        self.appenders: dict[Stream, StreamAppender] = {}
        self.add(self.releases)
        self.add(self.roster)

    def add(self, fold: FoldBase) -> None:
        """Follow the stream of a fold too; call it before :meth:`start`."""
        appender = StreamAppender(
            fold.stream,
            self._log,
            lambda: fold.next_offset,
        )
        self.appenders[fold.stream] = appender
        self.followers[fold.stream] = StreamFollower(
            fold,
            self._log,
            settings=self._settings,
            pull=self._pull_from_any,
            appender=appender,
            versions=self.versions,
        )

    def start(self, background: BackgroundTasks) -> None:
        """Start the tasks that read and append."""
        for stream, follower in self.followers.items():
            background.start(f'follow {stream}', follower.run())
        for stream, appender in self.appenders.items():
            background.start(f'append {stream}', appender.run())

    def versions(self) -> Versions:
        """Return how far this process has read releases and roster."""
        return Versions(
            self.releases.next_offset,
            self.roster.next_offset,
        )

    def on_versions(self, sender: str, versions: Versions) -> None:
        """Pull missing records from the sender of a message if it has more.

        :param versions: how far the sender has read the streams.
        """
        pull = functools.partial(self._pull, sender)
        for stream in (Stream.RELEASES, Stream.ROSTER):
            self.followers[stream].pull_if_behind(versions, pull)

    async def serve_pull(self, request: PullRequest) -> PullReply:
        """Return the records of a stream that a peer has not read."""
        follower = self.followers.get(request.stream)
        if follower is None:
            return PullReply(self.versions())
        return follower.serve_pull(request)

    def roster_writer(self, writer_id: str) -> RosterWriter:
        """Return a writer for this process's changes of the roster.

        :param writer_id: unique for this start of the process.
        """
        return RosterWriter(
            writer_id,
            self.appenders[Stream.ROSTER],
            self.followers[Stream.ROSTER],
        )

    async def catch_up(self) -> None:
        """Read releases and roster up to their present ends, with retries.

        During an outage of the log service a peer's records are enough:
        nothing can be appended then, so no peer misses a change.
        """
        for stream in (Stream.RELEASES, Stream.ROSTER):
            while not await self._catch_up_with_log(stream):
                if await self._catch_up_with_peer(stream):
                    break
                await asyncio.sleep(CATCH_UP_RETRY_S)

    async def wait_for(self, versions: Versions, timeout_ms: int) -> None:
        """Wait until releases and roster have reached some versions.

        :param timeout_ms: longest wait for each stream; after it, the method
            returns without an error.
        """
        await self.followers[Stream.RELEASES].wait_for(
            versions.releases,
            timeout_ms,
        )
        await self.followers[Stream.ROSTER].wait_for(
            versions.roster,
            timeout_ms,
        )

    async def _catch_up_with_log(self, stream: Stream) -> bool:
        follower = self.followers[stream]
        answer = await self._log.read(stream, follower.fold.next_offset, 0)
        if isinstance(answer, Unavailable):
            return False
        return await follower.wait_for(answer.head, CATCH_UP_TIMEOUT_MS)

    async def _catch_up_with_peer(self, stream: Stream) -> bool:
        follower = self.followers[stream]
        request = PullRequest(
            stream,
            follower.fold.next_offset,
            self.versions(),
        )
        reply = await self._pull_from_any(request)
        if reply is None:
            return False
        follower.apply_reply(reply)
        return True

    async def _pull_from_any(self, request: PullRequest) -> PullReply | None:
        names = self._list_peers()
        if not names:
            return None
        return await self._pull(self._rng.choice(names), request)

    async def _pull(self, peer: str, request: PullRequest) -> PullReply | None:
        reply = await self._peers.send(peer, PULL, request)
        return None if isinstance(reply, Refusal) else reply
