"""What an operator asks lagoonflowctl to do."""

import dataclasses
import pathlib

from lagoonflow.releases.messages import ObjectKind
from lagoonflow.wire.address import Address


@dataclasses.dataclass(frozen=True, slots=True)
class ValidateNote:
    """Check a note file."""

    path: pathlib.Path


@dataclasses.dataclass(frozen=True, slots=True)
class PlanNote:
    """Show what a note file would change.

    :param log: address of the log service, as ``HOST:PORT``.
    """

    path: pathlib.Path
    log_address: str
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PublishNote:
    """Publish a note file and wait for what becomes of it."""

    path: pathlib.Path
    log_address: str
    timeout_ms: int
    author: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ShowReleases:
    """Show the objects in force, with their versions."""

    log_address: str
    timeout_ms: int
    kind: ObjectKind | None = None
    as_json: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ShowHistory:
    """Show the last notes and what became of them."""

    log_address: str
    timeout_ms: int
    as_json: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainRequest:
    """Show how a request ended, from log files.

    :param request: id of the request.
    """

    request: str
    logs: tuple[pathlib.Path, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SummarizeLog:
    """Count calls and orders in log files."""

    logs: tuple[pathlib.Path, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ShowSchema:
    """Print the JSON schema of note files."""


@dataclasses.dataclass(frozen=True, slots=True)
class MakeKey:
    """Make a key and print it once."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainCode:
    """Explain a result code, or all of them."""

    code: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Where the processes are found.

    :param log: the log service, whose roster names them; may be empty.
    :param processes: administrative addresses given by hand.
    """

    log_address: str
    timeout_ms: int
    processes: tuple[Address, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ShowStatus:
    """Show all processes, their versions and who is behind."""

    fleet: Fleet
    as_json: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ShowTimeLine:
    """Merge the time lines of all processes.

    :param since_ms: wall clock of the earliest event, in ms since 1970.
    """

    fleet: Fleet
    request: str = ''
    model: str = ''
    host: str = ''
    since_ms: int = 0
    as_json: bool = False


ReleaseCommand = (
    ValidateNote
    | PlanNote
    | PublishNote
    | ShowReleases
    | ShowHistory
    | ShowSchema
)
Command = (
    ReleaseCommand
    | MakeKey
    | ExplainCode
    | ShowStatus
    | ShowTimeLine
    | ExplainRequest
    | SummarizeLog
)
