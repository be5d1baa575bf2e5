"""Agents are stopped and started in turn, and the store comes back from a copy."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from stand_ins_2 import (  # noqa: E402
    HAS_TROUBLE,
    CannotRunError,
    configuration,
    run_case,
)

AWAY_S = 1.0
STABLE_WINDOW_S = 3
MODEL = {'Token-Usage': '900,100', 'Deadline-Ms': '5000'}


async def restart(deployment, agent):
    """Stop an agent with SIGTERM, and start it again when it has ended."""
    deployment.record(f'SIGTERM to {agent.name}')
    agent.signal(signal.SIGTERM)
    await asyncio.to_thread(agent.process.wait, 8)
    agent.start()


async def ask_until_ordered(deployment, model):
    """Ask for a model that is not loaded until its runner got an order."""
    runner = deployment.runners[1]
    before = len(runner.orders)
    for _ in range(40):
        await deployment.call(
            deployment.routers[0], '/digest/1', {**MODEL, 'Model': model}
        )
        if len(runner.orders) > before and model in runner.models:
            return
        await asyncio.sleep(0.1)
    raise CannotRunError(f'no order for {model}')


async def play(deployment):
    store = deployment.store
    body = configuration()
    llm = body['services'][0]
    body['services'].append({**llm, 'name': 'other'})
    await deployment.start_store(body)
    # Requests go to the second runner only.
    for service in ('other', 'llm'):
        await deployment.add_runner(
            service,
            models=['m1'],
            on_disk=['m1', 'm2', 'm3'],
            events=4,
            pause_s=0.05,
        )
    deployment.add_router()
    await deployment.wait_served('/digest/0', {**MODEL, 'Model': 'm1'})
    await asyncio.sleep(3.5)
    copied = store.copy()
    deployment.record('the store is copied')
    for agent in deployment.agents:
        await restart(deployment, agent)
        await asyncio.sleep(0.8)
    await ask_until_ordered(deployment, 'm2')
    if HAS_TROUBLE:
        deployment.record('the store is away')
        await store.close()
        await asyncio.sleep(AWAY_S)
        store.restore(copied)
        deployment.publish_again()
        for runner in deployment.runners:
            runner.register()
        ip, port = deployment.store_address.split(':')
        await store.listen(ip, int(port))
        deployment.record('the store is back from the copy')
    await asyncio.sleep(STABLE_WINDOW_S + 1)
    await restart(deployment, deployment.agents[1])
    await asyncio.sleep(0.8)
    await ask_until_ordered(deployment, 'm3')
    found, highest = [], -1
    for order in deployment.runners[1].orders:
        token = order['fencing_token']
        if token < highest:
            found.append(
                f'ONE: an order to {order["operation"]} {order["model"]} has'
                f' the fencing token {token} after one with {highest}'
            )
        highest = max(highest, token)
    deployment.record('; '.join(found) or 'the rule held')
    return found


run_case(__file__, play)
