"""Measures the decisions under a virtual clock; one JSON line a run."""

import argparse
import json
from collections import Counter

from benchmarks.policies import Lagoonflow, LeastLoaded, RandomChoice
from benchmarks.virtual import Clock
from benchmarks.workloads import (
    HUNGARY,
    QUIET_MS,
    STORM_MS,
    TAIL_MS,
    TAQUARI,
    Workload,
)

DEPLOYMENTS = {sizes.name: sizes for sizes in (TAQUARI, HUNGARY)}
POLICIES = {one.name: one for one in (RandomChoice, LeastLoaded, Lagoonflow)}


def measure(policy_type, workload, seed, slowdown=1):
    """Run one policy; the store turns slow just before the storm."""
    clock = Clock()
    policy = policy_type(clock, workload, seed)
    for arrival in workload.arrivals:
        clock.after(arrival.at_ms, policy.arrive, arrival)
    clock.run(QUIET_MS - 1_000)
    policy.store.slowdown = slowdown
    clock.run(QUIET_MS + STORM_MS + TAIL_MS)
    for engine in policy.engines.values():
        engine.finish_idle()
    return summary(policy)


def summary(policy):
    """Sum up the results of a policy."""
    limit_ms = policy.sizes.deadline_ms
    cold = sorted(
        took_ms
        for call, took_ms in policy.results
        if call.is_cold and took_ms is not None
    )
    in_rate = [
        (call, took_ms)
        for call, took_ms in policy.results
        if call.arrival.in_rate
    ]
    offered = Counter(call.arrival.organisation for call, _ in in_rate)
    served = Counter(
        call.arrival.organisation
        for call, took_ms in in_rate
        if took_ms is not None and took_ms <= limit_ms
    )
    ratios = [served[name] / offered[name] for name in offered]
    late = sum(
        took_ms is not None and took_ms > limit_ms for _, took_ms in in_rate
    )
    engines = policy.engines.values()
    return {
        'policy': policy.name,
        'cold': len(cold),
        'cold_start_p50_ms': percentile(cold, 0.5),
        'cold_start_p95_ms': percentile(cold, 0.95),
        'cold_start_p99_ms': percentile(cold, 0.99),
        'idle_accelerator_hours': round(
            sum(engine.idle_ms for engine in engines) / 3_600_000, 3
        ),
        'worst_organisation_served_ratio': round(min(ratios), 4),
        'worst_to_best_ratio': round(min(ratios) / max(ratios), 4),
        'in_rate_refused_ratio': round(
            1 - sum(served.values()) / len(in_rate), 4
        ),
        'late_ratio': round(late / len(in_rate), 4),
        'lost': len(policy.workload.arrivals) - len(policy.results),
        'loads': sum(engine.loads for engine in engines),
        'fetches': policy.store.fetches,
        'overcommits': sum(engine.overcommits for engine in engines),
    }


def percentile(values, fraction):
    """Percentile of sorted values."""
    if not values:
        return None
    return round(values[min(len(values) - 1, int(len(values) * fraction))])


def main():
    """Print one line for each policy and seed."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--deployment', choices=DEPLOYMENTS, default='taquari')
    parser.add_argument('--seeds', type=int, nargs='+', default=[1, 2, 3])
    parser.add_argument('--policies', nargs='+', default=list(POLICIES))
    parser.add_argument('--store-slowdown', type=float, default=1)
    flags = parser.parse_args()
    for seed in flags.seeds:
        workload = Workload(DEPLOYMENTS[flags.deployment], seed)
        for name in flags.policies:
            line = measure(POLICIES[name], workload, seed, flags.store_slowdown)
            print(json.dumps({'seed': seed, **line}), flush=True)


if __name__ == '__main__':
    main()
