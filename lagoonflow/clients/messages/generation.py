"""Generate requests and the events of their answers."""

import dataclasses
import enum
from typing import Literal


@dataclasses.dataclass(frozen=True, slots=True)
class GenerateRequest:
    """A generate request.

    :param request_id: id of the request.
    :param model: name of the model.
    :param version: version of the model.
    :param prompt: the whole prompt.
    :param max_tokens: length limit of the whole answer, in tokens.
    :param adapter: name of the adapter, or an empty string.
    :param adapter_version: version of the adapter.
    :param priority: lower numbers start first.
    :param from_token: index of the first token to send, to resume.
    :param seed: seed of the sampling.
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
    """A part of an answer.

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
    :param completion_tokens: tokens of the whole answer, resumed ones too.
    :param prompt_tokens: tokens of the prompt.
    """

    finish_reason: Literal['length', 'stop', 'cancelled']
    completion_tokens: int
    prompt_tokens: int


class GenerationFailure(enum.Enum):
    """Why an answer did not come or broke off."""

    NOT_SENT = 'not sent'
    NOT_READY = 'not ready'
    REJECTED = 'rejected'
    ENGINE_ERROR = 'engine error'
    NO_PROGRESS = 'no progress'
    BROKEN = 'broken'


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationFailed:
    """The answer did not come or broke off.

    :param kind: what happened; NOT_SENT, NOT_READY and REJECTED mean that
        nothing ran.
    :param reason: one sentence for a person.
    """

    kind: GenerationFailure
    reason: str


GenerationEvent = Chunk | Finished | GenerationFailed


@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled:
    """Answer to a cancel request.

    :param was_open: whether the engine knew the request.
    """

    was_known: bool
