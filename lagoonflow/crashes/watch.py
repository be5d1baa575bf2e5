"""Tells crashes of servers from other ends of connections."""

import collections
import dataclasses

from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.messages import BackendServer
from lagoonflow.crashes.evidence import CrashEvidence, newest_calls
from lagoonflow.gossip.messages import CrashEntry

# A request whose answer began longer ago has not caused the crash.
SUSPECT_MS = 600
# An ended connection counts as a sign of a crash for this long.
SIGN_MS = 3000
# A confirmed crash is extended by further ended connections for this long.
CONFIRMED_MS = 10_000
# Connections that end together lead to one check of their server.
CHECK_INTERVAL_MS = 50
# A server that crashes later than this after a whole answer has survived it.
SURVIVAL_MS = 250
# Answers of one start of a server that are remembered so long, at most.
MAX_ANSWERS = 64
# Parts of one request that are suspected at most, and their greatest length.
MAX_PARTS = 32
MAX_PART_LENGTH = 64


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenSend:
    """A request whose connection the server's side has ended.

    :param parts: shared parts of its prompt.
    :param sent_at_ms: boot time of the send.
    :param has_begun: the head of the answer had arrived.
    :param first_part_at_ms: boot time of the first part of the answer's body;
        ``None`` before it.
    :param fingerprint: what the request has in common with its repeats only.
    :param is_trial: the request was suspected when it was sent.
    """

    server: BackendServer
    parts: tuple[str, ...]
    sent_at_ms: float
    has_begun: bool
    first_part_at_ms: float | None
    fingerprint: str = ''
    is_trial: bool = False

    def suspects(self, now_ms: float) -> list[str]:
        """Return the parts that may have caused the end."""
        if not self._had_just_begun(now_ms):
            return []
        return [
            part
            for part in self.parts[:MAX_PARTS]
            if len(part) <= MAX_PART_LENGTH
        ]

    def _had_just_begun(self, now_ms: float) -> bool:
        """Return whether the answer had just begun, or had not."""
        if self.first_part_at_ms is None:
            return True
        return now_ms - self.first_part_at_ms < SUSPECT_MS


@dataclasses.dataclass(frozen=True, slots=True)
class _AnsweredCall:
    """A request that a server has answered whole."""

    fingerprint: str
    sent_at_ms: float
    answered_at_ms: float
    is_trial: bool


@dataclasses.dataclass(slots=True)
class _Signs:
    """Ended connections of one start of a server.

    :ivar begun_sent_ms: boot time of the newest send by suspected part, for
        requests whose answers had begun.
    :ivar waiting_sent_ms: the same for those whose answers had not.
    :ivar call_sent_ms: the same for whole requests, by fingerprint.
    :ivar trials: fingerprints of those that were suspected when sent.
    :ivar checked_at_ms: boot time of the newest check of the server.
    :ivar confirmed_at_ms: boot time at which the crash was confirmed.
    """

    server: BackendServer
    first_at_ms: float
    begun_sent_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    waiting_sent_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    call_sent_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    trials: set[str] = dataclasses.field(default_factory=set)
    checked_at_ms: float = float('-inf')
    confirmed_at_ms: float | None = None

    def add(self, broken: BrokenSend, now_ms: float) -> None:
        """Add a request and the parts of its prompt as suspects."""
        table = self.begun_sent_ms if broken.has_begun else self.waiting_sent_ms
        for part in broken.suspects(now_ms):
            _keep_newest(table, part, broken.sent_at_ms)
        self.add_call(broken)

    def add_call(self, call: BrokenSend | _AnsweredCall) -> None:
        """Add a request as a suspect."""
        if not call.fingerprint:
            return
        _keep_newest(self.call_sent_ms, call.fingerprint, call.sent_at_ms)
        if call.is_trial:
            self.trials.add(call.fingerprint)

    def ages_ms(self, sent_ms: dict[str, float]) -> dict[str, int]:
        """Return the time from sends to the first sign of the crash."""
        return {
            part: max(int(self.first_at_ms - sent_at_ms), 0)
            for part, sent_at_ms in sorted(sent_ms.items())
        }

    @property
    def is_idle_only(self) -> bool:
        """Whether only connections between two requests have ended."""
        is_confirmed = self.confirmed_at_ms is not None
        return not (is_confirmed or self.call_sent_ms or self.waiting_sent_ms)

    def is_over(self, now_ms: float) -> bool:
        """Return whether nothing more will come of these signs."""
        if self.confirmed_at_ms is None:
            return now_ms - self.first_at_ms > SIGN_MS
        return now_ms - self.confirmed_at_ms > CONFIRMED_MS


