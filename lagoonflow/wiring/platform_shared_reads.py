"""Reads of the metadata store that the routers of a zone do for each other."""

import asyncio
from collections.abc import Iterable

import prometheus_client as prometheus

from lagoonflow.backends.messages import BackendServer
from lagoonflow.clock import boottime_ms
from lagoonflow.declared.positions import Position
from lagoonflow.declared.records import KeyedRecord
from lagoonflow.declared.shared_reads import (
    AllRecords,
    ChangeFilter,
    Readers,
    ReadHistory,
    SharedPage,
    SharedReads,
    SharingLimits,
)
from lagoonflow.gossip.members import Members
from lagoonflow.gossip.topic_messages import (
    TopicAnswer,
    TopicEntry,
    TopicQuery,
)
from lagoonflow.gossip.transport import GossipSocket
from lagoonflow.platform.servers import EntryError, decode_server
from lagoonflow.platform.settings import PlatformSettings
from lagoonflow.platform.store import SERVERS_TOPIC
from lagoonflow.time_limits import time_limit

# A router in the same zone answers within this time, in ms; a lost datagram is
# sent once more.
ANSWER_TIMEOUT_MS = 150
QUERY_TRIES = 2
# Time between two questions about a topic, in ms.
POLL_INTERVAL_MS = 250


class ChangedServers:
    """Leaves out the entries of servers that repeat what is known."""

    def __init__(self) -> None:
        """Know no servers."""
        self._known: dict[str, BackendServer] = {}

    def select(
        self, records: tuple[KeyedRecord, ...]
    ) -> tuple[KeyedRecord, ...]:
        """Return the entries that differ, and those that were removed."""
        return tuple(record for record in records if self._is_change(record))

    def forget(self) -> None:
        """Take the next entry of each server as new."""
        self._known.clear()

    def _is_change(self, record: KeyedRecord) -> bool:
        before = self._known.pop(record.key, None)
        if record.value is None:
            return True
        try:
            server = decode_server(record.key, record.value)
        except EntryError:
            # It would take the place of the last one that names a server.
            if before is not None:
                self._known[record.key] = before
            return False
        self._known[record.key] = server
        return server != before


class SharedReadService:
    """Answers other routers' questions about topics, and asks its own."""

    def __init__(
        self,
        settings: PlatformSettings,
        members: Members,
        gossip: GossipSocket,
        registry: prometheus.CollectorRegistry,
    ) -> None:
        """Start with nothing read."""
        self._node = settings.node
        self._zone = settings.zone
        self._members = members
        self._gossip = gossip
        self._answers: dict[int, asyncio.Future[TopicAnswer]] = {}
        self._next_query_id = 0
        self._asked = prometheus.Counter(
            'lagoonflow_shared_reads',
            'Questions about a topic to another router, by outcome.',
            ['topic', 'outcome'],
            registry=registry,
        )
        self._histories: dict[str, ReadHistory] = {}

    def share(self, topic: str, max_age_ms: float) -> SharedReads:
        """Return the reads of a topic, and answer others' questions about it.

        :param max_age_ms: oldest usable proof that the topic has no more
            records.
        """
        changes: ChangeFilter = AllRecords()
        if topic == SERVERS_TOPIC:
            changes = ChangedServers()
        self._histories[topic] = ReadHistory(changes)
        return SharedReads(
            topic,
            Readers(topic, self._node),
            self._histories[topic],
            SharingLimits(max_age_ms, POLL_INTERVAL_MS),
            self._ask,
            self._zone_routers,
            boottime_ms,
        )

    def answer(self, query: TopicQuery, sender: str) -> None:
        """Tell another router what was read after its position."""
        history = self._histories.get(query.topic)
        if history is None:
            return
        position = Position(query.era, query.offset)
        page = history.after(position, boottime_ms())
        entries = tuple(
            TopicEntry(record.key, record.value) for record in page.records
        )
        message = TopicAnswer(
            self._node,
            query.query_id,
            entries,
            page.next_position.offset,
            page.age_ms,
            page.is_whole,
            page.next_position.era,
        )
        self._gossip.send(message, sender)

    def receive(self, answer: TopicAnswer) -> None:
        """Hand an answer to the read that waits for it."""
        waiting = self._answers.pop(answer.query_id, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    def _zone_routers(self) -> Iterable[str]:
        return [
            member.name
            for member in self._members.present(boottime_ms())
            if member.zone == self._zone
        ]

    async def _ask(
        self, router: str, topic: str, position: Position
    ) -> SharedPage | None:
        address = self._members.address_of(router)
        if address is None:
            return None
        for _ in range(QUERY_TRIES):
            answer = await self._ask_once(address, topic, position)
            if answer is not None:
                self._asked.labels(topic, 'answered').inc()
                records = tuple(
                    KeyedRecord(entry.key, entry.value)
                    for entry in answer.records
                )
                return SharedPage(
                    records,
                    Position(answer.era, answer.next_offset),
                    max(answer.age_ms, 0),
                    answer.is_whole,
                )
        self._asked.labels(topic, 'unanswered').inc()
        return None

    async def _ask_once(
        self, address: str, topic: str, position: Position
    ) -> TopicAnswer | None:
        self._next_query_id += 1
        query_id = self._next_query_id
        waiting = asyncio.get_running_loop().create_future()
        self._answers[query_id] = waiting
        query = TopicQuery(
            self._node, query_id, topic, position.offset, position.era
        )
        self._gossip.send(query, address)
        try:
            async with time_limit(ANSWER_TIMEOUT_MS):
                return await waiting
        except TimeoutError:
            return None
        finally:
            self._answers.pop(query_id, None)
