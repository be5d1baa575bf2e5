"""What has been tried for one call, and the refusals that follow from it."""

import dataclasses

from lagoonflow.relay.sending import Failed
from lagoonflow.results import Refusal, Result

# When to come back after a rejection, in ms: about the time of a load from a
# runner's disk, or of a few requests.
BUSY_RETRY_MS = 400


@dataclasses.dataclass(slots=True)
class Attempts:
    """Sends of one call.

    :ivar excluded: servers that are not tried again.
    :ivar rejecting: servers that have dropped the model meanwhile; they are
        tried again once they were told to load it.
    :ivar may_have_run: sends that may have run somewhere.
    :ivar rejected: sends that a server stated not to have run.
    """

    excluded: set[str] = dataclasses.field(default_factory=set)
    rejecting: set[str] = dataclasses.field(default_factory=set)
    possible_runs: int = 0
    rejected_sends: int = 0
    last_failure: Failed | None = None
    last_failure_reason: str = ''

    def refuse(
        self, code: Result, reason: str, retry_after_ms: int = 0
    ) -> Refusal:
        """Return a refusal that promises no more than is certain."""
        return Refusal(
            code,
            reason,
            not_run=not self.possible_runs,
            retry_after_ms=retry_after_ms,
        )

    def correct_not_run(self, refusal: Refusal) -> Refusal:
        """Take a promise back when an earlier send may have run."""
        if self.possible_runs:
            return dataclasses.replace(refusal, not_run=False)
        return refusal

    def refuse_unknown_outcome(self) -> Refusal:
        """Return the refusal after a send whose outcome is unknown."""
        return Refusal(
            Result.BACKEND_FAILED, self.last_failure_reason, not_run=False
        )
