"""Follows the agreed streams, from the log and from peers."""

import functools
import random
import uuid
from collections.abc import Callable

from lagoonflow.releases.state import ReleaseFold
from lagoonflow.results import Refusal
from lagoonflow.roster.messages import RosterChange
from lagoonflow.roster.records import encode_change
from lagoonflow.roster.state import RosterFold
from lagoonflow.streams.appender import StreamAppender
from lagoonflow.streams.following import FollowerSettings
from lagoonflow.streams.messages import (
    PullReply,
    PullRequest,
    Stream,
    Versions,
)
from lagoonflow.streams.ports import LogClient
from lagoonflow.streams.state import FoldBase
from lagoonflow.streams.task import StreamFollower
from lagoonflow.wire.peers import Peers
from lagoonflow.wire.services import PULL
from lagoonflow.wiring.background import Background

MS_PER_S = 1000
CHECKPOINTS_PER_RETENTION = 5
READ_BACK_TIMEOUT_MS = 5000


class AgreedStreams:
    """The folds of one process with the tasks that keep them current.

    :ivar releases: release notes in force.
    :ivar roster: members.
    """

    def __init__(
        self,
        log: LogClient,
        peers: Peers,
        find_peers: Callable[[], tuple[str, ...]],
        retention_s: int,
        roster: RosterFold,
    ) -> None:
        """Prepare; nothing is read before :meth:`start`."""
        self.releases = ReleaseFold()
        self.roster = roster
        self._log = log
        self._peers = peers
        self._find_peers = find_peers
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
        """Follow one more stream."""
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

    def start(self, background: Background) -> None:
        """Run the tasks."""
        for stream, follower in self.followers.items():
            background.start(f'follow {stream}', follower.run())
        for stream, appender in self.appenders.items():
            background.start(f'append {stream}', appender.run())

    def versions(self) -> Versions:
        """Return how far this process has folded the streams."""
        return Versions(
            self.releases.next_offset,
            self.roster.next_offset,
        )

    def hear(self, sender: str, versions: Versions) -> None:
        """Pull what is missing when the sender of a message is ahead."""
        pull = functools.partial(self._pull, sender)
        for stream in (Stream.RELEASES, Stream.ROSTER):
            self.followers[stream].behind(versions, pull)

    async def serve_pull(self, request: PullRequest) -> PullReply:
        """Return records that a peer misses."""
        return self.followers[request.stream].serve_pull(request)

    async def append_change(self, change: RosterChange) -> Refusal | None:
        """Append a roster change; return after it was read back."""
        appended = await self.appenders[Stream.ROSTER].append(
            encode_change(change, uuid.uuid4().hex),
        )
        if isinstance(appended, Refusal):
            return appended
        await self.followers[Stream.ROSTER].wait_for(
            appended.first_offset + 1,
            READ_BACK_TIMEOUT_MS,
        )
        return None

    async def _pull_from_any(self, request: PullRequest) -> PullReply | None:
        names = self._find_peers()
        if not names:
            return None
        return await self._pull(self._rng.choice(names), request)

    async def _pull(self, peer: str, request: PullRequest) -> PullReply | None:
        reply = await self._peers.send(peer, PULL, request)
        return None if isinstance(reply, Refusal) else reply
