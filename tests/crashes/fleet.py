"""A fleet without a network whose servers crash on a prompt part."""

import dataclasses
import random

from lagoonflow.crashes.evidence import CrashEvidence
from lagoonflow.crashes.watch import SUSPECT_MS
from lagoonflow.gossip.messages import CrashEntry
from lagoonflow.relay.crash_monitor import PART_SURVIVAL_MS
from lagoonflow.relay.sending import PROVEN_AFTER_MS

SUBJECTS = 30
DOWN_MS = 4000
TICK_MS = 20
GOSSIP_LOSS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class CrashMoment:
    """When a server crashes under a request with the crashing part.

    :param delay_ms: time from the moment at which it would begin to answer; a
        negative one lies within the reading of the prompt.
    :param is_head_lost: the reset of the connection discards the head.
    """

    delay_ms: int
    is_head_lost: bool = False


AFTER_EVENTS = CrashMoment(80)


@dataclasses.dataclass(slots=True)
class Request:
    router: int
    parts: tuple[str, ...]
    sent_ms: int
    begins_ms: int
    ends_ms: int
    is_bad: bool


@dataclasses.dataclass(slots=True)
class Server:
    number: int
    starts: int = 0
    down_until_ms: int = 0
    running: list[Request] = dataclasses.field(default_factory=list)


class SimulatedFleet:
    """Sends requests with shared prompt parts through several routers.

    :ivar crashes_ms: times at which a crashing part ended a server.
    :ivar bad_sent_ms: times at which requests with it reached servers.
    :ivar refused_sound: sound requests that a blame refused.
    """

    def __init__(
        self, seed, routers, servers, per_s, routes=3, moment=AFTER_EVENTS
    ):
        self.random = random.Random(seed)
        self.routers = [CrashEvidence() for _ in range(routers)]
        self.servers = [Server(number) for number in range(servers)]
        self.per_s = per_s
        self.routes = routes
        self.moment = moment
        self.now_ms = 0
        self.bad_per_s = 0.0
        self.crashes_ms = []
        self.bad_sent_ms = []
        self.refused_sound = 0
        self.sent_sound = 0
        self._answered = []

    def run(self, for_ms, disturb=None):
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            for server in self.servers:
                self._advance(server)
            self._note_survivors()
            self._arrive(self.per_s, is_bad=False)
            self._arrive(self.bad_per_s, is_bad=True)
            if disturb is not None:
                disturb(self)
            self._gossip()

    def kill(self, *servers):
        """Kill servers for which no request is to blame."""
        for server in servers:
            self._end(server)

    def restart_routers(self, *numbers):
        """Restart routers; they read what all routers have saved."""
        saved = [entry for router in self.routers for entry in router.entries()]
        for number in numbers or range(len(self.routers)):
            self.routers[number] = CrashEvidence()
            for entry in saved:
                self.routers[number].learn(entry, self.now_ms)

    def blames(self):
        return {
            blame.parts for router in self.routers for blame in router.blames()
        }

    def blamed_parts(self):
        return frozenset().union(*self.blames())

    def up(self):
        return [one for one in self.servers if one.down_until_ms <= self.now_ms]

    def _arrive(self, per_s, *, is_bad):
        expected = per_s * TICK_MS / 1000
        count = int(expected) + (self.random.random() < expected % 1)
        for _ in range(count):
            self._send(is_bad)

    def _send(self, is_bad):
        route = self.random.randrange(self.routes)
        subject = int(SUBJECTS * self.random.random() ** 3)
        middle = 'bad' if is_bad else f'subject-{route}-{subject}'
        parts = (f'route-{route}', middle)
        router = self.random.randrange(len(self.routers))
        is_blocked = self.routers[router].find_blame(parts) is not None
        if not is_bad:
            self.sent_sound += 1
            self.refused_sound += is_blocked
        servers = self.up()
        if is_blocked or not servers:
            return
        if is_bad:
            self.bad_sent_ms.append(self.now_ms)
        begins_ms = self.now_ms + self.random.randrange(60, 600)
        ends_ms = begins_ms + self.random.randrange(300, 3000)
        request = Request(
            router, parts, self.now_ms, begins_ms, ends_ms, is_bad
        )
        self.random.choice(servers).running.append(request)

    def _advance(self, server):
        for request in list(server.running):
            crashes_ms = request.begins_ms + self.moment.delay_ms
            if request.is_bad and self.now_ms >= crashes_ms:
                self.crashes_ms.append(self.now_ms)
                self._end(server)
                return
            if self.now_ms >= request.ends_ms:
                server.running.remove(request)
                survives_ms = self.now_ms + PART_SURVIVAL_MS
                self._answered.append(
                    (survives_ms, request, server, server.starts)
                )

    def _note_survivors(self):
        due = [one for one in self._answered if one[0] <= self.now_ms]
        self._answered = [one for one in self._answered if one not in due]
        for _, request, server, starts in due:
            if server.starts == starts:
                self.routers[request.router].note_answer(request.parts)

    def _end(self, server):
        for number, router in enumerate(self.routers):
            begun_ms, waiting_ms = {}, {}
            for request in server.running:
                if request.router != number:
                    continue
                answered_ms = self.now_ms - request.begins_ms
                if answered_ms > PROVEN_AFTER_MS:
                    router.note_answer(request.parts)
                if answered_ms < SUSPECT_MS:
                    is_lost = request.is_bad and self.moment.is_head_lost
                    has_begun = answered_ms >= 0 and not is_lost
                    ages_ms = begun_ms if has_begun else waiting_ms
                    for part in request.parts:
                        ages_ms[part] = self.now_ms - request.sent_ms
            if begun_ms or waiting_ms:
                crash_id = (f'i-{server.number}', server.starts)
                entry = CrashEntry(*crash_id, self.now_ms, begun_ms, waiting_ms)
                router.report(entry, self.now_ms)
        server.running.clear()
        server.starts += 1
        server.down_until_ms = self.now_ms + DOWN_MS

    def _gossip(self):
        for sender in self.routers:
            for entry in sender.take_due(self.now_ms):
                for receiver in self.routers:
                    is_lost = self.random.random() < GOSSIP_LOSS
                    if receiver is not sender and not is_lost:
                        receiver.learn(entry, self.now_ms)
