"""Time limits and retry bounds of calls."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CallPolicy:
    """Bounds that keep each step shorter than the deadline it serves.

    :param keep_alive_ms: longest time that an agent leaves a stream idle.
    :param linger_ms: least time between chunks of an answer after the first,
        so that tokens of a fast engine share a chunk.
    :param progress_timeout_ms: a stream that is silent for longer is broken.
    :param least_progress_timeout_ms: the same when little time is left.
    :param resume_delay_ms: time between attempts to resume a stream.
    :param max_failed_resumes: failed resumptions in a row after which a
        repeatable call goes to another agent.
    :param relocate_delay_ms: time before a place is asked for again.
    :param max_attempts: agents that are tried, the first included.
    :param max_resumes: resumptions of one attempt in all.
    :param revoke_reserve_ms: time kept before the deadline for revoking.
    :param revoke_delay_ms: time between requests to revoke.
    :param stall_timeout_ms: longest gap within an answer that has begun.
    :param orphan_timeout_ms: an agent stops an attempt that nobody reads
        after it; longer than a router takes to resume a stream.
    """

    keep_alive_ms: int = 400
    linger_ms: int = 25
    progress_timeout_ms: int = 2000
    least_progress_timeout_ms: int = 1000
    resume_delay_ms: int = 100
    max_failed_resumes: int = 2
    relocate_delay_ms: int = 100
    max_attempts: int = 6
    max_resumes: int = 50
    revoke_reserve_ms: int = 500
    revoke_delay_ms: int = 100
    stall_timeout_ms: int = 60_000
    orphan_timeout_ms: int = 15_000

    def progress_timeout(self, left_ms: int) -> int:
        """Return the progress timeout for a call with ``left_ms`` left."""
        quarter_ms = left_ms // 4
        least_ms = max(self.least_progress_timeout_ms, quarter_ms)
        return min(self.progress_timeout_ms, least_ms)

    def revoke_reserve(self, total_ms: int) -> int:
        """Return the reserve of a call that has ``total_ms`` in all."""
        return min(self.revoke_reserve_ms, total_ms // 4)
