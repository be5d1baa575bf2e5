"""Sends of one call so far, and the refusals that they allow."""

import dataclasses

from lagoonflow.backends.choosing import Send
from lagoonflow.relay.openings import Opening
from lagoonflow.relay.outcomes import Failed
from lagoonflow.results import Refusal, Result

# Callers retry after this time when no runner takes their call: about the time
# of a load from a runner's disk, or of a few requests.
BUSY_RETRY_MS = 400


@dataclasses.dataclass(slots=True)
class Attempts:
    """State of the sends of one call.

    :ivar excluded: servers that are not tried again.
    :ivar openings: attempts to connect that go on, by server. These servers
        are excluded until their connection has opened.
    :ivar rejecting: servers that rejected the call, as they have just unloaded
        its model; they are tried again once they were asked to load it.
    :ivar possible_runs: number of sends after which the call may have run.
    :ivar rejected_sends: number of sends that servers rejected without running
        the call.
    :ivar last_failure: latest failure that a server answered with.
    :ivar last_failure_reason: why the latest send failed.
    :ivar software_version: version that a server must have, as another one
        began the stream that the call resumes; ``None`` for any.
    :ivar has_answer_begun: whether the caller has received a part of the
        answer.
    :ivar replacement: server that is reserved for the next send, whose retry
        is counted already.
    """

    excluded: set[str] = dataclasses.field(default_factory=set)
    openings: dict[str, Opening] = dataclasses.field(default_factory=dict)
    rejecting: set[str] = dataclasses.field(default_factory=set)
    possible_runs: int = 0
    rejected_sends: int = 0
    last_failure: Failed | None = None
    last_failure_reason: str = ''
    software_version: str | None = None
    has_answer_begun: bool = False
    replacement: Send | None = None

    def exclude(self, instance: str, opening: Opening | None) -> None:
        """Don't try a server again, unless its connection opens later."""
        self.excluded.add(instance)
        if opening is not None:
            self.openings[instance] = opening

    def admit_opened(self) -> None:
        """Try servers again whose connections have opened."""
        for instance, opening in list(self.openings.items()):
            if opening.is_open:
                self.excluded.discard(instance)
            if opening.is_open or opening.has_failed:
                self.openings.pop(instance)

    def close_openings(self) -> None:
        """End all attempts to connect."""
        while self.openings:
            self.openings.popitem()[1].close()

    def take_replacement(self) -> Send | None:
        """Return the reserved server, which is not reserved any more."""
        replacement = self.replacement
        self.replacement = None
        return replacement

    def refuse(
        self, code: Result, reason: str, retry_after_ms: int = 0
    ) -> Refusal:
        """Return a refusal; it states ``not_run`` only if no send may have run.

        :param retry_after_ms: when the caller should retry, in ms; 0 for no
            advice.
        """
        return Refusal(
            code,
            reason,
            not_run=not self.possible_runs,
            retry_after_ms=retry_after_ms,
        )

    def correct_not_run(self, refusal: Refusal) -> Refusal:
        """Clear ``not_run`` of a refusal if an earlier send may have run."""
        if self.possible_runs:
            return dataclasses.replace(refusal, not_run=False)
        return refusal

    def refuse_unknown_outcome(self) -> Refusal:
        """Return the refusal for a call whose last send may have run."""
        return Refusal(
            Result.BACKEND_FAILED, self.last_failure_reason, not_run=False
        )
