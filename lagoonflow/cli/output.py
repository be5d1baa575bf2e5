"""Prints tables and JSON lines."""

from collections.abc import Iterable, Sequence
from typing import Any

import msgspec

from lagoonflow.cli.environment import Environment

COLUMN_GAP = '  '


def printable(text: str) -> str:
    """Escape control characters, so that data cannot control the terminal."""
    return ''.join(
        character
        if character.isprintable()
        else character.encode('unicode_escape').decode()
        for character in text
    )


def print_table(
    environment: Environment,
    header: Sequence[str],
    rows: Iterable[Sequence[object]],
) -> None:
    """Print a header and rows in aligned columns."""
    table_rows = [
        tuple(printable(str(cell)) for cell in row) for row in (header, *rows)
    ]
    widths = [max(map(len, column)) for column in zip(*table_rows, strict=True)]
    for table_row in table_rows:
        cells = [
            cell.ljust(width)
            for cell, width in zip(table_row, widths, strict=True)
        ]
        environment.print(COLUMN_GAP.join(cells).rstrip())


def print_json(environment: Environment, content: Any) -> None:
    """Print a value as one line of JSON."""
    environment.print(msgspec.json.encode(content).decode())
