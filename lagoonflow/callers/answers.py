"""Encodes generated answers in the OpenAI format, whole or as SSE."""

import dataclasses
import time

import msgspec

from lagoonflow.calls.messages import Finish

SSE_DONE = b'data: [DONE]\n\n'


class UsageBody(msgspec.Struct, frozen=True):
    """Token counts of one answer."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class Message(msgspec.Struct, frozen=True, omit_defaults=True):
    """Message of a chat answer, or the next text of a streamed one."""

    content: str = ''
    role: str = ''


class Choice(msgspec.Struct, frozen=True):
    """The only choice of an answer; callers can't ask for several."""

    index: int = 0
    finish_reason: str | None = None
    text: str | msgspec.UnsetType = msgspec.UNSET
    message: Message | msgspec.UnsetType = msgspec.UNSET
    delta: Message | msgspec.UnsetType = msgspec.UNSET


class AnswerBody(msgspec.Struct, frozen=True):
    """Body of a whole answer, or of one event of a streamed answer."""

    id: str
    object: str
    created: int
    model: str
    choices: list[Choice]
    usage: UsageBody | msgspec.UnsetType = msgspec.UNSET


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEncoder:
    """Encodes one answer, whole or as a sequence of SSE events.

    :param is_chat: whether the caller asked for a chat completion.
    """

    request_id: str
    model: str
    is_chat: bool

    def encode_part(self, text: str) -> bytes:
        """Encode generated text as one SSE event."""
        choice = Choice(text=text)
        if self.is_chat:
            choice = Choice(delta=Message(content=text))
        return _encode_event(self._build_body(choice, is_part=True))

    def encode_end(self, finish: Finish) -> bytes:
        """Encode the finish reason and the usage as the last SSE events."""
        choice = Choice(text='', finish_reason=finish.reason)
        if self.is_chat:
            choice = Choice(delta=Message(), finish_reason=finish.reason)
        body = self._build_body(
            choice, is_part=True, usage=_build_usage(finish)
        )
        return b''.join((_encode_event(body), SSE_DONE))

    def encode_whole(self, text: str, finish: Finish) -> bytes:
        """Encode a whole answer as a JSON body."""
        choice = Choice(text=text, finish_reason=finish.reason)
        if self.is_chat:
            message = Message(role='assistant', content=text)
            choice = Choice(message=message, finish_reason=finish.reason)
        body = self._build_body(
            choice, is_part=False, usage=_build_usage(finish)
        )
        return msgspec.json.encode(body)

    def _build_body(
        self,
        choice: Choice,
        *,
        is_part: bool,
        usage: UsageBody | msgspec.UnsetType = msgspec.UNSET,
    ) -> AnswerBody:
        object_type = 'text_completion'
        if self.is_chat:
            object_type = (
                'chat.completion.chunk' if is_part else 'chat.completion'
            )
        return AnswerBody(
            id=self.request_id,
            object=object_type,
            created=int(time.time()),
            model=self.model,
            choices=[choice],
            usage=usage,
        )


def _build_usage(finish: Finish) -> UsageBody:
    usage = finish.usage
    return UsageBody(
        prompt_tokens=usage.prompt_tokens,
        completion_tokens=usage.completion_tokens,
        total_tokens=usage.prompt_tokens + usage.completion_tokens,
    )


def _encode_event(body: AnswerBody) -> bytes:
    return b''.join((b'data: ', msgspec.json.encode(body), b'\n\n'))
