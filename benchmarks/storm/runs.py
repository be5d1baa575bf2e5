"""Runs one policy on one seed and measures it."""

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
from benchmarks.storm.fleet import Fleet, FleetStarter, keys_of
from benchmarks.storm.load import RouterClient, replay
from benchmarks.storm.outcomes import Measures, Outcome
from benchmarks.storm.world import EngineWatcher
from loopback import http
from loopback.processes import ProcessSet

LAGOONFLOW = 'lagoonflow'
POLICIES = (LAGOONFLOW, *Policy)
MS_PER_HOUR = 3_600_000


@contextlib.contextmanager
def _processes() -> Iterator[ProcessSet]:
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
    keep_logs: pathlib.Path | None = None,
) -> Measures:
    """Start a fleet, replay the arrivals, and measure."""
    plan = ArrivalPlan(deployment, phases, seed).arrivals()
    limits = organisations(phases)
    with _processes() as processes:
        starter = FleetStarter(processes, deployment)
        fencing = 'on' if policy == LAGOONFLOW else 'off'
        fleet = starter.start_engines(seed, fencing)
        if policy == LAGOONFLOW:
            fleet = starter.start_programs(fleet, limits)
        found, counts = asyncio.run(
            _replay(policy, deployment, fleet, plan, phases, seed),
        )
        if keep_logs is not None:
            _keep(processes, keep_logs)
            _keep_timelines(fleet, keep_logs)
    in_rate = results.within_rate(plan, limits)
    return _measures(policy, deployment, seed, found, in_rate, counts)


async def _replay(
    policy: str,
    deployment: Deployment,
    fleet: Fleet,
    plan: list[Arrival],
    phases: Phases,
    seed: int,
) -> tuple[list[Outcome], list[dict]]:
    watcher = EngineWatcher(fleet.engines)
    async with watcher.polling():
        if policy == LAGOONFLOW:
            client = RouterClient(fleet.routers, keys_of(organisations(phases)))
            found = await replay(plan, client.send, watcher)
        else:
            found = await _replay_baseline(
                Policy(policy), deployment, fleet, plan, phases, seed, watcher
            )
    return found, await watcher.counts()


async def _replay_baseline(
    policy: Policy,
    deployment: Deployment,
    fleet: Fleet,
    plan: list[Arrival],
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
    watches = [asyncio.create_task(router.watch()) for router in routers]
    try:
        return await replay(
            plan,
            lambda arrival: routers[arrival.router].run(arrival),
            watcher,
        )
    finally:
        for watch in watches:
            watch.cancel()


def _measures(
    policy: str,
    deployment: Deployment,
    seed: int,
    found: list[Outcome],
    in_rate: list[bool],
    counts: list[dict],
) -> Measures:
    cold = [
        one.first_token_ms
        for one in found
        if one.was_cold and one.is_in_time and one.first_token_ms is not None
    ]
    first = [one.first_token_ms for one in found if one.first_token_ms]
    inside = [one for one, is_in in zip(found, in_rate, strict=True) if is_in]
    in_rate_refusals: dict[str, int] = {}
    ratios = results.served_ratios(found, in_rate)
    for one in inside:
        if not one.is_in_time:
            name = one.arrival.organisation
            in_rate_refusals[name] = in_rate_refusals.get(name, 0) + 1
    refusals: dict[str, int] = {}
    for one in found:
        if one.code:
            refusals[one.code] = refusals.get(one.code, 0) + 1
    executions: dict[str, int] = {}
    for count in counts:
        for request_id, times in count.get('executions', {}).items():
            name = request_id.partition('/')[0]
            executions[name] = executions.get(name, 0) + times
    remote = sum(
        sum(count.get('remote_loads', count.get('loads', {})).values())
        for count in counts
    )
    return Measures(
        deployment=deployment.name,
        policy=policy,
        seed=seed,
        offered=len(found),
        served=sum(one.is_in_time for one in found),
        cold_starts=len(cold),
        cold_start_p50_ms=results.percentile(cold, 0.5),
        cold_start_p95_ms=results.percentile(cold, 0.95),
        cold_start_p99_ms=results.percentile(cold, 0.99),
        store_bound_ms=remote / deployment.store_loads_per_s * 1000,
        first_token_p95_ms=results.percentile(first, 0.95),
        idle_accelerator_hours=sum(
            count.get('idle_replica_ms', 0) for count in counts
        )
        / MS_PER_HOUR,
        worst_organisation_served_ratio=min(ratios.values()),
        worst_to_best_ratio=min(ratios.values()) / max(*ratios.values(), 1e-9),
        in_rate_refused_ratio=results.ratio_of(
            inside, lambda one: not one.is_in_time
        ),
        late_ratio=results.ratio_of(
            found, lambda one: one.is_whole and not one.is_in_time
        ),
        lost=sum(one.code == 'LOST' for one in found),
        duplicated=sum(times > 1 for times in executions.values()),
        loads=sum(sum(count.get('loads', {}).values()) for count in counts),
        refusals=refusals,
        in_rate_refusals=in_rate_refusals,
    )


def _keep(processes: ProcessSet, folder: pathlib.Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for process in processes.all():
        name = process.name.replace(' ', '-')
        (folder / f'{name}.log').write_text(process.logs())


def _keep_timelines(fleet: Fleet, folder: pathlib.Path) -> None:
    lines = [
        msgspec.json.encode(event)
        for admin in fleet.admins
        for event in http.request(admin, 'GET', '/timeline').json()
    ]
    (folder / 'timeline.jsonl').write_bytes(b'\n'.join(lines))
