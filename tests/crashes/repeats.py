"""A fleet without a network whose servers crash under repeated requests."""

import dataclasses
import random

from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.messages import BackendServer
from lagoonflow.crashes.evidence import CrashEvidence
from lagoonflow.crashes.guard import CrashGuard, Sound
from lagoonflow.crashes.trials import TrialTurns
from lagoonflow.crashes.watch import SURVIVAL_MS, BrokenSend, CrashWatch
from lagoonflow.relay.crash_monitor import PART_SURVIVAL_MS

TICK_MS = 10
GOSSIP_INTERVAL_MS = 50
GOSSIP_LOSS = 0.1
DOWN_MS = 3000
RETRY_MS = 300
SUBJECTS = 40


class Router:
    """A router, and what it has learnt since its start."""

    def __init__(self, name: str, others: list[str], clock_ms: int = 0) -> None:
        self.name = name
        self.others = others
        self.clock_ms = clock_ms
        self.start(0)

    def start(self, now_ms: int) -> None:
        self.evidence = CrashEvidence()
        self.watch = CrashWatch(Fleet(), self.evidence)
        turns = TrialTurns(self.name, lambda: self.others, now_ms)
        self.guard = CrashGuard(self.evidence, turns)


@dataclasses.dataclass(slots=True)
class Request:
    """A request at a server.

    :param ends_ms: when it is answered, or crashes its server.
    """

    router: Router
    fingerprint: str
    parts: tuple[str, ...]
    sent_ms: int
    ends_ms: int
    is_bad: bool
    sends_left: int
    is_trial: bool


@dataclasses.dataclass(slots=True)
class Server:
    listed: BackendServer
    down_until_ms: int = 0
    running: list[Request] = dataclasses.field(default_factory=list)


