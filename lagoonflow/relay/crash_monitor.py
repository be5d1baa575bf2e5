"""Checks whether servers whose connections ended have crashed."""

import asyncio

import structlog

from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.messages import BackendServer
from lagoonflow.clock import boottime_ms, wall_clock_ms
from lagoonflow.crashes.evidence import CrashEvidence
from lagoonflow.crashes.watch import BrokenSend, CrashWatch
from lagoonflow.http1.client import ConnectionPool
from lagoonflow.http1.messages import ExchangeError

# A server whose process runs accepts a connection within this time.
CHECK_TIMEOUT_MS = 400


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

    def note_answered(self, parts: tuple[str, ...]) -> None:
        """Record that a request with these prompt parts was answered."""
        self._evidence.note_answer(parts)

    def confirm_by_fleet(self) -> None:
        """Report crashes that agents or the listing of servers show."""
        self._watch.confirm_by_fleet(boottime_ms(), wall_clock_ms())

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
