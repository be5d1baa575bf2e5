"""Finds and redacts keys in texts that are shown or stored."""

import re

KEY_PATTERN = re.compile('lf_[0-9A-Za-z]{8,}')
REDACTED = 'lf_...'


def contains_key(text: str) -> bool:
    """Return whether a text contains something that looks like a key."""
    return KEY_PATTERN.search(text) is not None


def redact(text: str) -> str:
    """Replace everything that looks like a key."""
    return KEY_PATTERN.sub(REDACTED, text)
