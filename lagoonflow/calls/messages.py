"""Messages between routers and agents about calls."""

import dataclasses
import enum

from lagoonflow.results import Refusal
from lagoonflow.streams.messages import Versions


class AttemptState(enum.StrEnum):
    """State of an attempt at its agent."""

    QUEUED = 'queued'
    STARTED = 'started'
    FINISHED = 'finished'
    REVOKED = 'revoked'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptId:
    """Names one attempt at one request."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Generation:
    """Work for a model engine.

    :param from_token: first token to be generated, when continuing.
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
    """Work for a plain service; the key is already taken out."""

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

    :param deadline_in_ms: time left until the answer has to begin.
    :param priority: smaller runs earlier.
    :param cost_tokens: what fair queueing charges the organisation.
    :param router_nonce: tells a restarted router from its predecessor.
    :param agent_nonce: the agent process that the attempt was sent to.
    :param sequence: grows with every attempt of the router process.
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
    """Tokens that a finished generation took."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """The end of a whole answer.

    :param queue_ms: time in the run queue, loads included.
    :param load_ms: part of it that was spent loading.
    """

    reason: str
    usage: Usage = Usage()
    queue_ms: int = 0
    load_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """The head of a plain service's answer; the body follows."""

    status: int
    headers: tuple[Header, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """One part of an answer, in index order.

    :param index: position in the stream of the attempt, from 0.
    :param tokens: number of tokens in ``text``.
    :param state: the attempt's state; sent also alone, as a keep-alive.
    :param nonce: the agent process that sent the chunk.
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
        """Whether nothing follows the chunk."""
        return self.finish is not None or self.refusal is not None


@dataclasses.dataclass(frozen=True, slots=True)
class RevokeRequest:
    """Asks to revoke an attempt; unseen ones get a tombstone.

    The last three fields are those of the attempt's request.
    """

    attempt: AttemptId
    router: str
    versions: Versions
    router_nonce: str = ''
    agent_nonce: str = ''
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RevokeReply:
    """The state of the attempt after the request.

    Only ``REVOKED`` means that it has not run and never will. ``UNKNOWN``
    means that an earlier agent process may have run it.

    :param nonce: the agent process that answers.
    """

    attempt: AttemptId
    state: AttemptState
    versions: Versions
    nonce: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRequest:
    """The caller is gone: stop the attempt, whatever its state."""

    attempt: AttemptId
    versions: Versions
