"""Tables and JSON lines for the terminal."""

from collections.abc import Iterable, Sequence
from typing import Any

import msgspec

from lagoonflow.cli.environment import Environment

COLUMN_GAP = '  '


def printable(text: str) -> str:
    """Escape control characters, which could steer the terminal."""
    return ''.join(
        char if char.isprintable() else char.encode('unicode_escape').decode()
        for char in text
    )


def print_table(
    environment: Environment,
    header: Sequence[str],
    rows: Iterable[Sequence[object]],
) -> None:
    """Print rows in aligned columns."""
    lines = [
        tuple(printable(str(cell)) for cell in row) for row in (header, *rows)
    ]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        environment.print(COLUMN_GAP.join(cells).rstrip())


def print_json(environment: Environment, content: Any) -> None:
    """Print one line of JSON."""
    environment.print(msgspec.json.encode(content).decode())
