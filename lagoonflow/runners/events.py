"""Events of an attempt, and the interface of the engine."""

import dataclasses
from collections.abc import AsyncGenerator
from typing import Protocol

from lagoonflow.calls.messages import AttemptId, Usage
from lagoonflow.results import Refusal
from lagoonflow.runners.engine_messages import Listing, OrderAnswer
from lagoonflow.runners.messages import EngineOrder, StartGeneration


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The attempt has started on the engine.

    :param queue_ms: time in the run queue, waits for loads included.
    :param load_ms: part of it until the replica was loaded.
    """

    queue_ms: int
    load_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Tokens:
    """A part of the answer.

    :param index: index of its first token in the answer.
    :param tokens: number of its tokens.
    """

    index: int
    text: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The answer is complete."""

    reason: str
    usage: Usage


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The attempt has ended without a complete answer."""

    refusal: Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class StreamFailed:
    """The engine's stream did not start, or broke off.

    :param not_run: whether the engine certainly did not run the request.
    """

    reason: str
    not_run: bool


AttemptEvent = Started | Tokens | Finished | Refused
EngineEvent = Tokens | Finished | StreamFailed


class EnginePort(Protocol):
    """Interface of the engine that a runner uses."""

    async def listing(self) -> Listing | None:
        """Fetch the listing; ``None`` when the engine can't be reached."""

    async def order(self, order: EngineOrder) -> OrderAnswer:
        """Send an order; the answer is ``LOST`` when none was received."""

    def generate(
        self,
        start: StartGeneration,
        from_token: int,
    ) -> AsyncGenerator[EngineEvent, None]:
        """Stream an answer, starting at a token."""

    async def cancel(self, attempt: AttemptId) -> None:
        """Stop the generation of an attempt."""
