"""Measures the overhead of a router and an agent per token stream.

Run ``python -m benchmarks.overhead``. It requests the same streams from the
engine directly and through a router and an agent, and prints one JSON line
for each of the two paths.
"""

import argparse
import asyncio
import dataclasses
import pathlib
import sys
import tempfile
import time

import msgspec

from benchmarks.idle import cpu_s
from benchmarks.storm.arrivals import Phases, organisations
from benchmarks.storm.deployments import TAQUARI
from benchmarks.storm.fleet import api_keys, release_note
from benchmarks.storm.outcomes import percentile
from lagoonflow.clients.exchange import HttpRequest
from lagoonflow.clients.http import HttpClient
from loopback.cluster import Cluster
from loopback.processes import ProcessSet

MODEL = 'model-0'
TIMEOUT_MS = 20_000
JSON_HEADERS = (('content-type', 'application/json'),)


@dataclasses.dataclass(frozen=True, slots=True)
class PathMeasures:
    """Latency and throughput over one path to the engine.

    :param way: the path, directly or through router and agent.
    :param gap_p50_ms: median time between two chunks of a stream.
    :param router_tokens_per_core_s: tokens per second of processor time of
        the router; 0 on the direct path.
    :param agent_tokens_per_core_s: the same for the agent.
    :param failed: streams without a single chunk.
    """

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
class StreamTiming:
    """Times at which one stream was requested and its chunks were read."""

    started_s: float
    chunk_times_s: list[float] = dataclasses.field(default_factory=list)


async def read_stream(client: HttpClient, request: HttpRequest) -> StreamTiming:
    """Read one stream and record when each chunk arrives."""
    timing = StreamTiming(time.monotonic())
    response = await client.open(request)
    if not hasattr(response, 'read') or response.status != 200:
        return timing
    while True:
        chunk = await response.read(TIMEOUT_MS)
        if not isinstance(chunk, bytes) or not chunk:
            break
        timing.chunk_times_s.append(time.monotonic())
    await response.aclose()
    return timing


async def run_streams(
    address: str,
    make_request,
    streams: int,
    rounds: int,
) -> list[StreamTiming]:
    """Read streams concurrently.

    :param make_request: returns the request with a given number.
    :param streams: how many streams are open at a time.
    :param rounds: how many streams each worker reads, one after another.
    """
    client = HttpClient(address, streams * 2)

    async def worker(number: int) -> list[StreamTiming]:
        return [
            await read_stream(
                client, make_request(number * rounds + round_number)
            )
            for round_number in range(rounds)
        ]

    timings_by_worker = await asyncio.gather(
        *(worker(n) for n in range(streams))
    )
    await client.aclose()
    return [timing for timings in timings_by_worker for timing in timings]


def direct_request(tokens: int):
    """Return a function that makes numbered requests to the engine."""

    def make_request(number: int) -> HttpRequest:
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
            'POST',
            '/generate',
            JSON_HEADERS,
            msgspec.json.encode(body),
            TIMEOUT_MS,
        )

    return make_request


def router_request(tokens: int, key: str):
    """Return a function that makes numbered requests to the router.

    :param key: the API key that the requests carry.
    """

    def make_request(number: int) -> HttpRequest:
        body = {
            'model': MODEL,
            'prompt': f'prompt {number}',
            'max_tokens': tokens,
            'stream': True,
        }
        headers = (*JSON_HEADERS, ('authorization', f'Bearer {key}'))
        return HttpRequest(
            'POST',
            '/v1/completions',
            headers,
            msgspec.json.encode(body),
            TIMEOUT_MS,
        )

    return make_request


def summarise(
    way: str,
    timings: list[StreamTiming],
    tokens: int,
    elapsed_s: float,
    router_cpu_s: float,
    agent_cpu_s: float,
) -> PathMeasures:
    """Compute the measures of one path.

    :param tokens: tokens of each stream.
    :param router_cpu_s: processor time of the router; 0 where it has no part.
    :param agent_cpu_s: the same for the agent.
    """
    answered = [timing for timing in timings if timing.chunk_times_s]
    first = [
        (timing.chunk_times_s[0] - timing.started_s) * 1000
        for timing in answered
    ]
    gaps = [
        (after - before) * 1000
        for timing in answered
        for before, after in zip(
            timing.chunk_times_s, timing.chunk_times_s[1:], strict=False
        )
    ]
    total = tokens * len(answered)
    return PathMeasures(
        way,
        len(timings),
        tokens,
        round(percentile(first, 0.5), 1),
        round(percentile(first, 0.99), 1),
        round(percentile(gaps, 0.5), 1),
        round(percentile(gaps, 0.99), 1),
        round(total / elapsed_s),
        round(total / router_cpu_s) if router_cpu_s else 0,
        round(total / agent_cpu_s) if agent_cpu_s else 0,
        len(timings) - len(answered),
    )


def main() -> int:
    """Measure both paths and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--streams', type=int, default=16)
    parser.add_argument('--rounds', type=int, default=5)
    parser.add_argument('--tokens', type=int, default=200)
    flags = parser.parse_args()
    phases = Phases()
    limits = [
        dataclasses.replace(
            organisation, rate_tokens_per_s=1_000_000, burst_tokens=10_000_000
        )
        for organisation in organisations(phases)
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
            key = api_keys(limits)[limits[0].name]
            make_routed_request = router_request(flags.tokens, key)
            asyncio.run(run_streams(callers, make_routed_request, 2, 1))
            for way, address, make_request in (
                ('direct', cluster.address('engine 1'), None),
                ('through router and agent', callers, make_routed_request),
            ):
                make_request = make_request or direct_request(flags.tokens)
                before = (cpu_s(router), cpu_s(agent))
                started_s = time.monotonic()
                timings = asyncio.run(
                    run_streams(
                        address, make_request, flags.streams, flags.rounds
                    )
                )
                elapsed_s = time.monotonic() - started_s
                is_direct = way == 'direct'
                measures = summarise(
                    way,
                    timings,
                    flags.tokens,
                    elapsed_s,
                    0 if is_direct else cpu_s(router) - before[0],
                    0 if is_direct else cpu_s(agent) - before[1],
                )
                sys.stdout.write(msgspec.json.encode(measures).decode() + '\n')
        finally:
            cluster.close()
            processes.end_all()
    return 0


if __name__ == '__main__':
    sys.exit(main())