class CrashWatch:
    """Reports a crash once a server whose connections ended is down.

    :param fleet: what agents and the listing of servers say of them.
    :param evidence: receives the crashes.
    """

    def __init__(self, fleet: Fleet, evidence: CrashEvidence) -> None:
        """Start without signs of crashes."""
        self._fleet = fleet
        self._evidence = evidence
        self._signs: dict[tuple[str, int], _Signs] = {}
        self._answers: dict[
            tuple[str, int], collections.deque[_AnsweredCall]
        ] = {}

    def note_broken(
        self, broken: BrokenSend, now_ms: float, wall_ms: int
    ) -> bool:
        """Record an ended connection.

        :returns: whether it should be checked now that the server listens.
        """
        if not (broken.fingerprint or broken.suspects(now_ms)):
            return False
        signs = self._begin_signs(broken.server, now_ms)
        signs.add(broken, now_ms)
        if signs.confirmed_at_ms is not None:
            self._report(signs, now_ms, wall_ms)
            return False
        return _is_check_due(signs, now_ms)

    def note_answered(
        self,
        server: BackendServer,
        fingerprint: str,
        sent_at_ms: float,
        now_ms: float,
        *,
        is_trial: bool = False,
    ) -> None:
        """Record a whole answer; its server may still crash under it.

        :param is_trial: the request was suspected when it was sent.
        """
        answers = self._answers.setdefault(
            _key(server), collections.deque(maxlen=MAX_ANSWERS)
        )
        answers.append(_AnsweredCall(fingerprint, sent_at_ms, now_ms, is_trial))

    def note_idle_closed(self, server: BackendServer, now_ms: float) -> bool:
        """Record that a server closed a connection between two requests.

        :returns: whether it should be checked now that the server listens.
        """
        if not self._recent_answers(server, now_ms):
            return False
        return _is_check_due(self._begin_signs(server, now_ms), now_ms)

    def note_listening(self, server: BackendServer) -> None:
        """Record that a server that was checked accepts connections."""
        signs = self._signs.get(_key(server))
        if signs is not None and signs.is_idle_only:
            self._signs.pop(_key(server))

    def confirm(
        self, server: BackendServer, now_ms: float, wall_ms: int
    ) -> None:
        """Report the crash of a server that no longer accepts connections."""
        signs = self._signs.get(_key(server))
        if signs is not None and signs.confirmed_at_ms is None:
            signs.confirmed_at_ms = now_ms
            for answered in self._recent_answers(server, signs.first_at_ms):
                signs.add_call(answered)
            self._report(signs, now_ms, wall_ms)

    def confirm_by_fleet(self, now_ms: float, wall_ms: int) -> None:
        """Report crashes that agents or the listing of servers show."""
        for key, signs in list(self._signs.items()):
            if signs.is_over(now_ms):
                self._signs.pop(key)
            elif signs.confirmed_at_ms is None and self._is_down(
                signs.server, now_ms
            ):
                self.confirm(signs.server, now_ms, wall_ms)
        for key, answers in list(self._answers.items()):
            if now_ms - answers[-1].answered_at_ms > SIGN_MS + SURVIVAL_MS:
                self._answers.pop(key)

    def may_have_crashed(self, server: BackendServer, now_ms: float) -> bool:
        """Return whether there are signs that a server has crashed."""
        return _key(server) in self._signs or self._is_down(server, now_ms)

    def _begin_signs(self, server: BackendServer, now_ms: float) -> _Signs:
        signs = self._signs.get(_key(server))
        if signs is None or signs.is_over(now_ms):
            signs = _Signs(server, now_ms)
            self._signs[_key(server)] = signs
        return signs

    def _recent_answers(
        self, server: BackendServer, at_ms: float
    ) -> list[_AnsweredCall]:
        """Return the answers that a server had not survived at a time."""
        return [
            answered
            for answered in self._answers.get(_key(server), ())
            if at_ms - answered.answered_at_ms < SURVIVAL_MS
        ]

    def _is_down(self, server: BackendServer, now_ms: float) -> bool:
        agent = self._fleet.agent(server, now_ms)
        if agent is not None and agent.is_down:
            return True
        return any(
            other.address == server.address and _key(other) != _key(server)
            for other in self._fleet.roster.all()
        )

    def _report(self, signs: _Signs, now_ms: float, wall_ms: int) -> None:
        crash_age_ms = int(now_ms - signs.first_at_ms)
        crash = CrashEntry(
            signs.server.instance,
            signs.server.started_ms,
            wall_ms - crash_age_ms,
            signs.ages_ms(signs.begun_sent_ms),
            signs.ages_ms(signs.waiting_sent_ms),
            call_ages_ms=newest_calls(signs.ages_ms(signs.call_sent_ms)),
            trials=tuple(sorted(signs.trials)),
        )
        self._evidence.report(crash, wall_ms)


def _keep_newest(
    sent_ms: dict[str, float], name: str, sent_at_ms: float
) -> None:
    sent_ms[name] = max(sent_at_ms, sent_ms.get(name, sent_at_ms))


def _is_check_due(signs: _Signs, now_ms: float) -> bool:
    if now_ms - signs.checked_at_ms < CHECK_INTERVAL_MS:
        return False
    signs.checked_at_ms = now_ms
    return True


def _key(server: BackendServer) -> tuple[str, int]:
    return server.instance, server.started_ms
