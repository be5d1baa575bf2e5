"""Keep-alive times of idle replicas, from observed gaps between requests."""

import dataclasses
import math

_BUCKETS_PER_OCTAVE = 2
_MIN_GAP_MS = 100
_DECAY = 0.98
_MIN_GAPS = 3
_MAX_KEEP_ALIVE_MS = 1_800_000


@dataclasses.dataclass(slots=True)
class _GapHistogram:
    """Histogram of a model's gaps between requests, in logarithmic buckets.

    :param counts: number of gaps by bucket; older gaps count less.
    """

    last_request_ms: int
    counts: dict[int, float] = dataclasses.field(default_factory=dict)

    def record(self, gap_ms: int) -> None:
        for known_bucket in self.counts:
            self.counts[known_bucket] *= _DECAY
        bucket = _bucket_of(gap_ms)
        self.counts[bucket] = self.counts.get(bucket, 0) + 1


class KeepAlive:
    """Chooses how long an idle replica stays loaded.

    It balances the cost of a reload against idle accelerator time.

    :param reload_weight: idle ms that cost as much as one ms of a reload.
    """

    def __init__(self, reload_weight: float) -> None:
        self._reload_weight = reload_weight
        self._histograms: dict[str, _GapHistogram] = {}

    def record_request(self, now_ms: int, model: str) -> None:
        """Record the gap before a request for a model."""
        histogram = self._histograms.get(model)
        if histogram is None:
            self._histograms[model] = _GapHistogram(now_ms)
            return
        histogram.record(max(0, now_ms - histogram.last_request_ms))
        histogram.last_request_ms = now_ms

    def keep_alive_ms(self, model: str, reload_ms: float) -> int:
        """Choose the idle time after which a replica is unloaded.

        It minimises the expected idle time plus the expected reload cost
        over the observed gaps. While their number, in which older gaps count
        less, is below 3, it is the idle time that costs as much as a reload,
        which costs at most twice the optimum.

        :param reload_ms: predicted time to load the replica again.
        """
        reload_cost_ms = reload_ms * self._reload_weight
        histogram = self._histograms.get(model)
        counts = histogram.counts if histogram else {}
        if sum(counts.values()) < _MIN_GAPS:
            return min(round(reload_cost_ms), _MAX_KEEP_ALIVE_MS)
        best_ms = min(
            (0, *(_bucket_upper_ms(bucket) for bucket in sorted(counts))),
            key=lambda candidate_ms: _expected_cost_ms(
                counts, candidate_ms, reload_cost_ms
            ),
        )
        return min(round(best_ms), _MAX_KEEP_ALIVE_MS)

    def next_use_ms(self, model: str, idle_ms: int) -> float:
        """Predict the time until the next request.

        :param idle_ms: time since the last request; shorter gaps are ruled
            out.
        """
        histogram = self._histograms.get(model)
        counts = histogram.counts if histogram else {}
        longer_gaps = {
            bucket: count
            for bucket, count in counts.items()
            if _bucket_upper_ms(bucket) > idle_ms
        }
        total = sum(longer_gaps.values())
        if total <= 0:
            return float(max(idle_ms, _MAX_KEEP_ALIVE_MS))
        mean_ms = sum(
            _bucket_upper_ms(bucket) * count
            for bucket, count in longer_gaps.items()
        )
        return max(1, mean_ms / total - idle_ms)


def _bucket_of(gap_ms: float) -> int:
    ratio = max(gap_ms, _MIN_GAP_MS) / _MIN_GAP_MS
    return math.ceil(math.log2(ratio) * _BUCKETS_PER_OCTAVE)


def _bucket_upper_ms(bucket: int) -> float:
    return _MIN_GAP_MS * 2 ** (bucket / _BUCKETS_PER_OCTAVE)


def _expected_cost_ms(
    counts: dict[int, float],
    candidate_ms: float,
    reload_cost_ms: float,
) -> float:
    cost_ms = float(0)
    for bucket, count in counts.items():
        gap_ms = _bucket_upper_ms(bucket)
        if gap_ms <= candidate_ms:
            cost_ms += count * gap_ms
        else:
            cost_ms += count * (candidate_ms + reload_cost_ms)
    return cost_ms
