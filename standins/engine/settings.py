"""Settings of the model engine."""

import argparse
import asyncio
import dataclasses

from standins.lagged import MS_PER_S
from standins.serving import build_parser


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """Settings of one engine.

    :param name: name that the weight store sees.
    :param memory_mb: memory for weights and adapters, in MB.
    :param store: URL of the weight store; empty when there is none.
    :param local_checkpoints: checkpoints at the start, by tier.
    :param tokens_per_s: full speed of one sequence, in tokens per second.
    :param batch_size: concurrent sequences that run at full speed.
    :param max_running: concurrent sequences; further ones wait.
    :param first_token_ms: fixed part of the time to the first token, in ms.
    :param prefill_us_per_token: additional time to the first token for each
        uncached token of the prompt, in microseconds.
    :param cache_blocks: number of blocks of prompt prefixes that stay cached.
    :param disk_load_ms: duration of a load from disk, in ms.
    :param memory_load_ms: duration of a load from memory, in ms.
    :param adapter_load_ms: duration of the load of an adapter, in ms.
    :param fencing: whether orders with an old fence are refused.
    :param report_lag_ms: delay of the load report and cache events, in ms.
    :param time_scale: divides all simulated durations.
    """

    name: str
    memory_mb: float
    store: str
    local_checkpoints: dict[tuple[str, str], str]
    tokens_per_s: float
    batch_size: int
    max_running: int
    first_token_ms: float
    prefill_us_per_token: float
    cache_blocks: int
    disk_load_ms: float
    memory_load_ms: float
    adapter_load_ms: float
    fencing: bool
    report_lag_ms: float
    time_scale: float

    async def sleep(self, duration_ms: float) -> None:
        """Wait for a simulated duration, given before time scaling."""
        await asyncio.sleep(duration_ms / MS_PER_S / self.time_scale)


def parse_checkpoints(text: str) -> dict[tuple[str, str], str]:
    """Parse `model@version:tier,...` with the tiers `memory` and `disk`.

    :raises argparse.ArgumentTypeError: when an item is malformed.
    """
    checkpoints = {}
    for item in filter(None, text.split(',')):
        key, _, tier = item.rpartition(':')
        model, at_sign, version = key.rpartition('@')
        if not at_sign or tier not in {'memory', 'disk'}:
            raise argparse.ArgumentTypeError(f'malformed checkpoint {item!r}')
        checkpoints[model, version] = tier
    return checkpoints


def parse_settings() -> tuple[EngineSettings, str, int]:
    """Parse the flags and return the settings, the host and the port."""
    parser = build_parser('Model engine.')
    _add_general_flags(parser)
    _add_speed_flags(parser)
    flags = parser.parse_args().__dict__
    host = flags.pop('host')
    port = flags.pop('port')
    flags['fencing'] = flags['fencing'] == 'on'
    return EngineSettings(**flags), host, port


def _add_general_flags(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('--name', default='engine')
    parser.add_argument('--memory-mb', type=float, default=80_000)
    parser.add_argument('--store', default='')
    parser.add_argument(
        '--local-checkpoints',
        type=parse_checkpoints,
        default='',
    )
    parser.add_argument('--fencing', choices=('on', 'off'), default='on')
    parser.add_argument('--report-lag-ms', type=float, default=500)
    parser.add_argument('--time-scale', type=float, default=1)


def _add_speed_flags(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('--tokens-per-s', type=float, default=50)
    parser.add_argument('--batch-size', type=int, default=16)
    parser.add_argument('--max-running', type=int, default=64)
    parser.add_argument('--first-token-ms', type=float, default=30)
    parser.add_argument('--prefill-us-per-token', type=float, default=100)
    parser.add_argument('--cache-blocks', type=int, default=1024)
    parser.add_argument('--disk-load-ms', type=float, default=2000)
    parser.add_argument('--memory-load-ms', type=float, default=300)
    parser.add_argument('--adapter-load-ms', type=float, default=10)
