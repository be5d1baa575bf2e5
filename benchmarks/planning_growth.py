"""Time of the planning and choosing functions as the fleet grows.

Run with ``python -m benchmarks.planning_growth``; prints the time of one call
at each size and the exponent of the growth with the number of runners.
"""

import math
import random
import time

from lagoonflow.backends.choosing import Chooser, Requirements
from lagoonflow.backends.fleet import Fleet
from lagoonflow.backends.messages import BackendServer
from lagoonflow.declared.messages import EngineSpec, Model, Service
from lagoonflow.gossip.messages import AgentState, HeldModelState
from lagoonflow.http1.messages import RequestHead
from lagoonflow.relay.messages import Call
from lagoonflow.waking.preloading import plan_loads

RUNNER_COUNTS = (30, 100, 300)
MODELS_PER_RUNNER = 3.7
HELD_PER_RUNNER = 2
COPIES_PER_RUNNER = 3
MIN_TIMED_S = 0.2
SERVICE = 'llm'
NOW_MS = 10_000.0


def make_engine(runners):
    """Return an engine with more models than the runners hold."""
    names = [f'm{number}' for number in range(int(runners * MODELS_PER_RUNNER))]
    models = {
        name: Model(name, 60_000, 600, 800, 7800, adapters=2, adapter_mb=100)
        for name in names
    }
    return EngineSpec(models, 48, 250_000, 200_000, 8, 25)


def make_states(engine, runners, seed=1):
    """Return agent states with random copies and demand, by instance."""
    chance = random.Random(seed)
    names = list(engine.models)
    # A quarter of the models has no copy anywhere.
    copied = names[: len(names) * 3 // 4]
    states = {}
    for number in range(runners):
        held = chance.sample(copied, HELD_PER_RUNNER)
        copies = chance.sample(copied, COPIES_PER_RUNNER)
        states[f'i-{number}'] = AgentState(
            f'side-{number}',
            f'i-{number}',
            1,
            tuple(
                HeldModelState(name, (), chance.randrange(3), chance.random())
                for name in held
            ),
            on_disk=tuple(copies),
            can_order=True,
            free_mb=80_000,
            store_demand_per_s=chance.choice((0, 0, chance.random())),
        )
    return states


def make_chooser(engine, states):
    """Return a chooser that knows all runners, and their service."""
    fleet = Fleet()
    for number, (instance, state) in enumerate(states.items()):
        address = f'10.0.{number // 250}.{number % 250}:80'
        fleet.roster.put(
            BackendServer(instance, SERVICE, address, 'a', 48, started_ms=1),
            NOW_MS,
        )
        fleet.observe_agent(state, NOW_MS)
    return Chooser(fleet, 'a'), Service(SERVICE, 660, engine)


def time_ms(function):
    """Return the mean time of one call, in ms."""
    function()
    calls = 0
    began_s = time.perf_counter()
    while time.perf_counter() - began_s < MIN_TIMED_S:
        function()
        calls += 1
    return (time.perf_counter() - began_s) / calls * 1000


def growth_exponent(sizes, times_ms):
    """Return the slope of the line through the logarithms."""
    xs = [math.log(size) for size in sizes]
    ys = [math.log(one) for one in times_ms]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    products = sum(
        (x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)
    )
    return products / sum((x - mean_x) ** 2 for x in xs)


def measure(runner_counts=RUNNER_COUNTS):
    """Return the times in ms at each size, by function."""
    times = {
        'plan_loads': [],
        'choose a held model': [],
        'choose a missing': [],
    }
    for runners in runner_counts:
        engine = make_engine(runners)
        states = make_states(engine, runners)
        chooser, service = make_chooser(engine, states)
        held = states['i-0'].held[0].name
        missing = list(engine.models)[-1]
        times['plan_loads'].append(
            time_ms(lambda e=engine, s=states: plan_loads(e, s, {}))
        )
        for name, model in (
            ('choose a held model', held),
            ('choose a missing', missing),
        ):
            wanted = Requirements(make_call(model), service)
            times[name].append(
                time_ms(lambda c=chooser, w=wanted: c.choose(w, NOW_MS))
            )
    return times


def make_call(model):
    """Return a call for a model without a prompt."""
    head = RequestHead(b'POST', b'/p', ())
    return Call('r', 'h', '/p', head, b'', model=model)


def main():
    """Print times and exponents."""
    print('function', *RUNNER_COUNTS, 'exponent', sep='\t')
    for name, times_ms in measure().items():
        exponent = growth_exponent(RUNNER_COUNTS, times_ms)
        cells = [f'{one:.2f}' for one in times_ms]
        print(name, *cells, f'{exponent:.2f}', sep='\t')


if __name__ == '__main__':
    main()
