"""What an agent's calls run on: a model engine or a plain service."""

import dataclasses
from collections.abc import AsyncIterator
from typing import Protocol

from lagoonflow.calls.messages import (
    AttemptId,
    AttemptRequest,
    Finish,
    ServiceAnswer,
)
from lagoonflow.results import Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The attempt has left the queue; from now on it may have run."""


@dataclasses.dataclass(frozen=True, slots=True)
class TextProduced:
    """Text was generated."""

    text: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerBegun:
    """A plain service has answered; the body follows."""

    answer: ServiceAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class BodyProduced:
    """A part of a plain service's body has come."""

    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The whole answer was produced."""

    finish: Finish


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The attempt ends without a whole answer."""

    refusal: Refusal


ExecutionEvent = (
    Started | TextProduced | AnswerBegun | BodyProduced | Finished | Refused
)


class Executor(Protocol):
    """Queues and runs attempts."""

    def run(self, request: AttemptRequest) -> AsyncIterator[ExecutionEvent]:
        """Queue and run one attempt.

        The source has to stop while the reader does not ask for more. The
        last event is :class:`Finished` or :class:`Refused`.
        """

    def withdraw(self, attempt: AttemptId) -> bool:
        """Take an attempt out of the queue.

        :returns: true when it has not started and never will.
        """

    def cancel(self, attempt: AttemptId) -> None:
        """Stop an attempt, unless stopping it half-way is unsafe."""
