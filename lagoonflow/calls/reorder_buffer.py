"""Orders the chunks of an attempt, and keeps the text delivered so far."""

from lagoonflow.calls.messages import AttemptId, Chunk

MAX_HELD_CHUNKS = 64


class ReorderBuffer:
    """Returns each chunk of an attempt once, in index order.

    Chunks of other attempts, duplicates and keep-alives are dropped. Chunks
    that arrive ahead of a missing one are held back, at most
    ``MAX_HELD_CHUNKS`` of them.
    """

    def __init__(self, attempt: AttemptId) -> None:
        """Start empty; the first chunk to return has index 0."""
        self.next_index = 0
        self._attempt = attempt
        self._held: dict[int, Chunk] = {}

    def accept(self, chunk: Chunk) -> tuple[Chunk, ...]:
        """Add a chunk and return those that are now next in order."""
        if chunk.attempt != self._attempt or chunk.is_keep_alive:
            return ()
        if chunk.index < self.next_index:
            return ()
        if len(self._held) < MAX_HELD_CHUNKS or chunk.index == self.next_index:
            self._held.setdefault(chunk.index, chunk)
        return self._pop_ready()

    def _pop_ready(self) -> tuple[Chunk, ...]:
        ready = []
        while self.next_index in self._held:
            ready.append(self._held.pop(self.next_index))
            self.next_index += 1
        return tuple(ready)


class DeliveredText:
    """Text of a generation that was delivered, over all attempts."""

    def __init__(self) -> None:
        """Start with no text."""
        self.tokens = 0
        self._texts: list[str] = []

    @property
    def text(self) -> str:
        """All text delivered so far."""
        return ''.join(self._texts)

    def add(self, text: str, tokens: int) -> None:
        """Add text that was delivered.

        :param tokens: number of tokens in the text.
        """
        self.tokens += tokens
        self._texts.append(text)
