"""Which hosts have fallen silent."""

# Agents repeat their state twice a second. After two missing ones the host
# may be frozen or cut off, in ms.
AGENT_SILENT_MS = 1200


class HostLiveness:
    """Remembers when each host was last heard from.

    Only hosts with an agent speak unasked; others never count as silent.
    """

    def __init__(self) -> None:
        """Start with nothing heard."""
        self._agents_ms: dict[str, float] = {}
        self._answers_ms: dict[str, float] = {}

    def note_agent_message(self, instance: str, now_ms: float) -> None:
        """Note a message of the agent beside a server."""
        self._agents_ms[instance] = now_ms

    def note_answer_part(self, instance: str, now_ms: float) -> None:
        """Note that a server has sent a part of an answer."""
        self._answers_ms[instance] = now_ms

    def forget_agent(self, instance: str) -> None:
        """Expect nothing more from an agent."""
        self._agents_ms.pop(instance, None)

    def forget(self, instance: str) -> None:
        """Forget a server that is gone."""
        self._agents_ms.pop(instance, None)
        self._answers_ms.pop(instance, None)

    def silent_for_ms(self, instance: str, now_ms: float) -> float:
        """Time since anything came from a host; 0 when it has no agent."""
        agent_ms = self._agents_ms.get(instance)
        if agent_ms is None:
            return 0
        return now_ms - max(agent_ms, self._answers_ms.get(instance, 0))

    def is_silent(self, instance: str, now_ms: float) -> bool:
        """Whether a host was heard from, but not lately."""
        return self.silent_for_ms(instance, now_ms) > AGENT_SILENT_MS
