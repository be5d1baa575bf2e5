"""The commands of lagoonflowctl, as parsed from its command line.

In all of them, ``log_address`` is the ``HOST:PORT`` of the log service and
``timeout_ms`` the timeout of each step in ms.
"""

import dataclasses
import pathlib

from lagoonflow.releases.messages import ObjectKind
from lagoonflow.wire.address import Address


@dataclasses.dataclass(frozen=True, slots=True)
class ValidateNote:
    """Check a release note file."""

    path: pathlib.Path


@dataclasses.dataclass(frozen=True, slots=True)
class PlanNote:
    """Show what publishing a note file would change."""

    path: pathlib.Path
    log_address: str
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PublishNote:
    """Publish a note file and wait until it is accepted or rejected.

    :param author: author to record when the note names none.
    """

    path: pathlib.Path
    log_address: str
    timeout_ms: int
    author: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ShowReleases:
    """Show the objects in force, with their versions.

    :param kind: show only objects of this kind; all kinds when None.
    """

    log_address: str
    timeout_ms: int
    kind: ObjectKind | None = None
    as_json: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ShowHistory:
    """Show the latest notes and whether each was accepted."""

    log_address: str
    timeout_ms: int
    as_json: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainRequest:
    """Show from log files how a request ended.

    :param request: id of the request.
    :param logs: log files of routers and agents.
    """

    request: str
    logs: tuple[pathlib.Path, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SummarizeLog:
    """Count calls and orders in log files.

    :param logs: log files of routers and agents.
    """

    logs: tuple[pathlib.Path, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ListUnserved:
    """List the models of log files whose calls were never served.

    :param logs: log files of routers and agents.
    """

    logs: tuple[pathlib.Path, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ShowSchema:
    """Print the JSON schema of note files."""


@dataclasses.dataclass(frozen=True, slots=True)
class MakeKey:
    """Make a caller's key and print it, which is done only once."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainCode:
    """Explain a result code, or all of them.

    :param code: number or name of the code; empty for all codes.
    """

    code: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Where to find the processes that a command asks.

    :param log_address: log service whose roster lists the processes; empty
        to ask only ``processes``.
    :param processes: administrative addresses given on the command line.
    """

    log_address: str
    timeout_ms: int
    processes: tuple[Address, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ShowStatus:
    """Show the status of all processes and which of them lag behind."""

    fleet: Fleet
    as_json: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ShowTimeLine:
    """Show the events of all processes in one time line.

    :param request: show only events of this request id; empty for all.
    :param model: show only events of this model; empty for all.
    :param host: show only events of this host; empty for all.
    :param since_ms: wall clock time of the earliest event, in ms since 1970.
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
LogCommand = ExplainRequest | SummarizeLog | ListUnserved
Command = (
    ReleaseCommand
    | LogCommand
    | MakeKey
    | ExplainCode
    | ShowStatus
    | ShowTimeLine
)
