"""Generate requests to a model engine, and the events of the answers."""

import dataclasses
import enum
from typing import Literal


@dataclasses.dataclass(frozen=True, slots=True)
class GenerateRequest:
    """A request to generate text.

    :param request_id: id of the request.
    :param model: name of the model.
    :param version: version of the model.
    :param prompt: the whole prompt.
    :param max_tokens: maximum length of the whole answer, in tokens.
    :param adapter: name of the adapter, or an empty string.
    :param adapter_version: version of the adapter.
    :param priority: requests with lower numbers start first.
    :param from_token: index of the first token to send; above 0, an answer
        is resumed.
    :param seed: seed of the token sampling.
    """

    request_id: str
    model: str
    version: str
    prompt: str
    max_tokens: int
    adapter: str = ''
    adapter_version: str = ''
    priority: int = 0
    from_token: int = 0
    seed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """Consecutive tokens of an answer.

    :param index: index of its first token.
    :param text: text of the tokens.
    :param tokens: number of tokens in the text.
    """

    index: int
    text: str
    tokens: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The end of an answer.

    :param finish_reason: why it ended.
    :param completion_tokens: tokens of the whole answer, including those
        before the token at which it was resumed.
    :param prompt_tokens: tokens of the prompt.
    """

    finish_reason: Literal['length', 'stop', 'cancelled']
    completion_tokens: int
    prompt_tokens: int


class GenerationFailure(enum.Enum):
    """Why an answer did not start or was not completed."""

    NOT_SENT = 'not sent'
    NOT_READY = 'not ready'
    REJECTED = 'rejected'
    ENGINE_ERROR = 'engine error'
    NO_PROGRESS = 'no progress'
    BROKEN = 'broken'


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationFailed:
    """The answer did not start or was not completed.

    :param kind: kind of failure; after NOT_SENT, NOT_READY and REJECTED it is
        certain that nothing ran.
    :param reason: what went wrong, for logs and error messages.
    """

    kind: GenerationFailure
    reason: str


GenerationEvent = Chunk | Finished | GenerationFailed


@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled:
    """The engine answered a cancel request.

    :param was_known: whether it knew the request that was to be cancelled.
    """

    was_known: bool
