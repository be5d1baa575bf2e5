"""State of a call at the router that its parts share."""

import itertools
from collections.abc import Iterator

from lagoonflow.calls.actions import Action
from lagoonflow.calls.assembly import Delivered
from lagoonflow.calls.flight import Flight
from lagoonflow.calls.phases import Phased
from lagoonflow.calls.policy import CallPolicy
from lagoonflow.calls.spec import CallSpec
from lagoonflow.results import Refusal


class Progress:
    """What a call remembers over its attempts.

    :ivar attempts: attempts sent so far.
    :ivar has_begun: whether the caller has got a part of the answer.
    :ivar may_have_run: whether an attempt may have run without its answer.
    :ivar refusal: the last refusal, if there was one.
    :ivar stale_agents: agents found unfit, in order.
    :ivar nonces: agent processes as they have answered, by name.
    """

    def __init__(self, now_ms: int) -> None:
        """Start with no attempt."""
        self.attempts = 0
        self.has_begun = False
        self.last_part_ms = now_ms
        self.may_have_run = False
        self.refusal: Refusal | None = None
        self.stale_agents: dict[str, None] = {}
        self.nonces: dict[str, str] = {}

    def begin(self, now_ms: int) -> None:
        """Count a part of the answer."""
        self.has_begun = True
        self.last_part_ms = now_ms


class CallContext(Phased):
    """The call's phase, attempt, times and the actions it has decided on.

    :ivar flight: the attempt that is not settled, if there is one.
    :ivar wake_ms: when to go on in the phases that wait for a time.
    """

    def __init__(
        self,
        spec: CallSpec,
        policy: CallPolicy,
        now_ms: int,
        sequences: Iterator[int] | None = None,
    ) -> None:
        """Start in the phase ``LOCATING``."""
        super().__init__()
        self.spec = spec
        self.policy = policy
        self.sequences = sequences or itertools.count(1)
        self.now_ms = now_ms
        self.reserve_ms = policy.revoke_reserve(spec.deadline_ms - now_ms)
        self.flight: Flight | None = None
        self.wake_ms = spec.deadline_ms
        self.progress = Progress(now_ms)
        self.delivered = Delivered()
        self._actions: list[Action] = []

    @property
    def limit_ms(self) -> int:
        """Time by which the answer has to begin, or to go on."""
        if self.progress.has_begun:
            last_ms = self.progress.last_part_ms
            return last_ms + self.policy.stall_timeout_ms
        if self.flight is not None and self.flight.has_run:
            return self.spec.deadline_ms + self.spec.outcome_wait_ms
        return self.spec.deadline_ms

    @property
    def left_ms(self) -> int:
        """Time left until the limit."""
        return max(0, self.limit_ms - self.now_ms)

    @property
    def can_repeat(self) -> bool:
        """Whether another attempt may run though this one may have."""
        # Bytes of a plain service's answer can't be joined to another's.
        is_whole = self.spec.generation or not self.progress.has_begun
        return self.spec.is_repeatable and bool(is_whole)

    def act(self, action: Action) -> None:
        """Decide on an action."""
        self._actions.append(action)

    def take_actions(self) -> list[Action]:
        """Return the actions since the last time."""
        actions = self._actions
        self._actions = []
        return actions
