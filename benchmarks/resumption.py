"""Compares two ways to find the software version of a resumed stream.

``table``: routers tell each other which version began each stream. ``hash``:
the version follows from the attempt's id and the listed versions, and routers
tell each other only of streams that began at another one. Both run in the same
simulation: a release replaces the servers in the middle, one router is cut off,
one starts anew. Run ``python -m benchmarks.resumption``; it prints one JSON line
per result.
"""

import dataclasses
import json
import random
import time
import tracemalloc

import xxhash

from lagoonflow.gossip.messages import OriginEntry, OriginsState, encode
from lagoonflow.resumption.messages import StreamOrigin
from lagoonflow.resumption.origins import REPEAT_INTERVAL_MS, StreamOrigins
from lagoonflow.resumption.versions import VersionHistory

SEEDS = range(1, 21)
ROUTERS = 4
SERVERS = 12
DURATION_MS = 80_000
STREAMS_PER_S = 20
BREAK_SHARE = 0.3
WINDOW_MS = 11_000
# Each router reads the list of servers at this interval.
LIST_INTERVAL_MS = 1500
RELEASE_MS = (20_000, 60_000)
CUT_ROUTER, CUT_MS = 2, (30_000, 37_000)
RESTARTED_ROUTER, RESTART_MS = 3, 45_000
MESSAGE_LOSS = 0.01
# Share of streams whose server is not of the version that the hash asks for,
# as no server of that version has the model.
EXCEPTION_SHARE = 0.1
REMEMBERED_STREAMS = 10_000


@dataclasses.dataclass
class Counts:
    """Results of one run."""

    resumed: int = 0
    went_on: int = 0
    unknown: int = 0
    no_server: int = 0
    joined_wrongly: int = 0
    sent_bytes: int = 0
    most_remembered: int = 0


class Router:
    """A router's knowledge of streams and versions."""

    def __init__(self) -> None:
        self.origins = StreamOrigins()
        self.history = VersionHistory()
        self.listed: list[str] = []

    def read_list(self, servers: list[str], now_ms: float) -> None:
        self.listed = list(servers)
        for version in servers:
            self.history.note('llm', version, now_ms)
        self.history.confirm(now_ms)


class World:
    """Servers, routers and callers of one run.

    :param design: ``table`` or ``hash``.
    """

    def __init__(self, design: str, seed: int) -> None:
        self.counts = Counts()
        self._design = design
        self._random = random.Random(seed)
        self._routers = [Router() for _ in range(ROUTERS)]
        self._returns: list[tuple[float, str, str]] = []

    def run(self) -> Counts:
        for now_ms in range(0, DURATION_MS, 10):
            self._step(now_ms)
        return self.counts

    def _step(self, now_ms: int) -> None:
        if now_ms == RESTART_MS:
            self._routers[RESTARTED_ROUTER] = Router()
        servers = _servers(now_ms)
        for index, router in enumerate(self._routers):
            phase_ms = 370 * index
            is_due = (now_ms + phase_ms) % LIST_INTERVAL_MS == 0
            is_new = not router.listed
            if (is_due or is_new) and not _is_cut(index, now_ms):
                router.read_list(servers, now_ms)
            self._publish(index, now_ms)
        if self._random.random() < STREAMS_PER_S / 100:
            self._begin(now_ms)
        due = [one for one in self._returns if one[0] <= now_ms]
        self._returns = [one for one in self._returns if one[0] > now_ms]
        for _, request_id, version in due:
            self._resume(request_id, version, servers, now_ms)

    def _begin(self, now_ms: int) -> None:
        index = self._random.randrange(ROUTERS)
        router = self._routers[index]
        request_id = f'{self._random.getrandbits(64):016x}'
        version = self._random.choice(router.listed)
        hashed = _hashed_version(request_id, router.listed)
        is_exception = self._random.random() < EXCEPTION_SHARE
        if self._design == 'hash' and not is_exception:
            version = hashed
        if self._design == 'table' or version != hashed:
            origin = StreamOrigin(
                request_id, 'llm', version, now_ms + WINDOW_MS
            )
            router.origins.record(origin, now_ms)
            self._publish(index, now_ms)
        if self._random.random() < BREAK_SHARE:
            at_ms = now_ms + self._random.uniform(10, 4000)
            self._returns.append((at_ms, request_id, version))

    def _resume(
        self, request_id: str, began_at: str, servers: list[str], now_ms: int
    ) -> None:
        router = self._random.choice(self._routers)
        self.counts.resumed += 1
        version = self._find_version(router, request_id, now_ms)
        if version is None:
            self.counts.unknown += 1
        elif version not in router.listed or version not in servers:
            self.counts.no_server += 1
        else:
            self.counts.went_on += 1
            self.counts.joined_wrongly += version != began_at

    def _find_version(
        self, router: Router, request_id: str, now_ms: int
    ) -> str | None:
        origin = router.origins.find(request_id, now_ms)
        if origin is not None:
            return origin.software_version
        if self._design == 'hash':
            return _hashed_version(request_id, router.listed)
        return router.history.only_version('llm', WINDOW_MS, now_ms)

    def _publish(self, index: int, now_ms: int) -> None:
        origins = self._routers[index].origins
        due = origins.take_due(now_ms)
        self.counts.most_remembered = max(
            self.counts.most_remembered, len(origins)
        )
        if not due:
            return
        message = _message(due, now_ms)
        for other, router in enumerate(self._routers):
            if other == index:
                continue
            self.counts.sent_bytes += len(message)
            is_lost = self._random.random() < MESSAGE_LOSS
            is_cut = _is_cut(index, now_ms) or _is_cut(other, now_ms)
            if not (is_lost or is_cut):
                for origin in due:
                    router.origins.learn(origin, now_ms)


