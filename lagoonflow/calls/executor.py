"""Interface of what runs attempts: a model engine or a plain service."""

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
    """The engine has generated text.

    :param tokens: number of tokens in ``text``.
    """

    text: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerBegun:
    """A plain service has sent status and headers; the body follows."""

    answer: ServiceAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class BodyProduced:
    """A plain service has sent a part of the body."""

    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The answer is complete."""

    finish: Finish


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The attempt ends without a complete answer."""

    refusal: Refusal


ExecutionEvent = (
    Started | TextProduced | AnswerBegun | BodyProduced | Finished | Refused
)


class Executor(Protocol):
    """Queues and runs attempts of one kind."""

    def run(self, request: AttemptRequest) -> AsyncIterator[ExecutionEvent]:
        """Queue and run one attempt, and yield what it produces.

        The attempt has to pause while the reader does not ask for the next
        event. The last event is :class:`Finished` or :class:`Refused`.
        """

    def withdraw(self, attempt: AttemptId) -> bool:
        """Remove an attempt from the queue.

        :returns: true if the attempt has not started and never will.
        """

    def cancel(self, attempt: AttemptId) -> None:
        """Stop an attempt, unless it is unsafe to stop it before its end."""
