"""Events of one attempt, and the port to the engine."""

import dataclasses
from collections.abc import AsyncGenerator
from typing import Protocol

from lagoonflow.calls.messages import AttemptId, Usage
from lagoonflow.results import Refusal
from lagoonflow.runners.engine_messages import Listing, OrderAnswer
from lagoonflow.runners.messages import EngineOrder, StartGeneration


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The attempt runs on the engine from now on.

    :param queue_ms: time in the run queue, loads included.
    :param load_ms: part of it that was spent loading.
    """

    queue_ms: int
    load_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Tokens:
    """A part of the answer.

    :param index: index of its first token in the whole answer.
    """

    index: int
    text: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The whole answer has been sent."""

    reason: str
    usage: Usage


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The attempt ends without a whole answer."""

    refusal: Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class StreamFailed:
    """The engine's stream did not come or broke off.

    :param not_run: whether it is certain that nothing ran.
    """

    reason: str
    not_run: bool


AttemptEvent = Started | Tokens | Finished | Refused
EngineEvent = Tokens | Finished | StreamFailed


class EnginePort(Protocol):
    """What a runner needs of its engine."""

    async def listing(self) -> Listing | None:
        """Fetch the listing; ``None`` when the engine can't be reached."""

    async def order(self, order: EngineOrder) -> OrderAnswer:
        """Send an order; a lost answer is an answer, too."""

    def generate(
        self,
        start: StartGeneration,
        from_token: int,
    ) -> AsyncGenerator[EngineEvent, None]:
        """Stream an answer from a token on."""

    async def cancel(self, attempt: AttemptId) -> None:
        """Stop the generation of an attempt."""
