"""Outcomes of sending a call to one backend server."""

import dataclasses

from lagoonflow.relay.messages import Answer
from lagoonflow.relay.openings import Opening
from lagoonflow.results import Refusal

# Callers take these statuses to mean that their request has not run. A server's
# answer with one of them is not forwarded unless the server states that the
# request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
MIN_SERVER_ERROR_STATUS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """The caller has received the whole answer."""

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """Nothing of the request was sent to the server.

    :param opening: the attempt to connect, if it goes on.
    :param is_servers_fault: whether this counts against the server.
    """

    reason: str
    opening: Opening | None = None
    is_servers_fault: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Forbidden:
    """The server must not get the request now, so nothing was sent.

    This is no failure of the server; the call chooses again.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The server states that it did not run the request."""

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The server answered with an error, which may be forwarded."""

    answer: Answer
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """No complete valid answer arrived; the request may have run."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Withheld:
    """The call was refused right before the send, so nothing was sent."""

    refusal: Refusal


Outcome = Delivered | NotSent | Forbidden | NotRun | Failed | Broken | Withheld