class RepeatingFleet:
    """Sends unique, popular and crashing requests through several routers.

    Each request is sent up to `sends` times by its router, and callers of
    failed ones come back once, at any router.

    :param work_ms: longest time from a send to the answer or the crash.
    :param clock_spread_ms: most by which the clock of a router is ahead or
        behind.
    :ivar bad_sent_ms: times at which the crashing request reached servers.
    :ivar bad_crashes_ms: times at which it ended servers.
    :ivar outcomes: of sound requests that found a server, whether a router
        refused them, by time.
    """

    def __init__(
        self,
        seed,
        routers,
        servers,
        per_s,
        work_ms=100,
        sends=2,
        clock_spread_ms=0,
    ):
        self.random = random.Random(seed)
        clocks = random.Random(f'clocks {seed}')
        names = [f'r{number}' for number in range(routers)]
        self.routers = [
            Router(
                name,
                [one for one in names if one != name],
                clocks.randint(-clock_spread_ms, clock_spread_ms),
            )
            for name in names
        ]
        self.servers = [
            Server(BackendServer(f'i-{one}', 's', f'{one}', 'z', 8, 0))
            for one in range(servers)
        ]
        self.per_s = {'unique': per_s, 'popular': per_s, 'bad': 0.0}
        self.work_ms = work_ms
        self.sends = sends
        self.now_ms = 0
        self.bad_sent_ms = []
        self.bad_crashes_ms = []
        self.outcomes = []
        self._later = []
        self._saved = {}

    def run(self, for_ms, disturb=lambda _fleet: None):
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            for server in self.servers:
                self._advance(server)
            self._run_due()
            for kind, per_s in self.per_s.items():
                self._arrive(kind, per_s)
            disturb(self)
            if self.now_ms % GOSSIP_INTERVAL_MS == 0:
                self._gossip()

    def up(self):
        return [one for one in self.servers if one.down_until_ms <= self.now_ms]

    def kill(self, *servers):
        for server in servers:
            self._end(server)

    def restart(self, *routers):
        """Restart routers; they read what all routers have saved."""
        for router in routers:
            router.start(self._wall_ms(router))
            for entry in self._saved.values():
                router.evidence.learn(entry, self._wall_ms(router))

    def refused(self, since_ms):
        """Return the number of sound requests, and of those refused."""
        recent = [one for at_ms, one in self.outcomes if at_ms >= since_ms]
        return len(recent), sum(recent)

    def send(self, kind, fingerprint, *, may_return=True):
        """Send a request through any router."""
        router = self.random.choice(self.routers)
        parts = (
            (f'p{self.random.randrange(SUBJECTS)}',)
            if kind != 'bad'
            else ('p1',)
        )
        return self._send(
            router, kind, fingerprint, parts, self.sends, may_return
        )

    def _arrive(self, kind, per_s):
        expected = per_s * TICK_MS / 1000
        count = int(expected) + (self.random.random() < expected % 1)
        for _ in range(count):
            number = self.random.getrandbits(60)
            name = f'{kind}{number}' if kind == 'unique' else kind
            self.send(kind, name)

    def _send(self, router, kind, fingerprint, parts, sends_left, may_return):
        is_bad = kind == 'bad'
        verdict = router.guard.judge(parts, fingerprint, self._wall_ms(router))
        is_refused = not isinstance(verdict, Sound)
        servers = self.up()
        if servers and not is_bad:
            self.outcomes.append((self.now_ms, is_refused))
        if is_refused or not servers:
            if may_return:
                self._return_later(kind, fingerprint)
            return
        is_trial = router.guard.begin_send(fingerprint, self._wall_ms(router))
        if is_bad:
            self.bad_sent_ms.append(self.now_ms)
        ends_ms = self.now_ms + self.random.randrange(TICK_MS, self.work_ms)
        request = Request(
            router,
            fingerprint,
            parts,
            self.now_ms,
            ends_ms,
            is_bad,
            sends_left - 1,
            is_trial,
        )
        self.random.choice(servers).running.append(request)

    def _return_later(self, kind, fingerprint):
        at_ms = self.now_ms + RETRY_MS
        self._later.append(
            (at_ms, lambda: self.send(kind, fingerprint, may_return=False))
        )

    def _run_due(self):
        due = [one for one in self._later if one[0] <= self.now_ms]
        self._later = [one for one in self._later if one[0] > self.now_ms]
        for _, action in due:
            action()

    def _advance(self, server):
        for request in list(server.running):
            if request not in server.running or self.now_ms < request.ends_ms:
                continue
            if request.is_bad:
                self.bad_crashes_ms.append(self.now_ms)
                self._end(server)
                return
            server.running.remove(request)
            self._note_answered(server, request)

    def _note_answered(self, server, request):
        watch, listed = request.router.watch, server.listed
        watch.note_answered(
            listed,
            request.fingerprint,
            request.sent_ms,
            self.now_ms,
            is_trial=request.is_trial,
        )
        if request.is_trial:
            request.router.guard.end_trial(request.fingerprint)
        evidence = request.router.evidence

        def survive():
            if server.listed == listed:
                evidence.note_call_answered(request.fingerprint)

        def survive_parts():
            if server.listed == listed:
                evidence.note_answer(request.parts)

        self._later.append((self.now_ms + SURVIVAL_MS, survive))
        self._later.append((self.now_ms + PART_SURVIVAL_MS, survive_parts))

    def _end(self, server):
        broken, server.running = server.running, []
        for request in broken:
            self._break(server.listed, request)
        for router in self.routers:
            router.watch.confirm(
                server.listed, self.now_ms, self._wall_ms(router)
            )
        server.down_until_ms = self.now_ms + DOWN_MS
        server.listed = dataclasses.replace(
            server.listed, started_ms=self.now_ms
        )
        for request in broken:
            kind = 'bad' if request.is_bad else 'unique'
            if request.sends_left:
                self._send(
                    request.router,
                    kind,
                    request.fingerprint,
                    request.parts,
                    request.sends_left,
                    True,
                )
            else:
                self._return_later(kind, request.fingerprint)

    def _break(self, listed, request):
        send = BrokenSend(
            listed,
            request.parts,
            request.sent_ms,
            False,
            None,
            request.fingerprint,
            request.is_trial,
        )
        request.router.watch.note_broken(
            send, self.now_ms, self._wall_ms(request.router)
        )

    def _gossip(self):
        for sender in self.routers:
            for entry in sender.evidence.entries():
                self._saved[entry.crash_id] = entry
            for entry in sender.evidence.take_due(self.now_ms):
                for receiver in self.routers:
                    is_lost = self.random.random() < GOSSIP_LOSS
                    if receiver is not sender and not is_lost:
                        receiver.evidence.learn(entry, self._wall_ms(receiver))

    def _wall_ms(self, router):
        return self.now_ms + router.clock_ms
