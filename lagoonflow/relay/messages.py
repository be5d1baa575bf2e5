"""Decoded requests of callers and answers of backend servers."""

import dataclasses

from lagoonflow.http1.body_parts import Body
from lagoonflow.http1.messages import RequestHead, ResponseHead


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """Part of a prompt that other requests may share.

    :param part_id: id that the caller gives to the part.
    :param tokens: its length in tokens.
    """

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A caller's request.

    :param request_id: id that the caller gives to this attempt.
    :param host: host name that the request is addressed to.
    :param key: API key of the caller; empty when there is none.
    :param deadline_ms: time in ms that the caller waits; ``None`` when
        unstated.
    :param model: model name; empty for requests to plain services.
    :param adapter: adapter of the model; empty for none.
    :param input_tokens: tokens of the prompt; 0 when unstated.
    :param output_tokens: maximum tokens of the answer; 0 when unstated.
    :param prompt: parts of the prompt, in order.
    :param resume_after: id of the last event that the caller has received;
        empty when it does not resume a stream.
    :param resumed_request_id: attempt of the caller that received the first
        event of the stream that it resumes; empty when unstated.
    """

    request_id: str
    host: str
    path: str
    head: RequestHead
    body: Body
    key: str = ''
    deadline_ms: float | None = None
    model: str = ''
    adapter: str = ''
    input_tokens: int = 0
    output_tokens: int = 0
    prompt: tuple[PromptPart, ...] = ()
    resume_after: str = ''
    resumed_request_id: str = ''

    @property
    def tokens(self) -> int:
        """Tokens charged for the request; 0 when unstated."""
        return self.input_tokens + self.output_tokens

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the prompt; 0 when unstated."""
        if self.prompt:
            return sum(part.tokens for part in self.prompt)
        return self.input_tokens

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the prompt parts that other requests may share.

        The last part belongs to the request or its session alone.
        """
        return tuple(part.part_id for part in self.prompt[:-1])


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """What a request to one backend server states in addition to the call.

    :param instance: id of the server that the request is meant for.
    :param organisation: name of the caller's organisation; empty for none.
    :param deadline_ms: time in ms that is left for the answer.
    :param urgency: priority in the runner's batch; 0 is the most urgent.
    :param resume_after: id of the last event that the caller has received.
    """

    instance: str
    organisation: str
    deadline_ms: int
    urgency: int | None = None
    resume_after: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load that a backend server reports: requests, and slots for them.

    :param work_time_percent: how long work takes on the server's machine at
        this moment, in percent of the usual time; ``None`` when unstated.
    """

    running: int
    waiting: int
    slots: int
    work_time_percent: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The decoded head of a backend server's answer.

    :param was_not_run: the server states that it did not run the request.
    :param is_sealed: the answer has the header by which the server confirms
        that the body is its own.
    :param is_encoded: the body has a content encoding.
    :param is_event_stream: the body is a stream of server-sent events.
    :param load: load that the server reports; ``None`` when unstated.
    :param is_leaving: the server says that it is leaving.
    :param pause_ms: time in ms for which a full server wants no requests;
        ``None`` when unstated or malformed.
    :param limit_per_s: requests per second that the server takes from all
        routers together; ``None`` when unstated or malformed.
    :param cold_for_ms: time in ms for which the server is cold; ``None`` when
        unstated or malformed.
    :param is_load_malformed: the server reports a load that can't be read.
    """

    head: ResponseHead
    was_not_run: bool
    is_sealed: bool
    is_encoded: bool
    is_event_stream: bool
    load: ServerLoad | None = None
    is_leaving: bool = False
    pause_ms: float | None = None
    limit_per_s: float | None = None
    cold_for_ms: float | None = None
    is_load_malformed: bool = False

    @property
    def is_success(self) -> bool:
        """Whether the status is in the 2xx range."""
        return 200 <= self.head.status < 300

    @property
    def is_genuine(self) -> bool:
        """Whether the body is as the server sent it.

        Without the seal, or with a content encoding, the body may have been
        replaced or changed on the way.
        """
        return self.is_sealed and not self.is_encoded
