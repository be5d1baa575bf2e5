"""Benchmarks placement policies under a virtual clock.

Run ``python -m benchmarks.placement``; it prints one JSON line for each
policy and seed.
"""

import argparse
import json
from collections import Counter

from benchmarks.policies import (
    LagoonflowPolicy,
    LeastLoadedPolicy,
    RandomPolicy,
)
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
POLICIES = {
    policy.name: policy
    for policy in (RandomPolicy, LeastLoadedPolicy, LagoonflowPolicy)
}


def measure(policy_type, workload, seed, slowdown=1):
    """Run one policy and return its measures.

    :param slowdown: factor on the fetch time of the weight store, from 1 s
        before the storm on.
    """
    clock = Clock()
    policy = policy_type(clock, workload, seed)
    for arrival in workload.arrivals:
        clock.call_later(arrival.at_ms, policy.on_arrival, arrival)
    clock.run(QUIET_MS - 1_000)
    policy.store.slowdown = slowdown
    clock.run(QUIET_MS + STORM_MS + TAIL_MS)
    for engine in policy.engines.values():
        engine.end_idle_time()
    return summarise(policy)


def summarise(policy):
    """Compute the measures of one policy from its results."""
    deadline_ms = policy.sizes.deadline_ms
    cold_start_ms = sorted(
        first_token_ms
        for call, first_token_ms in policy.results
        if call.is_cold and first_token_ms is not None
    )
    calls_within_rate = [
        (call, first_token_ms)
        for call, first_token_ms in policy.results
        if call.arrival.is_within_rate
    ]
    offered = Counter(
        call.arrival.organisation for call, _ in calls_within_rate
    )
    served = Counter(
        call.arrival.organisation
        for call, first_token_ms in calls_within_rate
        if first_token_ms is not None and first_token_ms <= deadline_ms
    )
    ratios = [served[name] / offered[name] for name in offered]
    late = sum(
        first_token_ms is not None and first_token_ms > deadline_ms
        for _, first_token_ms in calls_within_rate
    )
    engines = policy.engines.values()
    return {
        'policy': policy.name,
        'cold': len(cold_start_ms),
        'cold_start_p50_ms': percentile(cold_start_ms, 0.5),
        'cold_start_p95_ms': percentile(cold_start_ms, 0.95),
        'cold_start_p99_ms': percentile(cold_start_ms, 0.99),
        'idle_accelerator_hours': round(
            sum(engine.idle_ms for engine in engines) / 3_600_000, 3
        ),
        'worst_organisation_served_ratio': round(min(ratios), 4),
        'worst_to_best_ratio': round(min(ratios) / max(ratios), 4),
        'in_rate_refused_ratio': round(
            1 - sum(served.values()) / len(calls_within_rate), 4
        ),
        'late_ratio': round(late / len(calls_within_rate), 4),
        'lost': len(policy.workload.arrivals) - len(policy.results),
        'loads': sum(engine.loads for engine in engines),
        'fetches': policy.store.fetches,
        'overcommits': sum(engine.overcommits for engine in engines),
    }


def percentile(values, fraction):
    """Return a percentile of sorted values; None if there are none."""
    if not values:
        return None
    return round(values[min(len(values) - 1, int(len(values) * fraction))])


def main():
    """Run each selected policy with each seed and print the measures."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--deployment', choices=DEPLOYMENTS, default='taquari')
    parser.add_argument('--seeds', type=int, nargs='+', default=[1, 2, 3])
    parser.add_argument('--policies', nargs='+', default=list(POLICIES))
    parser.add_argument('--store-slowdown', type=float, default=1)
    flags = parser.parse_args()
    for seed in flags.seeds:
        workload = Workload(DEPLOYMENTS[flags.deployment], seed)
        for name in flags.policies:
            result = measure(
                POLICIES[name], workload, seed, flags.store_slowdown
            )
            print(json.dumps({'seed': seed, **result}), flush=True)


if __name__ == '__main__':
    main()
