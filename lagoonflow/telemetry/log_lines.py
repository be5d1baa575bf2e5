"""Reads the JSON log lines that routers and agents write."""

import dataclasses
import json
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

_ENVELOPE_FIELDS = frozenset(
    ('process', 'part', 'event', 'line_ms', 'level', 'timestamp', 'steps')
)


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One log line of one process.

    :param process: name of the process.
    :param part: component that wrote the line, such as ``waking``.
    :param event: text of the line.
    :param at_ms: wall clock time of that process, in ms since 1970.
    :param fields: all fields of the line, with those above.
    """

    process: str
    part: str
    event: str
    at_ms: float
    fields: Mapping[str, Any]

    def get(self, name: str, default: Any = None) -> Any:
        """Return a field of the line, or the default when it has none."""
        return self.fields.get(name, default)

    def describe(self) -> str:
        """Return the fields as ``name=value`` texts.

        Left out are fields that are empty, zero or false, those that every
        line has, and the steps of a call.
        """
        return ' '.join(
            f'{name}={value}'
            for name, value in self.fields.items()
            if name not in _ENVELOPE_FIELDS and str(value or '')
        )


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines found in texts, one line each.

    A prefix before the JSON object is ignored, as log collectors may add
    one. Texts without a complete object are skipped.
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
