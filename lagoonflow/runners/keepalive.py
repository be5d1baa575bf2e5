"""Keep-alive of idle replicas, learnt from gaps between requests."""

import dataclasses
import math

_BUCKETS_PER_OCTAVE = 2
_SMALLEST_GAP_MS = 100
_DECAY = 0.98
_LEAST_GAPS = 3
_LONGEST_KEEP_ALIVE_MS = 1_800_000


@dataclasses.dataclass(slots=True)
class _Gaps:
    """Histogram of gaps with logarithmic buckets."""

    last_use_ms: int
    counts: dict[int, float] = dataclasses.field(default_factory=dict)

    def record(self, gap_ms: int) -> None:
        for known in self.counts:
            self.counts[known] *= _DECAY
        bucket = _bucket(gap_ms)
        self.counts[bucket] = self.counts.get(bucket, 0) + 1


class KeepAlive:
    """Balances the cost of a reload against accelerator time spent idle.

    :param reload_weight: idle ms that one ms of a reload is worth.
    """

    def __init__(self, reload_weight: float) -> None:
        self._reload_weight = reload_weight
        self._gaps: dict[str, _Gaps] = {}

    def on_use(self, now_ms: int, model: str) -> None:
        """Note one request."""
        gaps = self._gaps.get(model)
        if gaps is None:
            self._gaps[model] = _Gaps(now_ms)
            return
        gaps.record(max(0, now_ms - gaps.last_use_ms))
        gaps.last_use_ms = now_ms

    def keep_alive_ms(self, model: str, reload_ms: float) -> int:
        """Choose the idle time after which a replica is unloaded.

        Minimises expected idle time plus expected reload cost over the
        learnt gaps. With few gaps it is the break-even time, which costs
        at most twice the optimum.
        """
        reload_cost_ms = reload_ms * self._reload_weight
        gaps = self._gaps.get(model)
        counts = gaps.counts if gaps else {}
        if sum(counts.values()) < _LEAST_GAPS:
            return min(round(reload_cost_ms), _LONGEST_KEEP_ALIVE_MS)
        best_ms = min(
            (0, *(_upper_ms(bucket) for bucket in sorted(counts))),
            key=lambda keep_ms: _cost_ms(counts, keep_ms, reload_cost_ms),
        )
        return min(round(best_ms), _LONGEST_KEEP_ALIVE_MS)

    def next_use_ms(self, model: str, idle_ms: int) -> float:
        """Predict the time to the next request, after some idle time."""
        gaps = self._gaps.get(model)
        counts = gaps.counts if gaps else {}
        longer = {
            bucket: count
            for bucket, count in counts.items()
            if _upper_ms(bucket) > idle_ms
        }
        total = sum(longer.values())
        if total <= 0:
            return float(max(idle_ms, _LONGEST_KEEP_ALIVE_MS))
        mean_ms = sum(
            _upper_ms(bucket) * count for bucket, count in longer.items()
        )
        return max(1, mean_ms / total - idle_ms)


def _bucket(gap_ms: float) -> int:
    ratio = max(gap_ms, _SMALLEST_GAP_MS) / _SMALLEST_GAP_MS
    return math.ceil(math.log2(ratio) * _BUCKETS_PER_OCTAVE)


def _upper_ms(bucket: int) -> float:
    return _SMALLEST_GAP_MS * 2 ** (bucket / _BUCKETS_PER_OCTAVE)


def _cost_ms(
    counts: dict[int, float],
    keep_ms: float,
    reload_cost_ms: float,
) -> float:
    cost_ms = float(0)
    for bucket, count in counts.items():
        gap_ms = _upper_ms(bucket)
        if gap_ms <= keep_ms:
            cost_ms += count * gap_ms
        else:
            cost_ms += count * (keep_ms + reload_cost_ms)
    return cost_ms
