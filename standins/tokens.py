"""Deterministic text that the model engine generates.

The answer to a prompt that contains `[stop=N]` stops after N tokens. Other
answers end only at their token limit.
"""

import hashlib
import re

BYTES_PER_TOKEN = 4
DIGEST_BYTES = 2
STOP_PATTERN = re.compile(r'\[stop=(\d+)\]')


def count_tokens(text: str) -> int:
    """Return the number of tokens of a prompt."""
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


def stop_index(prompt: str) -> int | None:
    """Return after how many tokens the answer stops; None for no stop."""
    match = STOP_PATTERN.search(prompt)
    return int(match.group(1)) if match else None


class TokenSource:
    """Computes the tokens of one answer from their indexes.

    :param model: name of the model.
    :param version: version of the model.
    :param adapter: name of the adapter, or an empty string.
    :param adapter_version: version of the adapter, or an empty string.
    :param prompt: the whole prompt.
    """

    def __init__(
        self,
        model: str,
        version: str,
        adapter: str,
        adapter_version: str,
        prompt: str,
    ) -> None:
        parts = (model, version, adapter, adapter_version, prompt)
        self._prefix_hash = hashlib.blake2b('\0'.join(parts).encode())

    def token(self, index: int) -> str:
        """Return the text of the token at an index."""
        digest = self._prefix_hash.copy()
        digest.update(index.to_bytes(4, 'big'))
        return f' tok{digest.hexdigest()[: DIGEST_BYTES * 2]}'

    def text(self, start: int, end: int) -> str:
        """Return the text of the tokens from `start` up to `end`."""
        return ''.join(self.token(index) for index in range(start, end))


def expected_tokens(prompt: str, max_tokens: int) -> int:
    """Return the number of tokens of the complete answer."""
    stop = stop_index(prompt)
    return max_tokens if stop is None else min(stop, max_tokens)


def expected_text(
    model: str,
    version: str,
    adapter: str,
    adapter_version: str,
    prompt: str,
    max_tokens: int,
) -> str:
    """Return the complete correct answer to a prompt."""
    source = TokenSource(model, version, adapter, adapter_version, prompt)
    return source.text(0, expected_tokens(prompt, max_tokens))
