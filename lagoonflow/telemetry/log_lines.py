"""Reads the structured lines that processes have written."""

import dataclasses
import json
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

_ENVELOPE_FIELDS = frozenset(
    ('process', 'part', 'event', 'line_ms', 'level', 'timestamp', 'steps')
)


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One decision or change, as one process wrote it.

    :param at_ms: wall clock of that process, in ms since 1970.
    """

    process: str
    part: str
    event: str
    at_ms: float
    fields: Mapping[str, Any]

    def get(self, name: str, default: Any = None) -> Any:
        """Return a field of the line."""
        return self.fields.get(name, default)

    def describe(self) -> str:
        """Return the fields as text."""
        return ' '.join(
            f'{name}={value}'
            for name, value in self.fields.items()
            if name not in _ENVELOPE_FIELDS and str(value or '')
        )


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Decode lines; what stands before the JSON object is skipped.

    Lines without one, and those cut short, are left out.
    """
    for text in texts:
        start = text.find('{')
        fields = _decode(text[start:]) if start >= 0 else None
        if fields is not None and 'event' in fields:
            yield LogLine(
                process=str(fields.get('process', '')),
                part=str(fields.get('part', '')),
                event=str(fields['event']),
                at_ms=float(fields.get('line_ms', 0)),
                fields=fields,
            )


def _decode(text: str) -> Mapping[str, Any] | None:
    try:
        decoded = json.loads(text)
    except ValueError:
        return None
    return decoded if isinstance(decoded, dict) else None
