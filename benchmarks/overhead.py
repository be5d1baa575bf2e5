"""What router and agent add: ``python -m benchmarks.overhead``.

The same streams go to the engine directly and through a router and an agent.
One JSON line for each way.
"""

import argparse
import asyncio
import dataclasses
import pathlib
import sys
import tempfile
import time

import msgspec

from benchmarks.idle import processor_s
from benchmarks.storm.arrivals import Phases, organisations
from benchmarks.storm.deployments import TAQUARI
from benchmarks.storm.fleet import keys_of, release_note
from benchmarks.storm.outcomes import percentile
from lagoonflow.clients.exchange import HttpRequest
from lagoonflow.clients.http import HttpClient
from loopback.cluster import Cluster
from loopback.processes import ProcessSet

MODEL = 'model-0'
TIMEOUT_MS = 20_000
JSON = (('content-type', 'application/json'),)


@dataclasses.dataclass(frozen=True, slots=True)
class Way:
    """Figures of one way to the engine."""

    way: str
    streams: int
    tokens_each: int
    first_token_p50_ms: float
    first_token_p99_ms: float
    gap_p50_ms: float
    gap_p99_ms: float
    tokens_per_s: float
    router_tokens_per_core_s: float
    agent_tokens_per_core_s: float
    failed: int


@dataclasses.dataclass(slots=True)
class Timing:
    """Times of the pieces of one stream."""

    begun_s: float
    pieces_s: list[float] = dataclasses.field(default_factory=list)


async def stream(client: HttpClient, request: HttpRequest) -> Timing:
    """Read one stream and note when its pieces come."""
    timing = Timing(time.monotonic())
    opened = await client.open(request)
    if not hasattr(opened, 'read') or opened.status != 200:
        return timing
    while True:
        piece = await opened.read(TIMEOUT_MS)
        if not isinstance(piece, bytes) or not piece:
            break
        timing.pieces_s.append(time.monotonic())
    await opened.aclose()
    return timing


async def load(
    address: str,
    make_request,
    streams: int,
    rounds: int,
) -> list[Timing]:
    """Keep a number of streams open, for some rounds."""
    client = HttpClient(address, streams * 2)

    async def worker(number: int) -> list[Timing]:
        return [
            await stream(client, make_request(number * rounds + turn))
            for turn in range(rounds)
        ]

    found = await asyncio.gather(*(worker(n) for n in range(streams)))
    await client.aclose()
    return [timing for timings in found for timing in timings]


def direct_request(tokens: int):
    """Return a maker of requests to the engine."""

    def make(number: int) -> HttpRequest:
        body = {
            'request_id': f'direct-{number}',
            'model': MODEL,
            'version': 'v1',
            'adapter': '',
            'adapter_version': '',
            'prompt': f'prompt {number}',
            'max_tokens': tokens,
            'priority': 0,
            'from_token': 0,
            'seed': 0,
        }
        return HttpRequest(
            'POST', '/generate', JSON, msgspec.json.encode(body), TIMEOUT_MS
        )

    return make


def router_request(tokens: int, key: str):
    """Return a maker of requests to the router."""

    def make(number: int) -> HttpRequest:
        body = {
            'model': MODEL,
            'prompt': f'prompt {number}',
            'max_tokens': tokens,
            'stream': True,
        }
        headers = (*JSON, ('authorization', f'Bearer {key}'))
        return HttpRequest(
            'POST',
            '/v1/completions',
            headers,
            msgspec.json.encode(body),
            TIMEOUT_MS,
        )

    return make


def summarise(
    way: str,
    timings: list[Timing],
    tokens: int,
    elapsed_s: float,
    router_s: float,
    agent_s: float,
) -> Way:
    """Turn times into figures."""
    whole = [one for one in timings if one.pieces_s]
    first = [(one.pieces_s[0] - one.begun_s) * 1000 for one in whole]
    gaps = [
        (after - before) * 1000
        for one in whole
        for before, after in zip(one.pieces_s, one.pieces_s[1:], strict=False)
    ]
    total = tokens * len(whole)
    return Way(
        way,
        len(timings),
        tokens,
        round(percentile(first, 0.5), 1),
        round(percentile(first, 0.99), 1),
        round(percentile(gaps, 0.5), 1),
        round(percentile(gaps, 0.99), 1),
        round(total / elapsed_s),
        round(total / router_s) if router_s else 0,
        round(total / agent_s) if agent_s else 0,
        len(timings) - len(whole),
    )


def main() -> int:
    """Measure both ways."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--streams', type=int, default=16)
    parser.add_argument('--rounds', type=int, default=5)
    parser.add_argument('--tokens', type=int, default=200)
    flags = parser.parse_args()
    phases = Phases()
    limits = [
        dataclasses.replace(
            one, rate_tokens_per_s=1_000_000, burst_tokens=10_000_000
        )
        for one in organisations(phases)
    ]
    with tempfile.TemporaryDirectory() as folder:
        processes = ProcessSet(pathlib.Path(folder))
        cluster = Cluster(processes)
        try:
            cluster.start_fleet(1, 1)
            note = pathlib.Path(folder) / 'note.yaml'
            note.write_text(release_note(TAQUARI, limits))
            log = cluster.address('log service')
            published = cluster.ctl(
                'release', 'publish', str(note), '--log-url', f'http://{log}'
            )
            assert published.returncode == 0, published.stderr
            time.sleep(8)
            router = cluster.process('router 1')
            agent = cluster.process('agent 1')
            callers = router.addresses['callers']
            key = keys_of(limits)[limits[0].name]
            through = router_request(flags.tokens, key)
            asyncio.run(load(callers, through, 2, 1))
            for way, address, make in (
                ('direct', cluster.address('engine 1'), None),
                ('through router and agent', callers, through),
            ):
                make = make or direct_request(flags.tokens)
                before = (processor_s(router), processor_s(agent))
                begun_s = time.monotonic()
                timings = asyncio.run(
                    load(address, make, flags.streams, flags.rounds)
                )
                elapsed_s = time.monotonic() - begun_s
                is_direct = way == 'direct'
                line = summarise(
                    way,
                    timings,
                    flags.tokens,
                    elapsed_s,
                    0 if is_direct else processor_s(router) - before[0],
                    0 if is_direct else processor_s(agent) - before[1],
                )
                sys.stdout.write(msgspec.json.encode(line).decode() + '\n')
        finally:
            cluster.close()
            processes.end_all()
    return 0


if __name__ == '__main__':
    sys.exit(main())
