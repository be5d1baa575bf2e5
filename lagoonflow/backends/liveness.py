"""Detection of hosts that have fallen silent."""

from collections.abc import Callable

# Agents repeat their state twice a second. When two in a row are missing, the
# host may be paused or unreachable.
AGENT_SILENT_MS = 1200


class HostLiveness:
    """Records when a message or answer last came from each host.

    Only agents send messages unasked, so a host without an agent never counts
    as silent. Nor does a host while this process stands still: its messages
    are read afterwards.

    :param stalled_ms: returns for how long this process stood still so far.
    """

    def __init__(self, stalled_ms: Callable[[], float] = float) -> None:
        """Start with no messages recorded."""
        self._stalled_ms = stalled_ms
        self._agents_ms: dict[str, float] = {}
        self._answers_ms: dict[str, float] = {}

    def note_agent_message(self, instance: str, now_ms: float) -> None:
        """Record a message of the agent beside a server."""
        self._agents_ms[instance] = now_ms - self._stalled_ms()

    def note_answer_part(self, instance: str, now_ms: float) -> None:
        """Record that a server has sent a part of an answer."""
        self._answers_ms[instance] = now_ms - self._stalled_ms()

    def forget_agent(self, instance: str) -> None:
        """Stop expecting messages of an agent that is stopping."""
        self._agents_ms.pop(instance, None)

    def forget(self, instance: str) -> None:
        """Drop the records of a server that was removed."""
        self._agents_ms.pop(instance, None)
        self._answers_ms.pop(instance, None)

    def silent_for_ms(self, instance: str, now_ms: float) -> float:
        """Return the time in ms since a host sent anything; 0 without agent."""
        agent_ms = self._agents_ms.get(instance)
        if agent_ms is None:
            return 0
        heard_ms = max(agent_ms, self._answers_ms.get(instance, 0))
        return now_ms - self._stalled_ms() - heard_ms

    def is_silent(self, instance: str, now_ms: float) -> bool:
        """Return whether a host has sent messages before, but not lately."""
        return self.silent_for_ms(instance, now_ms) > AGENT_SILENT_MS
