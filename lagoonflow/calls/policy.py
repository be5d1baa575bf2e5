"""Timeouts and retry limits of calls."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CallPolicy:
    """Timeouts in ms and retry limits, at the router and at the agent.

    :param keep_alive_ms: longest time for which an agent sends nothing on an
        open stream; then it sends a keep-alive.
    :param chunk_interval_ms: least time between two chunks of an answer, so
        that tokens of a fast engine share a chunk. The first chunk is sent at
        once.
    :param progress_timeout_ms: time without a chunk after which a stream
        counts as broken.
    :param least_progress_timeout_ms: lower bound of that time for a call
        close to its deadline.
    :param resume_delay_ms: delay between tries to resume a broken stream.
    :param max_failed_resumes: failed resumptions in a row after which a call
        that may run again goes to another agent.
    :param locate_retry_delay_ms: delay before the router looks for agents
        again.
    :param max_attempts: most attempts of a call, the first included.
    :param max_resumes: most resumptions of one attempt in all.
    :param revoke_reserve_ms: how long before the deadline an attempt that has
        not started is revoked, so that the agent's answer comes in time.
    :param revoke_delay_ms: delay between requests to revoke an attempt.
    :param stall_timeout_ms: longest gap between two parts of an answer.
    :param orphan_timeout_ms: time without a reader after which an agent stops
        an attempt; longer than a router takes to resume a stream.
    """

    keep_alive_ms: int = 400
    chunk_interval_ms: int = 25
    progress_timeout_ms: int = 2000
    least_progress_timeout_ms: int = 1000
    resume_delay_ms: int = 100
    max_failed_resumes: int = 2
    locate_retry_delay_ms: int = 100
    max_attempts: int = 6
    max_resumes: int = 50
    revoke_reserve_ms: int = 500
    revoke_delay_ms: int = 100
    stall_timeout_ms: int = 60_000
    orphan_timeout_ms: int = 15_000

    def progress_timeout(self, left_ms: int) -> int:
        """Return the progress timeout of a stream, in ms.

        :param left_ms: time in ms left until the answer has to begin or to
            continue. The timeout is a quarter of it, but not less than
            ``least_progress_timeout_ms`` or more than ``progress_timeout_ms``.
        """
        quarter_ms = left_ms // 4
        least_ms = max(self.least_progress_timeout_ms, quarter_ms)
        return min(self.progress_timeout_ms, least_ms)

    def revoke_reserve(self, total_ms: int) -> int:
        """Return how long before the deadline to revoke an attempt, in ms.

        :param total_ms: time in ms from the start of the call to its
            deadline. At most a quarter of it is reserved.
        """
        return min(self.revoke_reserve_ms, total_ms // 4)
