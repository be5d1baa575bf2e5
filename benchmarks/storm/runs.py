"""Runs one policy with the arrivals of one seed and measures it."""

import asyncio
import contextlib
import pathlib
import tempfile
from collections.abc import Iterator

import msgspec

from benchmarks.storm import outcomes as results
from benchmarks.storm.arrivals import (
    Arrival,
    ArrivalPlan,
    Phases,
    organisations,
)
from benchmarks.storm.baselines import BaselineRouter, Policy
from benchmarks.storm.deployments import Deployment
from benchmarks.storm.fleet import Fleet, FleetStarter, api_keys
from benchmarks.storm.load import RouterClient, replay
from benchmarks.storm.outcomes import Measures, Outcome
from benchmarks.storm.world import EngineWatcher
from loopback import http
from loopback.processes import ProcessSet

LAGOONFLOW = 'lagoonflow'
POLICIES = (LAGOONFLOW, *Policy)
MS_PER_HOUR = 3_600_000


@contextlib.contextmanager
def _process_set() -> Iterator[ProcessSet]:
    with tempfile.TemporaryDirectory() as folder:
        processes = ProcessSet(pathlib.Path(folder))
        try:
            yield processes
        finally:
            processes.end_all()


def measure(
    policy: str,
    deployment: Deployment,
    phases: Phases,
    seed: int,
    log_folder: pathlib.Path | None = None,
) -> Measures:
    """Start a fleet, replay the arrivals and compute the measures.

    :param log_folder: where to save logs and timelines; None to drop them.
    """
    arrivals = ArrivalPlan(deployment, phases, seed).arrivals()
    limits = organisations(phases)
    with _process_set() as processes:
        starter = FleetStarter(processes, deployment)
        fencing = 'on' if policy == LAGOONFLOW else 'off'
        fleet = starter.start_engines(seed, fencing)
        if policy == LAGOONFLOW:
            fleet = starter.start_programs(fleet, limits)
        request_outcomes, engine_counters = asyncio.run(
            _replay_arrivals(policy, deployment, fleet, arrivals, phases, seed),
        )
        if log_folder is not None:
            _save_logs(processes, log_folder)
            _save_timelines(fleet, log_folder)
    within_rate_flags = results.within_rate(arrivals, limits)
    return _compute_measures(
        policy,
        deployment,
        seed,
        request_outcomes,
        within_rate_flags,
        engine_counters,
    )


async def _replay_arrivals(
    policy: str,
    deployment: Deployment,
    fleet: Fleet,
    arrivals: list[Arrival],
    phases: Phases,
    seed: int,
) -> tuple[list[Outcome], list[dict]]:
    watcher = EngineWatcher(fleet.engines)
    async with watcher.polling():
        if policy == LAGOONFLOW:
            client = RouterClient(
                fleet.routers, api_keys(organisations(phases))
            )
            request_outcomes = await replay(arrivals, client.send, watcher)
        else:
            request_outcomes = await _replay_baseline(
                Policy(policy),
                deployment,
                fleet,
                arrivals,
                phases,
                seed,
                watcher,
            )
    return request_outcomes, await watcher.counts()


async def _replay_baseline(
    policy: Policy,
    deployment: Deployment,
    fleet: Fleet,
    arrivals: list[Arrival],
    phases: Phases,
    seed: int,
    watcher: EngineWatcher,
) -> list[Outcome]:
    routers = [
        BaselineRouter(
            policy,
            deployment,
            fleet.engines,
            organisations(phases),
            seed * 100 + number,
        )
        for number in range(deployment.routers)
    ]
    poll_tasks = [
        asyncio.create_task(router.poll_engines()) for router in routers
    ]
    try:
        return await replay(
            arrivals,
            lambda arrival: routers[arrival.router].serve(arrival),
            watcher,
        )
    finally:
        for poll_task in poll_tasks:
            poll_task.cancel()


def _compute_measures(
    policy: str,
    deployment: Deployment,
    seed: int,
    request_outcomes: list[Outcome],
    within_rate_flags: list[bool],
    engine_counters: list[dict],
) -> Measures:
    cold_start_ms = [
        outcome.first_token_ms
        for outcome in request_outcomes
        if outcome.was_cold
        and outcome.is_in_time
        and outcome.first_token_ms is not None
    ]
    first_token_ms = [
        outcome.first_token_ms
        for outcome in request_outcomes
        if outcome.first_token_ms
    ]
    outcomes_within_rate = [
        outcome
        for outcome, is_within_rate in zip(
            request_outcomes, within_rate_flags, strict=True
        )
        if is_within_rate
    ]
    in_rate_refusals: dict[str, int] = {}
    ratios = results.served_ratios(request_outcomes, within_rate_flags)
    for outcome in outcomes_within_rate:
        if not outcome.is_in_time:
            name = outcome.arrival.organisation
            in_rate_refusals[name] = in_rate_refusals.get(name, 0) + 1
    refusals: dict[str, int] = {}
    for outcome in request_outcomes:
        if outcome.code:
            refusals[outcome.code] = refusals.get(outcome.code, 0) + 1
    executions: dict[str, int] = {}
    for counters in engine_counters:
        for request_id, times in counters.get('executions', {}).items():
            name = request_id.partition('/')[0]
            executions[name] = executions.get(name, 0) + times
    remote_loads = sum(
        sum(counters.get('remote_loads', counters.get('loads', {})).values())
        for counters in engine_counters
    )
    return Measures(
        deployment=deployment.name,
        policy=policy,
        seed=seed,
        offered=len(request_outcomes),
        served=sum(outcome.is_in_time for outcome in request_outcomes),
        cold_starts=len(cold_start_ms),
        cold_start_p50_ms=results.percentile(cold_start_ms, 0.5),
        cold_start_p95_ms=results.percentile(cold_start_ms, 0.95),
        cold_start_p99_ms=results.percentile(cold_start_ms, 0.99),
        store_bound_ms=remote_loads / deployment.store_loads_per_s * 1000,
        first_token_p95_ms=results.percentile(first_token_ms, 0.95),
        idle_accelerator_hours=sum(
            counters.get('idle_replica_ms', 0) for counters in engine_counters
        )
        / MS_PER_HOUR,
        worst_organisation_served_ratio=min(ratios.values()),
        worst_to_best_ratio=min(ratios.values()) / max(*ratios.values(), 1e-9),
        in_rate_refused_ratio=results.ratio_of(
            outcomes_within_rate, lambda outcome: not outcome.is_in_time
        ),
        late_ratio=results.ratio_of(
            request_outcomes,
            lambda outcome: outcome.is_complete and not outcome.is_in_time,
        ),
        lost=sum(outcome.code == 'LOST' for outcome in request_outcomes),
        duplicated=sum(times > 1 for times in executions.values()),
        loads=sum(
            sum(counters.get('loads', {}).values())
            for counters in engine_counters
        ),
        refusals=refusals,
        in_rate_refusals=in_rate_refusals,
    )


def _save_logs(processes: ProcessSet, folder: pathlib.Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for process in processes.all():
        name = process.name.replace(' ', '-')
        (folder / f'{name}.log').write_text(process.logs())


def _save_timelines(fleet: Fleet, folder: pathlib.Path) -> None:
    lines = [
        msgspec.json.encode(event)
        for admin in fleet.admins
        for event in http.request(admin, 'GET', '/timeline').json()
    ]
    (folder / 'timeline.jsonl').write_bytes(b'\n'.join(lines))