def _servers(now_ms: int) -> list[str]:
    """Return the versions of the servers; a release replaces one by one."""
    start_ms, end_ms = RELEASE_MS
    done = (now_ms - start_ms) / (end_ms - start_ms)
    new = round(SERVERS * min(max(done, 0), 1))
    return ['v2'] * new + ['v1'] * (SERVERS - new)


def _is_cut(index: int, now_ms: int) -> bool:
    return index == CUT_ROUTER and CUT_MS[0] <= now_ms < CUT_MS[1]


def _hashed_version(request_id: str, versions: list[str]) -> str:
    point = xxhash.xxh3_64_intdigest(request_id.encode())
    return sorted(versions)[point % len(versions)]


def _message(due: list[StreamOrigin], now_ms: float) -> bytes:
    entries = tuple(
        OriginEntry(
            one.request_id,
            one.service,
            one.software_version,
            int(one.expires_at_ms - now_ms),
        )
        for one in due
    )
    return encode(OriginsState('edge-1', entries))


def measure_table() -> dict[str, float]:
    """Return the memory and the time that remembered streams take."""
    tracemalloc.start()
    origins = StreamOrigins()
    for number in range(REMEMBERED_STREAMS):
        origin = StreamOrigin(f'{number:016x}', 'llm', 'v1', 60_000)
        origins.record(origin, 0)
    memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    began_s = time.process_time()
    for now_ms in range(0, 10_000, REPEAT_INTERVAL_MS):
        due = origins.take_due(now_ms)
        _message(due, now_ms)
        for number in range(0, REMEMBERED_STREAMS, 10):
            origins.find(f'{number:016x}', now_ms)
    return {
        'remembered': len(origins),
        'memory_mb': round(memory_mb, 2),
        'repeat_and_1000_lookups_ms': round(
            (time.process_time() - began_s) * 100, 2
        ),
    }


def main() -> None:
    """Print the results of each design, and the cost of the table."""
    for design in ('table', 'hash'):
        runs = [World(design, seed).run() for seed in SEEDS]
        totals = {
            field.name: sum(getattr(run, field.name) for run in runs)
            for field in dataclasses.fields(Counts)
        }
        totals['most_remembered'] = max(run.most_remembered for run in runs)
        print(json.dumps({'design': design, 'seeds': len(SEEDS), **totals}))
    print(json.dumps(measure_table()))


if __name__ == '__main__':
    main()
