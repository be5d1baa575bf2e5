"""Tells the other routers which streams began, and asks them at a start."""

import asyncio
import random
from collections.abc import Callable, Iterable, Iterator, Sequence

import msgspec
import structlog

from lagoonflow.clock import MS_PER_S, boottime_ms, wall_clock_ms
from lagoonflow.declared.view import DeclaredView
from lagoonflow.gossip.entries import OriginEntry
from lagoonflow.gossip.join_messages import StreamsAnswer, StreamsQuery
from lagoonflow.gossip.members import Members, RouterMember
from lagoonflow.gossip.messages import OriginsState
from lagoonflow.gossip.transport import GossipSocket
from lagoonflow.platform.settings import PlatformSettings
from lagoonflow.resumption.decision import MIN_WINDOW_MS
from lagoonflow.resumption.joining import Joining, Neighbour, StreamsPage
from lagoonflow.resumption.messages import StreamOrigin
from lagoonflow.resumption.origins import StreamOrigins, size_bytes
from lagoonflow.resumption.versions import MAX_LIST_AGE_MS
from lagoonflow.time_limits import time_limit
from lagoonflow.wiring.platform_feeds import MembersFeed

# Bytes of the streams in one message, which also fits through a thin link soon.
MAX_PAGE_BYTES = 8192
# Time for a router to answer, in ms, and how often it is asked.
PROBE_TIMEOUT_MS = 250
PAGE_TIMEOUT_MS = 500
QUERY_TRIES = 2
# Stands for a query that asks for no streams.
NO_STREAMS = -1
# Routers that start at the same time can't answer each other at first.
JOIN_AGAIN_MS = 1000
MAX_JOINS = 3
# Routers report several times a second. One that has heard of none for so long,
# in ms, has missed streams that were announced meanwhile.
MISSED_AFTER_MS = 2500
# No stream that began before a router's start is taken up so long after it.
WHOLE_AFTER_MS = MIN_WINDOW_MS + MAX_LIST_AGE_MS

StreamMessage = OriginsState | StreamsQuery | StreamsAnswer


class OriginPublisher:
    """Tells the other routers at which software version streams began."""

    def __init__(
        self,
        settings: PlatformSettings,
        members: Members,
        origins: StreamOrigins,
        gossip: GossipSocket,
    ) -> None:
        """Start with nothing sent.

        :param members: the other routers.
        :param origins: streams of this router and of the others.
        """
        self._node = settings.node
        self._members = members
        self._origins = origins
        self._gossip = gossip

    def announce(self, origin: StreamOrigin) -> None:
        """Record a stream that begins, and send it to the others at once."""
        now_ms = boottime_ms()
        self._origins.record(origin, now_ms)
        self.publish_due(now_ms)

    def publish_due(self, now_ms: float) -> None:
        """Send the entries that are due."""
        for part in _in_parts(self._origins.take_due(now_ms)):
            message = OriginsState(self._node, _encode(part, now_ms))
            for member in self._members.present(now_ms):
                self._gossip.send(message, member.address)

    def receive(self, message: OriginsState, now_ms: float) -> None:
        """Learn the streams of another router."""
        for origin in _decode(message.origins, now_ms):
            self._origins.learn(origin, now_ms)


