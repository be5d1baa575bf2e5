"""Shares crashes of servers with the other routers, and with later ones."""

import asyncio
import random

import msgspec
import structlog

from lagoonflow.clock import MS_PER_S, boottime_ms, wall_clock_ms
from lagoonflow.crashes.blame import Blame
from lagoonflow.crashes.calls import CallSuspicion
from lagoonflow.crashes.evidence import CrashEvidence
from lagoonflow.crashes.guard import CrashGuard
from lagoonflow.crashes.trials import TrialTurns
from lagoonflow.declared.records import RecordPage, StoreFailure
from lagoonflow.gossip.members import Members
from lagoonflow.gossip.messages import CrashEntry, CrashesState
from lagoonflow.gossip.transport import GossipSocket
from lagoonflow.platform.settings import PlatformSettings
from lagoonflow.platform.store import CRASHES_TOPIC, StoreClient

# Crashes are written at most this often, in ms; routers that run learn of them
# by datagrams, and those that start later read them.
SAVE_INTERVAL_MS = 400
# Delay before a failed write is retried, in ms; varied by 30 %.
SAVE_RETRY_MS = 600
_ENTRIES = msgspec.json.Decoder(tuple[CrashEntry, ...])


def build_crash_guard(
    node: str, members: Members, evidence: CrashEvidence
) -> CrashGuard:
    """Return a guard whose trials are shared with the other routers.

    :param node: name of this router.
    """

    def other_routers() -> list[str]:
        return [one.name for one in members.present(boottime_ms())]

    turns = TrialTurns(node, other_routers, wall_clock_ms())
    return CrashGuard(evidence, turns)


class CrashesFeed:
    """Learns the crashes that routers have written to the metadata store.

    :ivar has_read: whether the topic was read since the start.
    """

    def __init__(self, evidence: CrashEvidence) -> None:
        """Start with nothing read."""
        self.has_read = asyncio.Event()
        self._evidence = evidence
        self._log = structlog.get_logger(part='crashes')

    def on_page(
        self, page: RecordPage, is_snapshot: bool, current_at_ms: float
    ) -> None:
        """Learn the crashes of a page; each record holds those of a router."""
        for record in page.records:
            if record.value is None:
                continue
            try:
                entries = _ENTRIES.decode(record.value)
            except (ValueError, RecursionError) as error:
                self._log.warning(
                    'record ignored', key=record.key, why=str(error)
                )
                continue
            self.learn(entries)
        if page.may_be_older:
            self._evidence.has_unsaved = True
        self.has_read.set()

    def on_failure(self, failure: StoreFailure) -> None:
        """Ignore a failed read; what is known stays."""

    def learn(self, entries: tuple[CrashEntry, ...]) -> None:
        """Add entries of another router."""
        wall_ms = wall_clock_ms()
        for entry in entries:
            self._evidence.learn(entry, wall_ms)


class CrashPublisher:
    """Sends crashes to the other routers and writes them to the store."""

    def __init__(
        self,
        settings: PlatformSettings,
        members: Members,
        evidence: CrashEvidence,
        gossip: GossipSocket,
        store: StoreClient,
        feed: CrashesFeed,
    ) -> None:
        """Start with nothing sent or written.

        :param feed: tells when the store's crashes were read. This router's
            record is written only then, as it replaces the one before.
        """
        self._node = settings.node
        self._members = members
        self._evidence = evidence
        self._gossip = gossip
        self._store = store
        self._feed = feed
        self._log = structlog.get_logger(part='crashes')
        self._blames: tuple[Blame, ...] = ()
        self._suspicions: tuple[CallSuspicion, ...] = ()

    def publish_due(self, now_ms: float) -> bool:
        """Send the entries that are due to the other routers.

        :returns: whether other parts or requests are suspected than before.
        """
        self._evidence.drop_expired(wall_clock_ms())
        self._send_due(now_ms)
        has_blame = self._note_blames(self._evidence.blames())
        has_suspicion = self._note_suspicions(self._evidence.suspicions())
        return has_blame or has_suspicion

    async def save(self) -> None:
        """Write the crashes that this router has seen until cancelled."""
        await self._feed.has_read.wait()
        while True:
            delay_ms: float = SAVE_INTERVAL_MS
            if self._evidence.has_unsaved:
                delay_ms = await self._save_once()
            await asyncio.sleep(delay_ms / MS_PER_S)

    def _note_suspicions(self, suspicions: tuple[CallSuspicion, ...]) -> bool:
        if suspicions == self._suspicions:
            return False
        self._suspicions = suspicions
        self._log.info(
            'requests that crash servers',
            suspected=[
                {
                    'fingerprint': one.fingerprint,
                    'crashes': len(one.crash_ids),
                    'failed_trials': one.failed_trials,
                    'blamed': one.is_blamed,
                }
                for one in suspicions
            ],
        )
        return True

    def _note_blames(self, blames: tuple[Blame, ...]) -> bool:
        if blames == self._blames:
            return False
        self._blames = blames
        self._log.info(
            'prompt parts that crash servers',
            blamed=[
                {'parts': sorted(one.parts), 'crashes': len(one.crashed_at_ms)}
                for one in blames
            ],
        )
        return True

    def _send_due(self, now_ms: float) -> None:
        due = self._evidence.take_due(now_ms)
        if not due:
            return
        message = CrashesState(self._node, due)
        for member in self._members.present(now_ms):
            self._gossip.send(message, member.address)

    async def _save_once(self) -> float:
        """Write all known crashes; return the delay until the next write."""
        self._evidence.has_unsaved = False
        entries = self._evidence.entries_to_save(wall_clock_ms())
        if not entries:
            return SAVE_INTERVAL_MS
        began_ms = boottime_ms()
        record = msgspec.json.encode(entries)
        written = await self._store.append(CRASHES_TOPIC, self._node, record)
        if not isinstance(written, StoreFailure):
            self._log.info(
                'crashes written',
                crashes=len(entries),
                took_ms=int(boottime_ms() - began_ms),
            )
            return SAVE_INTERVAL_MS
        self._evidence.has_unsaved = True
        self._log.warning('crashes not written', reason=written.reason)
        return SAVE_RETRY_MS * random.uniform(0.7, 1.3)
