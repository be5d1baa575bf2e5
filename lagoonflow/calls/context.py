"""State of a call at the router, shared by the classes that handle it."""

import itertools
from collections.abc import Iterator

from lagoonflow.calls.actions import Action
from lagoonflow.calls.phases import PhaseTracker
from lagoonflow.calls.policy import CallPolicy
from lagoonflow.calls.reorder_buffer import DeliveredText
from lagoonflow.calls.sent_attempt import SentAttempt
from lagoonflow.calls.spec import CallSpec
from lagoonflow.results import Refusal


class Progress:
    """State of a call that is kept from one attempt to the next.

    :ivar attempts: number of attempts sent so far.
    :ivar has_begun: whether a part of the answer went to the caller.
    :ivar last_part_ms: when the last part of the answer arrived.
    :ivar may_have_run: whether an attempt may have run whose answer is lost.
    :ivar refusal: the last refusal from an agent or from placement, if any.
    :ivar stale_agents: names of agents that refused or failed the call, in
        that order; a dict is used as an ordered set.
    :ivar nonces: nonce that each agent sent in its last chunk, by agent name.
    """

    def __init__(self, now_ms: int) -> None:
        """Start with no attempt sent.

        :param now_ms: time on the clock of the deadline.
        """
        self.attempts = 0
        self.has_begun = False
        self.last_part_ms = now_ms
        self.may_have_run = False
        self.refusal: Refusal | None = None
        self.stale_agents: dict[str, None] = {}
        self.nonces: dict[str, str] = {}

    def record_part(self, now_ms: int) -> None:
        """Record that a part of the answer arrived."""
        self.has_begun = True
        self.last_part_ms = now_ms


class CallContext(PhaseTracker):
    """The phase, current attempt and deadlines of a call, and its actions.

    :ivar revoke_reserve_ms: time in ms before the deadline at which an attempt
        that has not started is revoked.
    :ivar sent_attempt: the attempt in flight, if there is one.
    :ivar retry_at_ms: when the phases ``PAUSED``, ``BROKEN`` and ``REVOKING``
        try their step again.
    """

    def __init__(
        self,
        spec: CallSpec,
        policy: CallPolicy,
        now_ms: int,
        sequences: Iterator[int] | None = None,
    ) -> None:
        """Start in the phase ``LOCATING``.

        :param now_ms: time on the clock of the deadline.
        :param sequences: yields the sequence numbers of the attempts.
        """
        super().__init__()
        self.spec = spec
        self.policy = policy
        self.sequences = sequences or itertools.count(1)
        self.now_ms = now_ms
        self.revoke_reserve_ms = policy.revoke_reserve(
            spec.deadline_ms - now_ms
        )
        self.sent_attempt: SentAttempt | None = None
        self.retry_at_ms = spec.deadline_ms
        self.progress = Progress(now_ms)
        self.delivered = DeliveredText()
        self._actions: list[Action] = []

    @property
    def limit_ms(self) -> int:
        """Time by which the answer has to begin or to continue.

        It is the deadline until the first part of the answer, later for an
        attempt that has started and whose outcome is waited for. After the
        first part it is the stall timeout, counted from the last part.
        """
        if self.progress.has_begun:
            last_ms = self.progress.last_part_ms
            return last_ms + self.policy.stall_timeout_ms
        if self.sent_attempt is not None and self.sent_attempt.has_run:
            return self.spec.deadline_ms + self.spec.outcome_wait_ms
        return self.spec.deadline_ms

    @property
    def left_ms(self) -> int:
        """Time in ms left until ``limit_ms``."""
        return max(0, self.limit_ms - self.now_ms)

    @property
    def can_repeat(self) -> bool:
        """Whether another attempt may run even if the current one has run."""
        # Two executions of a plain service may answer with different bytes,
        # so a partly delivered answer can't be continued by another attempt.
        is_whole = self.spec.generation or not self.progress.has_begun
        return self.spec.is_repeatable and bool(is_whole)

    def add_action(self, action: Action) -> None:
        """Add an action for the router to execute."""
        self._actions.append(action)

    def take_actions(self) -> list[Action]:
        """Return the actions added since the last call, and clear them."""
        actions = self._actions
        self._actions = []
        return actions
