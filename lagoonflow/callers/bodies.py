"""Validated bodies of the OpenAI-style routes."""

from typing import Annotated

import msgspec

from lagoonflow.results import Refusal, Result

MAX_TOKENS_LIMIT = 32768
DEFAULT_MAX_TOKENS = 256
# A token is seldom shorter than this; the charge must not be too low.
BYTES_PER_TOKEN = 2

TokenCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS_LIMIT)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: Annotated[str, msgspec.Meta(max_length=32)]
    content: str


class ChatBody(msgspec.Struct, frozen=True):
    """Body of ``/v1/chat/completions``."""

    model: Name
    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    max_tokens: TokenCount | None = None
    max_completion_tokens: TokenCount | None = None
    stream: bool = False
    seed: int = 0

    @property
    def prompt(self) -> str:
        """The messages as one prompt."""
        return '\n'.join(
            f'{message.role}: {message.content}' for message in self.messages
        )


class CompletionBody(msgspec.Struct, frozen=True):
    """Body of ``/v1/completions``."""

    model: Name
    prompt: str
    max_tokens: TokenCount | None = None
    max_completion_tokens: TokenCount | None = None
    stream: bool = False
    seed: int = 0


GenerationBody = ChatBody | CompletionBody


def parse_body(
    body: bytes,
    body_type: type[ChatBody] | type[CompletionBody],
) -> GenerationBody | Refusal:
    """Decode and validate a body."""
    try:
        return msgspec.json.decode(body, type=body_type)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Refusal(Result.MALFORMED_BODY, f'The body is malformed: {error}')


def requested_max_tokens(body: GenerationBody) -> int:
    """Return the most tokens that the caller wants generated."""
    return body.max_completion_tokens or body.max_tokens or DEFAULT_MAX_TOKENS


def estimate_prompt_tokens(prompt: str) -> int:
    """Return a number of tokens that the prompt does not exceed."""
    return len(prompt.encode()) // BYTES_PER_TOKEN + 1
