"""Which prompt parts each server has read, as far as this router knows."""

import collections

# Prompt parts that are remembered for each server.
MAX_PARTS = 512


class PromptCaches:
    """Remembers the parts that were sent last to each server."""

    def __init__(self) -> None:
        """Start with nothing remembered."""
        self._parts: dict[str, collections.OrderedDict[str, None]] = {}

    def remember(self, instance: str, keys: list[str]) -> None:
        """Note the parts of a prompt that a server has read."""
        parts = self._parts.setdefault(instance, collections.OrderedDict())
        for key in keys:
            parts[key] = None
            parts.move_to_end(key)
        while len(parts) > MAX_PARTS:
            parts.popitem(last=False)

    def count_cached(self, instance: str, keys: list[str]) -> int:
        """Count the leading parts that a server has read."""
        parts = self._parts.get(instance, {})
        for place, key in enumerate(keys):
            if key not in parts:
                return place
        return len(keys)

    def forget(self, instance: str) -> None:
        """Forget a server that is gone."""
        self._parts.pop(instance, None)