class JoinService:
    """Answers other routers' questions about streams, and asks its own."""

    def __init__(
        self,
        settings: PlatformSettings,
        members: Members,
        members_feed: MembersFeed,
        origins: StreamOrigins,
        view: DeclaredView,
        gossip: GossipSocket,
        on_known: Callable[[], None],
    ) -> None:
        """Know no streams yet.

        :param members: the other routers.
        :param members_feed: tells when their registrations were read.
        :param view: tells the version of the configuration in force, and learns
            which one others have.
        :param on_known: called when the streams are known, or nobody can tell.
        """
        self._node = settings.node
        self._zone = settings.zone
        self._members = members
        self._members_feed = members_feed
        self._origins = origins
        self._view = view
        self._gossip = gossip
        self._started_ms = wall_clock_ms()
        self._whole_at_ms = boottime_ms() + WHOLE_AFTER_MS
        self._joining = Joining(origins, self, boottime_ms, on_known)
        self._present: dict[str, RouterMember] = {}
        self._queries: dict[int, asyncio.Future[StreamsAnswer]] = {}
        self._next_query_id = 0
        self._heard_at_ms = float('inf')
        self._missed = asyncio.Event()
        self._log = structlog.get_logger(part='streams')

    async def run(self) -> None:
        """Learn the streams, and again after this router was cut off."""
        await self._members_feed.was_read.wait()
        while True:
            await self._join()
            await self._missed.wait()
            self._missed.clear()
            self._log.info('streams may have been missed')
            self._origins.repeat_own()

    def note_heard(self, now_ms: float) -> None:
        """Record that a message of another router has arrived."""
        if now_ms - self._heard_at_ms > MISSED_AFTER_MS:
            self._missed.set()
        self._heard_at_ms = now_ms

    def answer(self, query: StreamsQuery, sender: str) -> None:
        """Tell another router which streams this one knows of."""
        now_ms = boottime_ms()
        answer = StreamsAnswer(
            self._node,
            query.query_id,
            self._started_ms,
            self._joining.is_whole or now_ms >= self._whole_at_ms,
            len(self._origins),
            version=self._view.version,
            version_age_ms=_age_ms(self._view, now_ms),
        )
        if query.after >= 0:
            page = self._origins.page_after(query.after, MAX_PAGE_BYTES, now_ms)
            answer = msgspec.structs.replace(
                answer,
                origins=_encode(page.origins, now_ms),
                next_number=page.next_number,
                is_last=page.is_last,
            )
        self._gossip.send(answer, sender)

    def receive(self, answer: StreamsAnswer) -> None:
        """Hand an answer to the question that waits for it."""
        waiting = self._queries.pop(answer.query_id, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    # Called while the streams are learnt.

    def names(self) -> Iterable[str]:
        """Return the other routers, those of the own zone first."""
        present = self._members.present(boottime_ms())
        random.shuffle(present)
        present.sort(key=lambda member: member.zone != self._zone)
        self._present = {member.name: member for member in present}
        return list(self._present)

    async def probe(self, name: str) -> Neighbour | None:
        """Ask a router what it knows; ``None`` if it doesn't answer."""
        answer = await self._ask(name, NO_STREAMS, PROBE_TIMEOUT_MS)
        if answer is None:
            return None
        now_ms = boottime_ms()
        if answer.version >= 0:
            self._view.note_version_elsewhere(
                answer.version, now_ms - max(answer.version_age_ms, 0), now_ms
            )
        return Neighbour(
            name,
            answer.started_ms,
            answer.is_whole,
            answer.count,
            is_near=self._present[name].zone == self._zone,
        )

    async def page(self, name: str, after: int) -> StreamsPage | None:
        """Ask a router for streams; ``None`` if it doesn't answer."""
        answer = await self._ask(name, after, PAGE_TIMEOUT_MS)
        if answer is None:
            return None
        now_ms = boottime_ms()
        return StreamsPage(
            answer.started_ms,
            _decode(answer.origins, now_ms),
            answer.next_number,
            answer.is_last,
        )

    async def _join(self) -> None:
        for _ in range(MAX_JOINS):
            have_all_answered = await self._joining.join()
            self._log.info(
                'streams learnt',
                streams=len(self._origins),
                is_whole=self._joining.is_whole,
                routers=len(self._present),
            )
            if have_all_answered or self._joining.is_whole:
                return
            await asyncio.sleep(JOIN_AGAIN_MS / MS_PER_S)

    async def _ask(
        self, name: str, after: int, timeout_ms: float
    ) -> StreamsAnswer | None:
        for _ in range(QUERY_TRIES):
            self._next_query_id += 1
            query = StreamsQuery(self._node, self._next_query_id, after)
            answer = await self._ask_once(name, query, timeout_ms)
            if answer is not None:
                return answer
        return None

    async def _ask_once(
        self, name: str, query: StreamsQuery, timeout_ms: float
    ) -> StreamsAnswer | None:
        waiting = asyncio.get_running_loop().create_future()
        self._queries[query.query_id] = waiting
        self._gossip.send(query, self._present[name].address)
        try:
            async with time_limit(timeout_ms):
                return await waiting
        except TimeoutError:
            return None
        finally:
            self._queries.pop(query.query_id, None)


class StreamService:
    """Exchanges with the other routers which streams began at which version.

    :ivar announce: tells the others of a stream that begins.
    :ivar run: learns the streams from before the start, until cancelled.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        members: Members,
        members_feed: MembersFeed,
        origins: StreamOrigins,
        view: DeclaredView,
        gossip: GossipSocket,
        on_known: Callable[[], None],
    ) -> None:
        """Know no streams yet; the parameters are those of `JoinService`."""
        self._publisher = OriginPublisher(settings, members, origins, gossip)
        self._joining = JoinService(
            settings,
            members,
            members_feed,
            origins,
            view,
            gossip,
            on_known,
        )
        self.announce = self._publisher.announce
        self.publish_due = self._publisher.publish_due
        self.note_heard = self._joining.note_heard
        self.run = self._joining.run

    def receive(
        self, message: StreamMessage, now_ms: float, sender: str
    ) -> None:
        """Handle a message of another router.

        :param sender: address from which it came.
        """
        match message:
            case OriginsState():
                self._publisher.receive(message, now_ms)
            case StreamsQuery():
                self._joining.answer(message, sender)
            case StreamsAnswer():
                self._joining.receive(message)


def _in_parts(origins: Sequence[StreamOrigin]) -> Iterator[list[StreamOrigin]]:
    """Split streams into the parts of single messages."""
    part: list[StreamOrigin] = []
    part_bytes = 0
    for origin in origins:
        part_bytes += size_bytes(origin)
        if part and part_bytes > MAX_PAGE_BYTES:
            yield part
            part, part_bytes = [], size_bytes(origin)
        part.append(origin)
    if part:
        yield part


def _encode(
    origins: Iterable[StreamOrigin], now_ms: float
) -> tuple[OriginEntry, ...]:
    return tuple(
        OriginEntry(
            origin.request_id,
            origin.service,
            origin.software_version,
            int(origin.expires_at_ms - now_ms),
        )
        for origin in origins
    )


def _decode(
    entries: Iterable[OriginEntry], now_ms: float
) -> tuple[StreamOrigin, ...]:
    return tuple(
        StreamOrigin(
            entry.request_id,
            entry.service,
            entry.software_version,
            now_ms + entry.left_ms,
        )
        for entry in entries
    )


def _age_ms(view: DeclaredView, now_ms: float) -> int:
    """Return for how long the configuration has been in force, in ms."""
    return 0 if view.state is None else int(now_ms - view.applied_at_ms)
