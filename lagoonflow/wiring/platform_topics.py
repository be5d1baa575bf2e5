"""How a router reads the topics of the metadata store."""

import asyncio
import dataclasses
from collections.abc import Iterator
from typing import Protocol

from lagoonflow.declared.records import RecordPage, StoreFailure
from lagoonflow.declared.shared_reads import SharedReads
from lagoonflow.declared.topic_follower import TopicFollower
from lagoonflow.platform.store import (
    CONFIGURATION_TOPIC,
    CRASHES_TOPIC,
    MEMBERS_TOPIC,
    POLL_TIMEOUT_MARGIN_MS,
    SERVERS_TOPIC,
    StoreClient,
)
from lagoonflow.wiring.platform_shared_reads import (
    POLL_INTERVAL_MS,
    SharedReadService,
)

# Longest wait of one read of each topic, in ms. Every answer confirms that the
# configuration is current, so its wait bounds the age of that confirmation.
CONFIGURATION_WAIT_MS = 1200
SERVERS_WAIT_MS = 500
MEMBERS_WAIT_MS = 20_000
CRASHES_WAIT_MS = 20_000
# Pause after a page of records, in ms.
CONFIGURATION_GATHER_MS = 20
# Longest pause after a page of server entries, in ms. Entries arrive without
# end, since each is a heartbeat, and the store limits the rate of calls; the
# pause makes one read return many entries.
SERVERS_GATHER_MS = 1500
# Time for the read after one that got no answer, in ms.
SERVERS_RETRY_MS = 500
# With a shorter pause than this after a page of server entries, no time is left
# for asking another router.
MIN_SHARED_GATHER_MS = 500
# A router's proof that it has read everything is this much older, in ms, than
# the wait and the pause of its reads.
PROOF_MARGIN_MS = 500
MEMBERS_GATHER_MS = 300
CRASHES_GATHER_MS = 1000


class Feed(Protocol):
    """Handles the records of a topic."""

    def on_page(
        self, page: RecordPage, is_snapshot: bool, current_at_ms: float
    ) -> None:
        """Apply a page of records."""

    def on_failure(self, failure: StoreFailure) -> None:
        """Handle a failed read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Feeds:
    """Handlers of the records of all topics."""

    configuration: Feed
    servers: Feed
    members: Feed
    crashes: Feed


@dataclasses.dataclass(frozen=True, slots=True)
class _Reading:
    feed: Feed
    topic: str
    wait_ms: int
    gather_ms: int

    def share(self, service: SharedReadService) -> SharedReads | None:
        """Return the shared reads; ``None`` to read the store always."""
        is_listing = (
            self.topic == SERVERS_TOPIC
            and self.gather_ms >= MIN_SHARED_GATHER_MS
        )
        if self.topic != CONFIGURATION_TOPIC and not is_listing:
            return None
        max_age_ms = self.wait_ms + self.gather_ms + PROOF_MARGIN_MS
        return service.share(self.topic, max_age_ms)


def topic_followers(
    store: StoreClient,
    feeds: Feeds,
    shared_reads: SharedReadService,
    drain_ms: int,
    list_wanted: asyncio.Event,
) -> Iterator[TopicFollower]:
    """Return the followers of all topics.

    :param drain_ms: time after which a leaving server must get no requests.
    :param list_wanted: set when the list of servers is to be read at once.
    """
    readings = (
        _Reading(
            feeds.configuration,
            CONFIGURATION_TOPIC,
            CONFIGURATION_WAIT_MS,
            CONFIGURATION_GATHER_MS,
        ),
        _Reading(
            feeds.servers,
            SERVERS_TOPIC,
            SERVERS_WAIT_MS,
            gather_time_ms(drain_ms),
        ),
        _Reading(
            feeds.members, MEMBERS_TOPIC, MEMBERS_WAIT_MS, MEMBERS_GATHER_MS
        ),
        _Reading(
            feeds.crashes, CRASHES_TOPIC, CRASHES_WAIT_MS, CRASHES_GATHER_MS
        ),
    )
    for reading in readings:
        follower = TopicFollower(
            store,
            reading.topic,
            reading.wait_ms,
            reading.gather_ms,
            reading.feed.on_page,
            reading.feed.on_failure,
            is_urgent=reading.topic == CONFIGURATION_TOPIC,
            shared_reads=reading.share(shared_reads),
        )
        if reading.topic == SERVERS_TOPIC:
            follower.read_wanted = list_wanted
        yield follower


def gather_time_ms(drain_ms: int) -> int:
    """Return the pause after a page of server entries, in ms.

    It is short enough that the router notices a leaving server within
    ``drain_ms``, even when one read of the entries is lost, and, where that
    leaves enough of it, even when another router reads the entries for it.

    :param drain_ms: time after which a leaving server must get no requests.
    """
    lost_read_ms = SERVERS_WAIT_MS + POLL_TIMEOUT_MARGIN_MS + SERVERS_RETRY_MS
    gather_ms = min(max(drain_ms - lost_read_ms, 0), SERVERS_GATHER_MS)
    shared_ms = min(gather_ms, drain_ms - lost_read_ms - POLL_INTERVAL_MS)
    return shared_ms if shared_ms >= MIN_SHARED_GATHER_MS else gather_ms
