"""Puts the chunks of one attempt in order at the router."""

from lagoonflow.calls.messages import AttemptId, Chunk

MAX_HELD_CHUNKS = 64


class Assembly:
    """Passes each chunk of an attempt on once, in index order.

    Chunks of other attempts, repeated ones and keep-alives are dropped.
    Chunks ahead of a gap are held, a bounded number of them.
    """

    def __init__(self, attempt: AttemptId) -> None:
        """Expect index 0 first."""
        self.next_index = 0
        self._attempt = attempt
        self._held: dict[int, Chunk] = {}

    def accept(self, chunk: Chunk) -> tuple[Chunk, ...]:
        """Return the chunks that are next in order now."""
        if chunk.attempt != self._attempt or chunk.is_keep_alive:
            return ()
        if chunk.index < self.next_index:
            return ()
        if len(self._held) < MAX_HELD_CHUNKS or chunk.index == self.next_index:
            self._held.setdefault(chunk.index, chunk)
        return self._take()

    def _take(self) -> tuple[Chunk, ...]:
        ready = []
        while self.next_index in self._held:
            ready.append(self._held.pop(self.next_index))
            self.next_index += 1
        return tuple(ready)


class Delivered:
    """What the caller has got of a generation, over all attempts."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.tokens = 0
        self._texts: list[str] = []

    @property
    def text(self) -> str:
        """The whole text so far."""
        return ''.join(self._texts)

    def add(self, text: str, tokens: int) -> None:
        """Count text as delivered."""
        self.tokens += tokens
        self._texts.append(text)
