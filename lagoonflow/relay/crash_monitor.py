"""Checks whether servers whose connections ended have crashed."""

import asyncio
import dataclasses
from collections.abc import Coroutine
from typing import Any

import structlog

from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.messages import BackendServer
from lagoonflow.clock import MS_PER_S, boottime_ms, wall_clock_ms
from lagoonflow.crashes.evidence import CrashEvidence
from lagoonflow.crashes.watch import SURVIVAL_MS, BrokenSend, CrashWatch
from lagoonflow.http1.client import ClientConnection, ConnectionPool
from lagoonflow.http1.messages import ExchangeError

# A server whose process runs accepts a connection within this time.
CHECK_TIMEOUT_MS = 400
# A part of a prompt that crashes its server does so within this time of a
# whole answer.
PART_SURVIVAL_MS = 1000
# A server that closes the connection of an answer is checked after this time,
# before the answer is too old to be suspected.
SURVIVAL_CHECK_MS = 0.8 * SURVIVAL_MS


@dataclasses.dataclass(frozen=True, slots=True)
class AnsweredSend:
    """A request that a server has answered whole.

    :param parts: shared parts of its prompt.
    :param fingerprint: what the request has in common with its repeats only.
    :param sent_at_ms: boot time of the send.
    :param is_valid: the answer shows that the server can run the request.
    :param is_unframed: its end can't be told from a crash of the server.
    :param is_trial: the request was suspected when it was sent.
    """

    server: BackendServer
    parts: tuple[str, ...]
    fingerprint: str
    sent_at_ms: float
    is_valid: bool
    is_unframed: bool
    is_trial: bool


class CrashMonitor:
    """Opens a connection to a server that ended one, to see if it listens.

    :param fleet: what agents and the listing of servers say of them.
    :param evidence: receives the crashes.
    """

    def __init__(self, fleet: Fleet, evidence: CrashEvidence) -> None:
        """Start without checks."""
        self._watch = CrashWatch(fleet, evidence)
        self._evidence = evidence
        self._checks: set[asyncio.Task[None]] = set()
        self._log = structlog.get_logger(part='servers')

    def note_broken(self, broken: BrokenSend, pool: ConnectionPool) -> None:
        """Record a request whose connection has ended.

        :param pool: connections to its server.
        """
        is_check_due = self._watch.note_broken(
            broken, boottime_ms(), wall_clock_ms()
        )
        if is_check_due:
            self._start(self._check(broken.server, pool))

    def note_survived(self, parts: tuple[str, ...]) -> None:
        """Record that a server went on long after it began to answer."""
        self._evidence.note_answer(parts)

    def note_answered(
        self,
        answered: AnsweredSend,
        connection: ClientConnection,
        pool: ConnectionPool,
    ) -> None:
        """Record that a request was answered whole.

        It counts once the server has survived the answer for a while: the
        connection of the answer must still be open then, or the server must
        accept another one.
        """
        self._watch.note_answered(
            answered.server,
            answered.fingerprint,
            answered.sent_at_ms,
            boottime_ms(),
            is_trial=answered.is_trial,
        )
        loop = asyncio.get_running_loop()
        if connection.is_reusable:
            loop.call_later(
                SURVIVAL_MS / MS_PER_S,
                self._note_survival,
                answered,
                connection,
            )
            if answered.parts:
                loop.call_later(
                    PART_SURVIVAL_MS / MS_PER_S,
                    self._note_survival_of_parts,
                    answered,
                    connection,
                )
        elif answered.is_unframed or self._is_suspected(answered):
            loop.call_later(
                SURVIVAL_CHECK_MS / MS_PER_S,
                self._begin_survival_check,
                answered,
                pool,
            )

    def note_idle_closed(
        self, server: BackendServer, pool: ConnectionPool
    ) -> None:
        """Record that a server closed a connection between two requests."""
        if self._watch.note_idle_closed(server, boottime_ms()):
            self._start(self._check(server, pool))

    def confirm_by_fleet(self) -> None:
        """Report crashes that agents or the listing of servers show."""
        self._watch.confirm_by_fleet(boottime_ms(), wall_clock_ms())

    def _note_survival(
        self, answered: AnsweredSend, connection: ClientConnection
    ) -> None:
        if connection.channel.has_peer_closed:
            return
        if not self._watch.may_have_crashed(answered.server, boottime_ms()):
            self._clear(answered)

    def _note_survival_of_parts(
        self, answered: AnsweredSend, connection: ClientConnection
    ) -> None:
        if connection.channel.has_peer_closed:
            return
        if not self._watch.may_have_crashed(answered.server, boottime_ms()):
            self._evidence.note_answer(answered.parts)

    def _begin_survival_check(
        self, answered: AnsweredSend, pool: ConnectionPool
    ) -> None:
        self._start(self._check_survival(answered, pool))

    async def _check_survival(
        self, answered: AnsweredSend, pool: ConnectionPool
    ) -> None:
        server = answered.server
        self._watch.note_idle_closed(server, boottime_ms())
        await self._check(server, pool)
        if not self._watch.may_have_crashed(server, boottime_ms()):
            self._clear(answered)

    def _is_suspected(self, answered: AnsweredSend) -> bool:
        return self._evidence.suspicion(answered.fingerprint) is not None

    def _clear(self, answered: AnsweredSend) -> None:
        if answered.is_valid:
            self._evidence.note_call_answered(answered.fingerprint)

    def _start(self, check: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(check)
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    async def _check(self, server: BackendServer, pool: ConnectionPool) -> None:
        try:
            connection = await pool.connect(CHECK_TIMEOUT_MS)
        except ExchangeError as error:
            self._log.info(
                'server refused a check',
                server=server.instance,
                reason=str(error),
            )
            if error.is_refused:
                self._watch.confirm(server, boottime_ms(), wall_clock_ms())
            return
        self._watch.note_listening(server)
        pool.release(connection)
