"""What a program sees of its surroundings."""

import dataclasses
import os
import sys
from collections.abc import Mapping
from typing import TextIO

from lagoonflow.keys.redaction import redact

ENVIRONMENT_PREFIX = 'LAGOONFLOW_'


@dataclasses.dataclass(slots=True)
class Environment:
    """Streams and variables, so that tests run programs in process.

    :param variables: environment variables.
    """

    stdin: TextIO = dataclasses.field(default_factory=lambda: sys.stdin)
    stdout: TextIO = dataclasses.field(default_factory=lambda: sys.stdout)
    stderr: TextIO = dataclasses.field(default_factory=lambda: sys.stderr)
    variables: Mapping[str, str] = dataclasses.field(
        default_factory=lambda: os.environ,
    )

    def print(self, text: str = '') -> None:
        """Print a line for the caller."""
        self.stdout.write(f'{text}\n')

    def print_to_stderr(self, text: str) -> None:
        """Print a line about what went wrong, without keys."""
        self.stderr.write(f'{redact(text)}\n')
        self.stderr.flush()
