"""A router is stopped while clients go on using their open connections."""

import asyncio
import itertools
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from stand_ins_2 import (  # noqa: E402
    HAS_TROUBLE,
    KEY,
    KeptConnection,
    new_attempt,
    run_case,
)

CLIENTS = 120
# Events of the streams of one route, and of the other, of which each eleventh is
# long. The sheets have 13 events on average, 52 at most.
DIGEST, SHORT, LONG, EACH = 17, 4, 24, 11
PAUSE_S = 0.3
GRACE_S = 8
SENT_EARLY_S = 3
MODEL = {'Model': 'm1', 'Token-Usage': '900,100', 'Deadline-Ms': '15000'}


def events_of(path, number):
    if path.startswith('/digest/'):
        return DIGEST
    return SHORT if number % EACH else LONG


async def use_connection(deployment, router, until, answers, delay_s):
    """Send one stream after the other on an open connection, of two kinds."""
    paths = itertools.cycle(('/digest/1', '/urgent/1'))
    connection = KeptConnection(router.ip)
    await asyncio.sleep(delay_s)
    while not until.is_set():
        attempt = new_attempt()
        headers = {
            **MODEL,
            'Attempt-Id': attempt,
            'Authorization': f'Token {KEY}',
        }
        path = next(paths)
        deployment.record(f'sent {attempt} to {router.name}: {path}')
        answer = await connection.ask(path, headers)
        deployment.record(
            f'answer to {attempt}: {answer.status},'
            f' {answer.last_event()} events, {answer.end}'
        )
        answers.append((attempt, answer))
        if not answer.status:
            return
    connection.close()


def broken_by(deployment, answers, stopped_s):
    """Return what breaks LOST: see the claim for the excuses."""
    runs = {attempt for one in deployment.runners for _, attempt, _ in one.runs}
    ends = {}
    for runner in deployment.runners:
        ends.update(runner.ends)
    found = []
    for attempt, answer in answers:
        if answer.is_complete or attempt not in runs:
            continue
        is_in_window = stopped_s < answer.ended_s <= stopped_s + GRACE_S + 1
        is_runners = ends[attempt] in {'done', 'stopped at its deadline'}
        was_early = answer.sent_s <= stopped_s + SENT_EARLY_S
        is_late = answer.ended_s >= stopped_s + GRACE_S * 5 / 6
        if not is_in_window or is_runners or (was_early and is_late):
            continue
        found.append(
            f'LOST: a request sent {answer.sent_s - stopped_s:.2f} s after'
            f' SIGTERM was cut at {answer.ended_s - stopped_s:.2f} s with'
            f' {answer.last_event()} events; runner: {ends[attempt]}'
        )
    return found


async def play(deployment):
    await deployment.start_store()
    for _ in range(2):
        await deployment.add_runner(
            'llm',
            models=['m1'],
            pause_s=PAUSE_S,
            events_of=events_of,
        )
    for _ in range(2):
        deployment.add_router()
    await deployment.wait_served('/digest/0', MODEL, timeout_s=30)
    await asyncio.sleep(3.5)
    router = deployment.routers[0]
    until, answers = asyncio.Event(), []
    clients = [
        asyncio.create_task(
            use_connection(deployment, router, until, answers, number * 0.03)
        )
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(16)
    stopped_s = time.monotonic()
    if HAS_TROUBLE:
        deployment.record(f'SIGTERM to {router.name}')
        router.signal(signal.SIGTERM)
    await asyncio.sleep(GRACE_S + 1.5)
    until.set()
    await asyncio.gather(*clients)
    if HAS_TROUBLE:
        found = broken_by(deployment, answers, stopped_s)
    else:
        cut = [answer for _, answer in answers if not answer.is_complete]
        found = [f'{len(cut)} cut without trouble'] if cut else []
    deployment.record('; '.join(found) or 'the rule held')
    return found


run_case(__file__, 'record.txt', play)
