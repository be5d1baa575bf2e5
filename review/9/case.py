"""Routers are stopped and started in turn while long streams run."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from stand_ins_2 import HAS_TROUBLE, new_attempt, run_case  # noqa: E402

STREAMS = 16
NEW_STREAMS = 8
# A stream of 13.5 s, with 15 s until its deadline.
EVENTS, PAUSE_S = 30, 0.45
DEADLINE_S = 15
MOST_TRIES = 4
STABLE_WINDOW_S = 3
MODEL = {'Model': 'm1', 'Token-Usage': '9190,104'}


class Client:
    """A client with one stream, which it takes up again if it breaks off."""

    def __init__(self, deployment, number):
        self._deployment = deployment
        self._number = number
        self.events = {}
        self.is_whole = False
        self.resumed_at_s = None
        self.statuses = []

    async def run(self):
        deployment = self._deployment
        first, other = deployment.routers
        until_s = time.monotonic() + DEADLINE_S
        origin = ''
        router = first
        for _ in range(MOST_TRIES):
            headers = {
                **MODEL,
                'Attempt-Id': new_attempt(),
                'Deadline-Ms': str(int((until_s - time.monotonic()) * 1000)),
            }
            last = max(self.events, default=0)
            if last:
                headers.update({'Last-Event-Id': str(last), 'Resumes': origin})
            if last and self.resumed_at_s is None:
                self.resumed_at_s = time.monotonic()
            answer = await deployment.call(
                router, f'/urgent/{self._number}', headers
            )
            self._take(answer)
            origin = origin or headers['Attempt-Id']
            if last:
                self.statuses.append(answer.status)
            if answer.status == 200 and answer.is_complete:
                self.is_whole = sorted(self.events) == list(range(1, EVENTS + 1))
                return
            left_s = until_s - time.monotonic()
            pause_s = float(answer.headers.get('retry-after', 0))
            if left_s <= 0.1:
                return
            await asyncio.sleep(min(pause_s, left_s / 3))
            router = other

    def _take(self, answer):
        if answer.status != 200:
            return
        for event in answer.body.split(b'\n\n')[:-1]:
            number = int(event.split(b'\n')[0].removeprefix(b'id:'))
            self.events[number] = event


async def restart(deployment, router):
    """Stop a router with SIGTERM, and start it again when it has ended."""
    deployment.record(f'SIGTERM to {router.name}')
    router.signal(signal.SIGTERM)
    await asyncio.to_thread(router.process.wait, 8)
    router.start()
    started_s = time.monotonic()
    deployment.record(f'{router.name} started again')
    await router.wait_ready()
    deployment.record(f'{router.name} is ready again')
    return started_s


async def play(deployment):
    await deployment.start_store()
    for _ in range(2):
        await deployment.add_runner(
            'llm', models=['m1'], events=EVENTS, pause_s=PAUSE_S
        )
    for _ in range(2):
        deployment.add_router()
    short = {**MODEL, 'Deadline-Ms': '15000'}
    await deployment.wait_served('/digest/0', short, timeout_s=40)
    await asyncio.sleep(3.5)
    clients = [Client(deployment, number) for number in range(STREAMS)]
    calls = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(0.5)
    found = []
    if HAS_TROUBLE:
        first, other = deployment.routers
        started_s = await restart(deployment, other)
        last = asyncio.create_task(restart(deployment, first))
    await asyncio.gather(*calls)
    if not HAS_TROUBLE:
        lost = [client for client in clients if not client.is_whole]
        found = [f'{len(lost)} streams not whole without trouble'] if lost else []
        deployment.record('; '.join(found) or 'the rule held')
        return found
    new = await asyncio.gather(
        *(
            deployment.call(other, f'/urgent/{100 + number}', short)
            for number in range(NEW_STREAMS)
        )
    )
    await last
    resumed = [
        client
        for client in clients
        if client.resumed_at_s is not None
        and client.resumed_at_s - started_s >= STABLE_WINDOW_S
    ]
    went_on = sum(client.is_whole for client in resumed)
    begun = sum(answer.status == 200 and answer.is_complete for answer in new)
    summary = (
        f'{len(resumed)} streams taken up again at a machine in touch,'
        f' {went_on} went on; {begun} of {len(new)} new streams were served'
    )
    deployment.record(summary)
    if len(resumed) >= 12 and went_on / len(resumed) < begun / len(new) / 2:
        found = [f'LOST: {summary}']
    return found


run_case(__file__, 'record.txt', play)
