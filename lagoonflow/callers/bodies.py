"""Request bodies of the OpenAI-style endpoints and their validation."""

from typing import Annotated

import msgspec

from lagoonflow.results import Refusal, Result

MAX_TOKENS_LIMIT = 32768
DEFAULT_MAX_TOKENS = 256
# Few tokens are shorter than this, so the estimate is rarely below the true
# number of tokens, and the charge rarely too low.
BYTES_PER_TOKEN = 2

TokenCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS_LIMIT)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of the chat that the caller sends."""

    role: Annotated[str, msgspec.Meta(max_length=32)]
    content: str


class ChatBody(msgspec.Struct, frozen=True):
    """Request body of ``/v1/chat/completions``."""

    model: Name
    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    max_tokens: TokenCount | None = None
    max_completion_tokens: TokenCount | None = None
    stream: bool = False
    seed: int = 0

    @property
    def prompt(self) -> str:
        """Join the messages, each after its role, into one prompt."""
        return '\n'.join(
            f'{message.role}: {message.content}' for message in self.messages
        )


class CompletionBody(msgspec.Struct, frozen=True):
    """Request body of ``/v1/completions``."""

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
    """Decode and validate a request body."""
    try:
        return msgspec.json.decode(body, type=body_type)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Refusal(Result.MALFORMED_BODY, f'The body is malformed: {error}')


def requested_max_tokens(body: GenerationBody) -> int:
    """Return the caller's limit of generated tokens, or the default."""
    return body.max_completion_tokens or body.max_tokens or DEFAULT_MAX_TOKENS


def estimate_prompt_tokens(prompt: str) -> int:
    """Return an upper estimate of the number of tokens in a prompt."""
    return len(prompt.encode()) // BYTES_PER_TOKEN + 1
