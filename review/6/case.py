"""A router is killed while it forwards streams without a stated length."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from stand_ins_2 import HAS_TROUBLE, event_of, run_case  # noqa: E402

STREAMS = 4
MODEL = {'Model': 'm1', 'Token-Usage': '900,100', 'Deadline-Ms': '15000'}


async def play(deployment):
    await deployment.start_store()
    for _ in range(2):
        await deployment.add_runner(
            'llm', models=['m1'], is_unframed=True, events=12, pause_s=0.3
        )
    for _ in range(2):
        deployment.add_router()
    await deployment.wait_served('/digest/0', MODEL)
    await asyncio.sleep(3.5)
    victim = deployment.routers[0]
    calls = [
        asyncio.create_task(
            deployment.call(victim, f'/digest/{number}', MODEL)
        )
        for number in range(STREAMS)
    ]
    await asyncio.sleep(1.8)
    if HAS_TROUBLE:
        deployment.record(f'SIGKILL of {victim.name}')
        await victim.kill()
        victim.start()
    whole = b''.join(event_of(number, 'sw1') for number in range(1, 13))
    found = []
    for answer in await asyncio.gather(*calls):
        has_success = answer.status == 200 and 'server-seal' in answer.headers
        if has_success and answer.is_complete and answer.body != whole:
            found.append(
                'MIXED: a sealed success looks complete'
                f' ({answer.end}) with {answer.last_event()} of 12 events'
            )
        if not HAS_TROUBLE and not (answer.is_complete and answer.body == whole):
            found.append(f'not served without trouble: {answer.end}')
    deployment.record('; '.join(found) or 'the rule held')
    return found


run_case(__file__, 'record.txt', play)
