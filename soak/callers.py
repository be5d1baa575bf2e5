"""Callers that keep connections open and remember what they got."""

import dataclasses
import http.client
import random
import threading
import time

from loopback.platform_fleet import CALLER_PORT, KEY, OTHER_KEY, PlatformFleet

KINDS = ('read', 'book', 'draft', 'resume')
MODELS = ('m1', 'm2', 'm3', 'm1/a1')
DEADLINE_MS = 3000
TIMEOUT_S = 5
PIECES = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What one request came to.

    :param status: HTTP status; 0 when the connection ended without one.
    :param is_whole: the answer had its marked end.
    """

    request_id: str
    kind: str
    key: str
    sent_at_s: float
    status: int = 0
    is_sealed: bool = False
    is_whole: bool = False
    body: bytes = b''


class Caller(threading.Thread):
    """Sends random requests over kept connections until it is stopped."""

    def __init__(self, fleet: PlatformFleet, seed: int) -> None:
        """Draw from a seed."""
        super().__init__(daemon=True)
        self.outcomes: list[Outcome] = []
        self._fleet = fleet
        self._random = random.Random(seed)
        self._stop_event = threading.Event()
        self._connections: dict[str, http.client.HTTPConnection] = {}

    def stop(self) -> None:
        """End after the present request."""
        self._stop_event.set()

    def run(self) -> None:
        """Send until stopped."""
        while not self._stop_event.wait(self._random.uniform(0, 0.06)):
            host = self._random.choice(self._fleet.routers)
            self.outcomes.append(self._ask(host.ip))

    def _ask(self, ip: str) -> Outcome:
        outcome = Outcome(
            request_id=f'{self._random.getrandbits(64):016x}',
            kind=self._random.choice(KINDS),
            key=self._random.choice((KEY, KEY, KEY, OTHER_KEY)),
            sent_at_s=time.monotonic(),
        )
        connection = self._connections.get(ip)
        if connection is None:
            connection = http.client.HTTPConnection(
                ip, CALLER_PORT, timeout=TIMEOUT_S
            )
            self._connections[ip] = connection
        try:
            return self._exchange(connection, outcome)
        except (OSError, http.client.HTTPException):
            connection.close()
            self._connections.pop(ip)
            return outcome

    def _exchange(
        self, connection: http.client.HTTPConnection, outcome: Outcome
    ) -> Outcome:
        headers = {
            'Host': 'desk.example',
            'Attempt-Id': outcome.request_id,
            'Deadline-Ms': str(DEADLINE_MS),
            'Authorization': f'Token {outcome.key}',
        }
        if outcome.kind in {'draft', 'resume'}:
            headers['Model'] = self._random.choice(MODELS)
        connection.request(
            'POST', f'/{outcome.kind}/x', outcome.request_id, headers
        )
        reply = connection.getresponse()
        started = dataclasses.replace(
            outcome,
            status=reply.status,
            is_sealed=reply.getheader('Server-Seal') is not None,
        )
        try:
            body = reply.read()
        except http.client.IncompleteRead as error:
            connection.close()
            return dataclasses.replace(started, body=error.partial)
        return dataclasses.replace(started, is_whole=True, body=body)
