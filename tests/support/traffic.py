"""Callers in threads, and the outcomes of their requests."""

import dataclasses
import itertools
import threading
import time
from collections.abc import Callable, Iterable, Iterator

from loopback import http
from standins.tokens import expected_text

JOIN_TIMEOUT_S = 60
MODEL_VERSION = 'v1'
FINISH_REASONS = ('length', 'stop')


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationRequest:
    """A request for a generation.

    :param key: key of the organisation.
    :param deadline_ms: time within which the answer must begin, in ms; 0 for
        the default.
    """

    key: str
    model: str
    prompt: str
    max_tokens: int
    deadline_ms: int = 0

    @property
    def expected_answer(self) -> str:
        """Return the complete correct answer."""
        model = (self.model, MODEL_VERSION, '', '')
        return expected_text(*model, self.prompt, self.max_tokens)

    def body(self) -> dict[str, object]:
        """Return the body of the request."""
        return {
            'model': self.model,
            'prompt': self.prompt,
            'max_tokens': self.max_tokens,
        }

    def headers(self) -> dict[str, str]:
        """Return the headers of the request besides its key."""
        if not self.deadline_ms:
            return {}
        return {'lagoonflow-deadline-ms': str(self.deadline_ms)}


@dataclasses.dataclass(frozen=True, slots=True)
class RequestOutcome:
    """A request and its outcome.

    :param router: name of the router that it was sent to.
    :param sent_s: monotonic time of sending, in seconds.
    :param ended_s: monotonic time of the end, in seconds.
    :param answer: the answer; None when there was none.
    :param failure: why there was no answer.
    """

    request: GenerationRequest
    router: str
    sent_s: float
    ended_s: float
    answer: http.CallerAnswer | None
    failure: str = ''

    @property
    def is_complete(self) -> bool:
        """Tell whether the complete correct answer was received."""
        answer = self.answer
        if answer is None or answer.finish_reason not in FINISH_REASONS:
            return False
        return answer.text == self.request.expected_answer

    @property
    def refusal(self) -> str:
        """Return the name of the refusal; empty when there was none."""
        return self.answer.error.get('name', '') if self.answer else ''

    @property
    def is_refused_without_running(self) -> bool:
        """Tell whether it was refused as not run, before any text came."""
        answer = self.answer
        if answer is None or answer.text:
            return False
        return answer.error.get('not_run') is True

    def describe(self) -> tuple[str, str, float]:
        """Return router, outcome and duration for a failed assertion."""
        outcome = self.failure or self.refusal
        if not outcome:
            expected = len(self.request.expected_answer)
            outcome = f'{len(self.answer.text)} of {expected} characters'
        return (self.router, outcome, self.ended_s - self.sent_s)


Address = Callable[[str], str]


class Traffic:
    """Sends requests for generations from threads.

    :param address_of: returns the address for callers of a router.
    """

    def __init__(self, address_of: Address) -> None:
        self._address_of = address_of
        self._outcomes: dict[str, list[RequestOutcome]] = {}
        self._threads: list[threading.Thread] = []
        self._stop = threading.Event()

    def outcomes(self, label: str) -> list[RequestOutcome]:
        """Return the outcomes of the requests that ended under a label."""
        return list(self._outcomes.get(label, []))

    def send(
        self, request: GenerationRequest, routers: Iterable[str]
    ) -> RequestOutcome:
        """Send one request to the first router that accepts the connection."""
        sent_s = time.monotonic()
        failure = 'no router accepted the connection'
        router = ''
        for router in routers:
            try:
                answer = self._complete(router, request)
            except ConnectionRefusedError:
                continue
            except (OSError, http.http.client.HTTPException) as error:
                failure = repr(error)
                break
            return RequestOutcome(
                request, router, sent_s, time.monotonic(), answer
            )
        return RequestOutcome(
            request, router, sent_s, time.monotonic(), None, failure
        )

    def send_in_background(
        self, label: str, request: GenerationRequest, routers: list[str]
    ) -> None:
        """Send one request in the background."""
        self._start(label, [request], routers, 0)

    def send_repeatedly(
        self,
        label: str,
        requests: Iterator[GenerationRequest],
        routers: list[str],
        pause_s: float,
    ) -> None:
        """Send requests one after another until `finish` is called.

        Each starts with the next router in turn.

        :param pause_s: pause between two requests, in seconds.
        """
        self._start(label, requests, routers, pause_s)

    def finish(self) -> None:
        """Send no more requests and wait for the open ones."""
        self._stop.set()
        self.join()

    def join(self) -> None:
        """Wait until all threads have ended.

        :raises TimeoutError: when a request does not end in time.
        """
        deadline_s = time.monotonic() + JOIN_TIMEOUT_S
        for thread in self._threads:
            thread.join(max(0, deadline_s - time.monotonic()))
            if thread.is_alive():
                raise TimeoutError('a request is still open')
        self._threads.clear()
        self._stop.clear()

    def _complete(
        self, router: str, request: GenerationRequest
    ) -> http.CallerAnswer:
        return http.complete(
            self._address_of(router),
            request.key,
            request.body(),
            request.headers(),
        )

    def _start(
        self,
        label: str,
        requests: Iterable[GenerationRequest],
        routers: list[str],
        pause_s: float,
    ) -> None:
        outcomes = self._outcomes.setdefault(label, [])
        first_routers = itertools.cycle(range(len(routers)))

        def run() -> None:
            for request in requests:
                first = next(first_routers)
                routers_in_order = routers[first:] + routers[:first]
                outcomes.append(self.send(request, routers_in_order))
                if self._stop.wait(pause_s):
                    return

        thread = threading.Thread(target=run, daemon=True)
        self._threads.append(thread)
        thread.start()


def number_prompts(request: GenerationRequest) -> Iterator[GenerationRequest]:
    """Yield copies of a request without end, each with its own prompt."""
    for number in itertools.count(1):
        yield dataclasses.replace(request, prompt=f'{request.prompt} {number}')
