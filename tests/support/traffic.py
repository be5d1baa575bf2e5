"""Callers in threads, and what each of them got."""

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
    """One generation that a caller asks for.

    :param deadline_ms: when the answer has to have begun; 0 for the default.
    """

    key: str
    model: str
    prompt: str
    max_tokens: int
    deadline_ms: int = 0

    @property
    def expected(self) -> str:
        """Return the whole right answer."""
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
        """Return the headers besides the key."""
        if not self.deadline_ms:
            return {}
        return {'lagoonflow-deadline-ms': str(self.deadline_ms)}


@dataclasses.dataclass(frozen=True, slots=True)
class RequestOutcome:
    """A request and its outcome; times are of the monotonic clock.

    :param answer: what came back; None when nothing did.
    :param failure: why nothing came back.
    """

    request: GenerationRequest
    router: str
    sent_s: float
    ended_s: float
    answer: http.CallerAnswer | None
    failure: str = ''

    @property
    def is_complete(self) -> bool:
        """Tell whether the whole right answer came."""
        answer = self.answer
        if answer is None or answer.finish_reason not in FINISH_REASONS:
            return False
        return answer.text == self.request.expected

    @property
    def refusal(self) -> str:
        """Return the name of the refusal; empty when there was none."""
        return self.answer.error.get('name', '') if self.answer else ''

    @property
    def is_refused_without_running(self) -> bool:
        """Tell whether it was refused at once as a whole, and truly not run."""
        answer = self.answer
        if answer is None or answer.text:
            return False
        return answer.error.get('not_run') is True

    def describe(self) -> tuple[str, str, float]:
        """Return what a failed assertion shows."""
        outcome = self.failure or self.refusal
        text = f'{len(self.answer.text)} of {len(self.request.expected)} characters'
        return (self.router, outcome or text, self.ended_s - self.sent_s)


Address = Callable[[str], str]


class Traffic:
    """Sends generations from threads.

    :param address_of: returns the address of a router for callers.
    """

    def __init__(self, address_of: Address) -> None:
        self._address_of = address_of
        self._outcomes: dict[str, list[RequestOutcome]] = {}
        self._threads: list[threading.Thread] = []
        self._stop = threading.Event()

    def outcomes(self, label: str) -> list[RequestOutcome]:
        """Return the ended requests of a label."""
        return list(self._outcomes.get(label, []))

    def send(
        self, request: GenerationRequest, routers: Iterable[str]
    ) -> RequestOutcome:
        """Send one request to the first router that takes connections."""
        sent_s = time.monotonic()
        failure = 'no router took the connection'
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
        """Send requests one after another until the end of the traffic."""
        self._start(label, requests, routers, pause_s)

    def finish(self) -> None:
        """Send nothing new and wait for the open requests."""
        self._stop.set()
        self.join()

    def join(self) -> None:
        """Wait for the open requests.

        :raises TimeoutError: when one is silent.
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
        turns = itertools.cycle(range(len(routers)))

        def run() -> None:
            for request in requests:
                turn = next(turns)
                order = routers[turn:] + routers[:turn]
                outcomes.append(self.send(request, order))
                if self._stop.wait(pause_s):
                    return

        thread = threading.Thread(target=run, daemon=True)
        self._threads.append(thread)
        thread.start()


def number_prompts(request: GenerationRequest) -> Iterator[GenerationRequest]:
    """Return a request again and again, each with a prompt of its own."""
    for number in itertools.count(1):
        yield dataclasses.replace(request, prompt=f'{request.prompt} {number}')
