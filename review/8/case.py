"""The store comes back from a copy, and a key is taken away after that."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from stand_ins_2 import (  # noqa: E402
    HAS_TROUBLE,
    KEY,
    OTHER_KEY,
    configuration,
    run_case,
)

AWAY_S = 1.5
REVOKE_S = 5.0
REQUESTS = 6


def version(number):
    """Return a version; from the fourth on, one key is taken away."""
    body = configuration(number)
    body['limits']['idle_timeout_ms'] = 15_000 + number
    if number >= 4:
        body['tenants'][1]['api_keys'] = []
    return body


async def play(deployment):
    store = deployment.store
    await deployment.start_store(version(1))
    for _ in range(2):
        await deployment.add_runner('desk')
    for _ in range(2):
        deployment.add_router()
    key = {'Authorization': f'Token {OTHER_KEY}', 'Deadline-Ms': '1000'}
    await deployment.wait_served('/read/0', key)
    await asyncio.sleep(3.5)
    copied = store.copy()
    deployment.record('the store is copied')
    await asyncio.sleep(1.5)
    deployment.publish(version(2))
    await asyncio.sleep(1)
    deployment.publish(version(3))
    await asyncio.sleep(1.5)
    ip, port = deployment.store_address.split(':')
    if HAS_TROUBLE:
        deployment.record('the store is away')
        await store.close()
        await asyncio.sleep(AWAY_S)
        store.restore(copied)
        for runner in deployment.runners:
            runner.register()
        deployment.record('the store is back from the copy')
        deployment.publish(version(3))
    else:
        await asyncio.sleep(AWAY_S)
    deployment.publish(version(4))
    if HAS_TROUBLE:
        await store.listen(ip, int(port))
    await asyncio.sleep(REVOKE_S + 0.5)
    found = []
    for router in deployment.routers:
        for number in range(REQUESTS):
            answer = await deployment.call(router, f'/read/{number}', key)
            if answer.status == 200:
                found.append(
                    f'CONFIG: {router.name} ran a request with the key'
                    f' {REVOKE_S + 0.5} s after it was taken away'
                )
            await asyncio.sleep(0.3)
        good = {'Authorization': f'Token {KEY}', 'Deadline-Ms': '1000'}
        answer = await deployment.call(router, '/read/9', good)
        if answer.status != 200 and not HAS_TROUBLE:
            found.append(f'the other key got {answer.status}')
    deployment.record(f'{len(found)} requests broke the rule')
    return found


run_case(__file__, 'record.txt', play)
