"""Checks whether servers whose connections ended have crashed."""

import asyncio

import structlog

from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.messages import BackendServer
from lagoonflow.clock import MS_PER_S, boottime_ms, wall_clock_ms
from lagoonflow.crashes.evidence import CrashEvidence
from lagoonflow.crashes.watch import BrokenSend, CrashWatch
from lagoonflow.http1.client import ClientConnection, ConnectionPool
from lagoonflow.http1.messages import ExchangeError

# A server whose process runs accepts a connection within this time.
CHECK_TIMEOUT_MS = 400
# A prompt that crashes its server does so within this time of a whole answer.
SURVIVAL_MS = 1000


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
            check = asyncio.create_task(self._check(broken.server, pool))
            self._checks.add(check)
            check.add_done_callback(self._checks.discard)

    def note_survived(self, parts: tuple[str, ...]) -> None:
        """Record that a server went on long after it began to answer."""
        self._evidence.note_answer(parts)

    def note_answered(
        self,
        server: BackendServer,
        parts: tuple[str, ...],
        connection: ClientConnection,
    ) -> None:
        """Record that a request with these prompt parts was answered.

        It counts once the server has survived the answer for a while: the
        connection of the answer must still be open then.
        """
        if parts:
            asyncio.get_running_loop().call_later(
                SURVIVAL_MS / MS_PER_S,
                self._note_survival,
                server,
                parts,
                connection,
            )

    def confirm_by_fleet(self) -> None:
        """Report crashes that agents or the listing of servers show."""
        self._watch.confirm_by_fleet(boottime_ms(), wall_clock_ms())

    def _note_survival(
        self,
        server: BackendServer,
        parts: tuple[str, ...],
        connection: ClientConnection,
    ) -> None:
        if connection.channel.has_peer_closed:
            return
        if not self._watch.may_have_crashed(server, boottime_ms()):
            self._evidence.note_answer(parts)

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
        connection.close()
