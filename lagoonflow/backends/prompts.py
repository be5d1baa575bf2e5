"""Prompt parts that servers have probably cached, as they were sent there."""

import collections

# Number of prompt parts that are remembered for each server.
MAX_PARTS = 512


class PromptCaches:
    """Remembers the prompt parts most recently sent to each server."""

    def __init__(self) -> None:
        """Start with no parts remembered."""
        self._parts: dict[str, collections.OrderedDict[str, None]] = {}

    def remember(self, instance: str, keys: list[str]) -> None:
        """Record that a server has prefilled the parts of a prompt."""
        parts = self._parts.setdefault(instance, collections.OrderedDict())
        for key in keys:
            parts[key] = None
            parts.move_to_end(key)
        while len(parts) > MAX_PARTS:
            parts.popitem(last=False)

    def count_cached(self, instance: str, keys: list[str]) -> int:
        """Count the leading parts that a server has probably cached."""
        parts = self._parts.get(instance, {})
        for index, key in enumerate(keys):
            if key not in parts:
                return index
        return len(keys)

    def forget(self, instance: str) -> None:
        """Drop the parts of a server that was removed."""
        self._parts.pop(instance, None)
