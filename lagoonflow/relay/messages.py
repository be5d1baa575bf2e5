"""A caller's request and a backend server's answer, decoded."""

import dataclasses

from lagoonflow.http1.messages import AnswerHead, RequestHead


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """Part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """What a caller asks for.

    :param request_id: id of this attempt of the caller.
    :param key: credential of the caller; empty when there is none.
    :param deadline_ms: time that the caller waits; ``None`` when unstated.
    :param model: model name; empty for requests to plain services.
    :param adapter: adapter of the model; empty for none.
    :param input_tokens: tokens of the prompt; 0 when unstated.
    :param output_tokens: most tokens of the answer; 0 when unstated.
    :param resume_after: id of the last event that the caller has.
    """

    request_id: str
    host: str
    path: str
    head: RequestHead
    body: bytes
    key: str = ''
    deadline_ms: float | None = None
    model: str = ''
    adapter: str = ''
    input_tokens: int = 0
    output_tokens: int = 0
    prompt: tuple[PromptPart, ...] = ()
    resume_after: str = ''

    @property
    def tokens(self) -> int:
        """Tokens that the request is charged with; 0 when unstated."""
        return self.input_tokens + self.output_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """How a call is presented to one backend server.

    :param deadline_ms: time that is left.
    :param urgency: rank in the runner's batch, 0 first.
    :param resume_after: id of the last event that was delivered.
    """

    instance: str
    organisation: str
    deadline_ms: int
    urgency: int | None = None
    resume_after: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """How busy a backend server says it is."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What the head of an answer says.

    :param was_not_run: the backend server states that it did not run the
        request.
    :param is_sealed: whether the server vouches for the body.
    :param is_event_stream: whether the body is a series of events.
    """

    head: AnswerHead
    was_not_run: bool
    is_sealed: bool
    is_encoded: bool
    is_event_stream: bool
    load: ServerLoad | None = None

    @property
    def is_success(self) -> bool:
        """Whether the status is a success."""
        return 200 <= self.head.status < 300

    @property
    def is_genuine(self) -> bool:
        """Whether the body is the server's own, unchanged."""
        return self.is_sealed and not self.is_encoded
