"""Messages between routers and agents about calls."""

import dataclasses
import enum

from lagoonflow.results import Refusal
from lagoonflow.streams.messages import Versions


class AttemptState(enum.StrEnum):
    """State of an attempt at its agent.

    ``FINISHED`` covers success and failure. ``REVOKED`` means that the attempt
    has not run and never will. ``UNKNOWN`` means that the agent process has no
    record of the attempt.
    """

    QUEUED = 'queued'
    STARTED = 'started'
    FINISHED = 'finished'
    REVOKED = 'revoked'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptId:
    """Identifies one attempt at running a request."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Generation:
    """A generation for a model engine.

    :param from_token: index of the first token to generate; above 0 when the
        generation continues one that an earlier attempt began.
    :param delivered_text: text of the tokens before ``from_token``.
    """

    model: str
    adapter: str
    prompt: str
    max_tokens: int
    from_token: int = 0
    seed: int = 0
    delivered_text: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """An HTTP request for a plain service, without the caller's API key."""

    service: str
    method: str
    path: str
    query: str
    headers: tuple[Header, ...]
    body: bytes
    is_idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRequest:
    """Starts an attempt, or resumes its stream at ``next_index``.

    :param deadline_in_ms: time in ms left until the answer has to begin or to
        continue.
    :param priority: position in the agent's queue; smaller runs earlier.
    :param cost_tokens: tokens that fair queueing charges the organisation.
    :param next_index: index of the first chunk that the router lacks.
    :param router_nonce: distinguishes a restarted router from its predecessor.
    :param agent_nonce: identifies the agent process that the attempt was first
        sent to; empty if not known.
    :param sequence: number that grows with every attempt of the router
        process; the agent uses it to recognise late copies of requests.
    """

    attempt: AttemptId
    router: str
    organisation: str
    key_id: str
    deadline_in_ms: int
    versions: Versions
    generation: Generation | None = None
    service_call: ServiceCall | None = None
    priority: int = 0
    cost_tokens: float = 0
    next_index: int = 0
    is_resumption: bool = False
    router_nonce: str = ''
    agent_nonce: str = ''
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Token counts of a finished generation."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Marks the end of a complete answer.

    :param queue_ms: time in ms in the run queue, loading included.
    :param load_ms: part of ``queue_ms`` that was spent on loading.
    """

    reason: str
    usage: Usage = Usage()
    queue_ms: int = 0
    load_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Status and headers of a plain service's answer; the body follows."""

    status: int
    headers: tuple[Header, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """One part of an answer, or a keep-alive that carries only the state.

    :param index: position in the stream of the attempt, from 0.
    :param state: the attempt's state at the agent.
    :param tokens: number of tokens in ``text``.
    :param nonce: identifies the agent process that sent the chunk.
    """

    attempt: AttemptId
    index: int
    state: AttemptState
    text: str = ''
    tokens: int = 0
    body: bytes = b''
    answer: ServiceAnswer | None = None
    finish: Finish | None = None
    refusal: Refusal | None = None
    versions: Versions = Versions()
    nonce: str = ''

    @property
    def is_keep_alive(self) -> bool:
        """Whether the chunk carries no part of the answer."""
        has_content = self.tokens or self.text or self.body or self.answer
        return not (has_content or self.finish or self.refusal)

    @property
    def is_last(self) -> bool:
        """Whether the chunk ends the answer."""
        return self.finish is not None or self.refusal is not None


@dataclasses.dataclass(frozen=True, slots=True)
class RevokeRequest:
    """Asks an agent to revoke an attempt that has not started.

    For an attempt that the agent has not received yet, it keeps a tombstone,
    so that the attempt is rejected when it arrives. The last three fields are
    copied from the attempt's request.
    """

    attempt: AttemptId
    router: str
    versions: Versions
    router_nonce: str = ''
    agent_nonce: str = ''
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RevokeReply:
    """The state of an attempt after a request to revoke it.

    Only ``REVOKED`` means that the attempt has not run and never will.
    ``UNKNOWN`` means that it may have run: at an earlier agent process, or at
    this one, which may have dropped its record.

    :param nonce: identifies the agent process that answers.
    """

    attempt: AttemptId
    state: AttemptState
    versions: Versions
    nonce: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRequest:
    """Asks an agent to stop an attempt because its answer is not needed."""

    attempt: AttemptId
    versions: Versions
