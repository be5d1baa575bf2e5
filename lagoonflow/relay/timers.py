"""Moving of timeouts that may be about to end."""

from lagoonflow.time_limits import TimeLimit


def move_timeout(timer: TimeLimit, at_s: float) -> None:
    """Let a timeout end at a time, unless it is ending already.

    :param at_s: time of the event loop, in s.
    """
    if not timer.expired():
        timer.reschedule(at_s)
