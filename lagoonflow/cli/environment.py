"""Standard streams and environment variables of a program."""

import dataclasses
import os
import sys
from collections.abc import Mapping
from typing import TextIO

from lagoonflow.keys.redaction import redact

ENVIRONMENT_PREFIX = 'LAGOONFLOW_'


@dataclasses.dataclass(slots=True)
class Environment:
    """The standard streams and environment variables of a program.

    Tests replace them to run a program in their own process.

    :param variables: environment variables.
    """

    stdin: TextIO = dataclasses.field(default_factory=lambda: sys.stdin)
    stdout: TextIO = dataclasses.field(default_factory=lambda: sys.stdout)
    stderr: TextIO = dataclasses.field(default_factory=lambda: sys.stderr)
    variables: Mapping[str, str] = dataclasses.field(
        default_factory=lambda: os.environ,
    )

    def print(self, text: str = '') -> None:
        """Print a line to standard output."""
        self.stdout.write(f'{text}\n')

    def print_to_stderr(self, text: str) -> None:
        """Print an error, hint or notice to standard error, keys redacted."""
        self.stderr.write(f'{redact(text)}\n')
        self.stderr.flush()
