"""Stand-in for the rate-limited weight store."""

import asyncio
import contextlib
import time
from collections import Counter
from typing import Any

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import ASGIApp

from standins.faults import Faults, FaultSwitch
from standins.lagged import MS_PER_S
from standins.middleware import reply
from standins.serving import (
    build_app,
    build_parser,
    read_body,
    serve,
)

STEPS_PER_FETCH = 20
MAX_STEP_MS = 20


class StoreFaults(Faults, frozen=True, kw_only=True):
    """Faults of the weight store.

    :param slowdown: factor on the duration of every fetch.
    """

    slowdown: float = 1


class FetchBody(msgspec.Struct, frozen=True):
    """Body of a fetch.

    :param checkpoint: name of the checkpoint.
    :param size_mb: size of the checkpoint, in MB.
    :param caller: name of the host that fetches.
    """

    checkpoint: str
    size_mb: float = 0
    caller: str = ''


class WeightStore:
    """Serves fetches of checkpoints at a limited rate and speed.

    :param loads_per_s: fetches that may start per second, on average.
    :param parallel: concurrent fetches that run at full speed; more of them
        share that speed.
    :param fetch_ms: duration of one fetch at full speed, in ms.
    """

    def __init__(
        self,
        loads_per_s: float,
        parallel: int,
        fetch_ms: float,
    ) -> None:
        self._interval_s = 1 / loads_per_s
        self._parallel = parallel
        self._fetch_ms = fetch_ms
        self._next_start_s = time.monotonic() - parallel * self._interval_s
        self._running = 0
        self._most_at_once = 0
        self._fetches: Counter[str] = Counter()
        self._callers: Counter[str] = Counter()
        self._switch = FaultSwitch(StoreFaults())

    def app(self) -> ASGIApp:
        """Return the ASGI application."""
        routes = [Route('/fetch', self._fetch, methods=['POST'])]
        return build_app(routes, self._switch, self._show_counts)

    async def _fetch(self, request: Request) -> Response:
        body = await read_body(request, FetchBody)
        self._fetches[body.checkpoint] += 1
        self._callers[body.caller] += 1
        await asyncio.sleep(self._start_delay_s())
        with contextlib.ExitStack() as cleanup:
            self._begin_transfer()
            cleanup.callback(self._end_transfer)
            await self._transfer(request)
        return reply({'checkpoint': body.checkpoint, 'size_mb': body.size_mb})

    def _begin_transfer(self) -> None:
        self._running += 1
        self._most_at_once = max(self._most_at_once, self._running)

    def _end_transfer(self) -> None:
        self._running -= 1

    def _start_delay_s(self) -> float:
        """Reserve the next start and return the time until then, in seconds.

        Unused starts accumulate, so that `parallel` fetches may start at once.
        """
        now_s = time.monotonic()
        oldest_s = now_s - (self._parallel - 1) * self._interval_s
        start_s = max(self._next_start_s, oldest_s)
        self._next_start_s = start_s + self._interval_s
        return max(0, start_s - now_s)

    async def _transfer(self, request: Request) -> None:
        """Wait for the duration of one fetch, or until its caller has gone."""
        step_ms = min(MAX_STEP_MS, self._fetch_ms / STEPS_PER_FETCH)
        done_ms = 0
        last_s = time.monotonic()
        while done_ms < self._fetch_ms:
            await asyncio.sleep(step_ms / MS_PER_S)
            now_s = time.monotonic()
            done_ms += (now_s - last_s) * MS_PER_S * self._speed()
            last_s = now_s
            if await request.is_disconnected():
                return

    def _speed(self) -> float:
        share = min(1, self._parallel / self._running)
        return share / self._switch.current.slowdown

    def _show_counts(self) -> dict[str, Any]:
        return {
            'fetches': dict(self._fetches),
            'callers': dict(self._callers),
            'running': self._running,
            'most_at_once': self._most_at_once,
        }


def main() -> None:
    """Read the flags and serve."""
    parser = build_parser('Rate-limited weight store.')
    parser.add_argument('--loads-per-s', type=float, default=4)
    parser.add_argument('--parallel', type=int, default=4)
    parser.add_argument('--fetch-ms', type=float, default=2000)
    flags = parser.parse_args()
    store = WeightStore(flags.loads_per_s, flags.parallel, flags.fetch_ms)
    serve(store.app(), flags.host, flags.port)


if __name__ == '__main__':
    main()
