"""Callers that reuse connections and record the outcome of each request."""

import dataclasses
import http.client
import random
import threading
import time

from loopback.platform_fleet import CALLER_PORT, KEY, OTHER_KEY, PlatformFleet

KINDS = ('read', 'book', 'draft', 'resume')
MODELS = ('m1', 'm2', 'm3', 'm1/a1')
# Middle parts of prompts; runners crash on the first one.
PARTS = ('bad', 'p1', 'p2', 'p3')
PART_WEIGHTS = (1, 10, 10, 10)
# Bodies that callers repeat; servers crash on the first one. An empty one stands
# for the id of the request.
BODIES = ('crashing', 'popular', '')
BODY_WEIGHTS = (1, 10, 30)
DEADLINE_MS = 3000
TIMEOUT_S = 5
EVENTS_PER_STREAM = 6
OK = 200
RESUME_TRIES = 4
RESUME_DELAY_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of one request.

    :param request_id: random id that the caller gave the request.
    :param kind: first segment of the path, one of KINDS.
    :param key: key that the caller sent.
    :param sent_at_s: monotonic time of sending, in seconds.
    :param status: HTTP status; 0 when the connection ended without one.
    :param is_sealed: whether the answer had the header `Server-Seal`.
    :param is_complete: whether the answer was received up to its marked end.
    :param body: the part of the body that was received.
    :param is_resumed: whether the caller resumed the stream after a break.
    :param sent_body: the body that the caller sent.
    """

    request_id: str
    kind: str
    key: str
    sent_at_s: float
    status: int = 0
    is_sealed: bool = False
    is_complete: bool = False
    body: bytes = b''
    is_resumed: bool = False
    sent_body: str = ''

    @property
    def is_broken_off(self) -> bool:
        """Whether a stream ended after an event, but not at its end."""
        return bool(self.whole_events) and not self.is_complete

    @property
    def whole_events(self) -> bytes:
        """The received events without the part of a cut one."""
        head, separator, _ = self.body.rpartition(b'\n\n')
        return head + separator


class Caller(threading.Thread):
    """Sends random requests over reused connections until it is stopped."""

    def __init__(
        self, fleet: PlatformFleet, seed: int, *, sends_trouble: bool
    ) -> None:
        """Make all random choices from a seed.

        :param sends_trouble: requests to models also have prompts, some with a
            part that crashes runners, and some requests are repeated, of which
            one crashes servers.
        """
        self._sends_trouble = sends_trouble
        self._prompt_random = random.Random(seed + 1)
        self._body_random = random.Random(seed + 2)
        super().__init__(daemon=True)
        self.outcomes: list[Outcome] = []
        self._fleet = fleet
        self._random = random.Random(seed)
        self._stop_event = threading.Event()
        self._connections: dict[str, http.client.HTTPConnection] = {}

    def stop(self) -> None:
        """Stop after the current request."""
        self._stop_event.set()

    def run(self) -> None:
        """Send requests until `stop` is called."""
        while not self._stop_event.wait(self._random.uniform(0, 0.06)):
            outcome = self._send_request(self._new_outcome(), {})
            if outcome.is_broken_off and outcome.kind == 'resume':
                outcome = self._resume(outcome)
            self.outcomes.append(outcome)

    def _resume(self, broken: Outcome) -> Outcome:
        """Take a broken off stream up, at any router."""
        resumed = broken
        for _ in range(RESUME_TRIES):
            events = resumed.whole_events
            headers = {
                'Last-Event-Id': str(events.count(b'\n\n')),
                'Resumes': broken.request_id,
            }
            again = dataclasses.replace(
                self._new_outcome(),
                kind=broken.kind,
                key=broken.key,
                sent_body=broken.sent_body,
            )
            answer = self._send_request(again, headers)
            if answer.status == OK:
                resumed = dataclasses.replace(
                    resumed,
                    body=events + answer.body,
                    is_complete=answer.is_complete,
                )
            if resumed.is_complete:
                break
            self._stop_event.wait(RESUME_DELAY_S)
        return dataclasses.replace(resumed, is_resumed=True)

    def _new_outcome(self) -> Outcome:
        request_id = f'{self._random.getrandbits(64):016x}'
        return Outcome(
            request_id=request_id,
            kind=self._random.choice(KINDS),
            key=self._random.choice((KEY, KEY, KEY, OTHER_KEY)),
            sent_at_s=time.monotonic(),
            sent_body=self._body() or request_id,
        )

    def _body(self) -> str:
        if not self._sends_trouble:
            return ''
        return self._body_random.choices(BODIES, BODY_WEIGHTS)[0]

    def _prompt(self, outcome: Outcome) -> dict[str, str]:
        if not self._sends_trouble:
            return {}
        part = self._prompt_random.choices(PARTS, PART_WEIGHTS)[0]
        return {'Prompt-Prefix': f'common:9,{part}:4,{outcome.request_id}:1'}

    def _send_request(
        self, outcome: Outcome, headers: dict[str, str]
    ) -> Outcome:
        ip = self._random.choice(self._fleet.routers).ip
        connection = self._connections.get(ip)
        if connection is None:
            connection = http.client.HTTPConnection(
                ip, CALLER_PORT, timeout=TIMEOUT_S
            )
            self._connections[ip] = connection
        try:
            return self._exchange(connection, outcome, headers)
        except (OSError, http.client.HTTPException):
            connection.close()
            self._connections.pop(ip)
            return outcome

    def _exchange(
        self,
        connection: http.client.HTTPConnection,
        outcome: Outcome,
        extra_headers: dict[str, str],
    ) -> Outcome:
        headers = {
            **extra_headers,
            'Host': 'desk.example',
            'Attempt-Id': outcome.request_id,
            'Deadline-Ms': str(DEADLINE_MS),
            'Authorization': f'Token {outcome.key}',
        }
        if outcome.kind in {'draft', 'resume'}:
            headers['Model'] = self._random.choice(MODELS)
            headers.update(self._prompt(outcome))
        connection.request(
            'POST', f'/{outcome.kind}/x', outcome.sent_body, headers
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
        return dataclasses.replace(started, is_complete=True, body=body)
