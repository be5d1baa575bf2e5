"""Streams that callers take up again after all routers were killed."""

import asyncio
import pathlib
import random
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
# What was sent, answered and run.
RECORD = HERE / 'record.txt'
sys.path.insert(0, str(HERE.parent))

from stand_ins_3 import (  # noqa: E402
    Answer,
    ask,
    is_troubled,
    new_id,
    run_case,
)

SERVICE, MODEL = 'redacao-llm', 'm1'
KEY = 'k9n73hh2b9wu3fexd9dn'
STREAMS = 24
DEADLINE_S = 15.0
# The connections of the clients break so long after the streams began.
BREAK_AFTER_S = 2.0
RESTART_DELAY_S = 0.3
STABLE_WINDOW_S = 3.0
# When clients try again, in s after the break; all within their deadline.
TRIES_AFTER_S = (0.2, 1.5, 5.0, 6.0)


def configuration() -> dict:
    return {
        'version': 7,
        'routes': [
            {
                'name': 'digest',
                'host': 'desk.example',
                'path_prefix': '/digest/',
                'type': 'streaming',
                'timeout_ms': 15000,
                'target_latency_ms': 2500,
                'priority': 1,
                'service': SERVICE,
                'attempts': 2,
                'public': False,
                'sticky': True,
                'resumable': True,
                'gap_target_ms': 600,
            }
        ],
        'services': [
            {
                'name': SERVICE,
                'health_path': '/healthz',
                'max_conns': 360,
                'engine': {
                    'slots': 64,
                    'kv_capacity': 264806,
                    'models': [
                        {
                            'name': MODEL,
                            'weights_mb': 42700.0,
                            'load_time_s': 6.0,
                            'adapters': 0,
                            'adapter_size_mb': 66.0,
                            'warm_s': 0.44,
                            'disk_load_s': 0.57,
                        }
                    ],
                    'weights_mb': 200000.0,
                    'adapter_slots': 8,
                    'loads_per_s': 1.6,
                },
            }
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [
            {
                'name': 'crew',
                'api_keys': [KEY],
                'unit': 'tokens',
                'plain_tokens': 200,
                'rate_per_s': 200000,
                'burst': 200000,
            }
        ],
    }


def headers(attempt: str, left_s: float, **more: str) -> dict[str, str]:
    return {
        'Attempt-Id': attempt,
        'Deadline-Ms': str(int(left_s * 1000)),
        'Authorization': f'Token {KEY}',
        'Model': MODEL,
        'Token-Usage': '900,160',
        **more,
    }


class Play:
    """The routers, and when each was started last."""

    def __init__(self, fleet, routers) -> None:
        self.fleet = fleet
        self.routers = routers
        self.started_s = {router: time.monotonic() for router in routers}
        self.taken_up = 0
        self.went_on = 0
        self.begun = 0
        self.served = 0

    def is_in_touch(self, router) -> bool:
        return time.monotonic() - self.started_s[router] > STABLE_WINDOW_S

    async def stream(self, number: int) -> None:
        """Begin a stream, and take it up again after its connection broke."""
        record = self.fleet.record
        began_s = time.monotonic()
        first_id = new_id()
        answer = Answer()
        record.write(f'client {number} sends {first_id}, a new stream')
        await ask(
            random.choice(self.routers).frontend,
            'POST',
            '/digest/2f',
            headers(first_id, DEADLINE_S),
            b'summary',
            BREAK_AFTER_S,
            answer,
        )
        last = answer.last_event
        record.write(
            f'client {number} got {answer.status} for {first_id}, and breaks off at'
            f' event {last}'
        )
        broke_s = began_s + BREAK_AFTER_S
        was_in_touch = False
        has_gone_on = False
        for after_s in TRIES_AFTER_S:
            pause_s = broke_s + after_s - time.monotonic()
            await asyncio.sleep(max(pause_s, 0))
            router = random.choice(self.routers)
            in_touch = self.is_in_touch(router)
            was_in_touch = was_in_touch or in_touch
            attempt = new_id()
            left_s = began_s + DEADLINE_S - time.monotonic()
            again = await ask(
                router.frontend,
                'POST',
                '/digest/2f',
                headers(
                    attempt,
                    left_s,
                    Resumes=first_id,
                    **{'Last-Event-Id': str(last)},
                ),
                b'summary',
                left_s,
            )
            record.write(
                f'client {number} takes up {first_id} after event {last} as'
                f' {attempt} at {router.name} in touch={in_touch}: {again.status}'
                f' {again.body[:160] if again.status != 200 else again.last_event}'
            )
            if again.status == 200 and again.last_event > last:
                has_gone_on = True
                break
        # A stream that went on before counts as taken up, too.
        self.taken_up += was_in_touch or has_gone_on
        self.went_on += has_gone_on

    async def new_stream(self, number: int) -> None:
        """Begin a new stream at a machine in touch."""
        attempt = new_id()
        router = random.choice(self.routers)
        answer = await ask(
            router.frontend,
            'POST',
            '/digest/2f',
            headers(attempt, DEADLINE_S),
            b'summary',
            4,
        )
        self.begun += 1
        self.served += answer.last_event > 0
        self.fleet.record.write(
            f'new stream {attempt} at {router.name}: {answer.status}, event'
            f' {answer.last_event}'
        )

    async def kill_routers(self) -> None:
        """Kill all routers at the same moment; the platform restarts them."""
        for router in self.routers:
            router.signal(signal.SIGKILL)
        await asyncio.sleep(RESTART_DELAY_S)
        for router in self.routers:
            await router.wait()
            await router.start()
            self.started_s[router] = time.monotonic()


async def play(fleet) -> int:
    await fleet.start_store()
    for _ in range(2):
        server = await fleet.add_server(SERVICE, models=(MODEL,))
        await fleet.add_agent(server)
    fleet.publish(configuration())
    routers = [await fleet.add_router() for _ in range(2)]
    await fleet.wait_ready(routers)
    await asyncio.sleep(4)
    game = Play(fleet, routers)
    streams = [
        asyncio.create_task(game.stream(number)) for number in range(STREAMS)
    ]
    await asyncio.sleep(BREAK_AFTER_S)
    if is_troubled():
        await game.kill_routers()
        await fleet.wait_ready(routers)
    await asyncio.sleep(4.5 - RESTART_DELAY_S)
    news = [game.new_stream(number) for number in range(STREAMS)]
    await asyncio.gather(*news, *streams)
    record = fleet.record
    record.say(f'{game.taken_up} streams taken up again, {game.went_on} went on')
    record.say(f'{game.begun} new streams, {game.served} begun')
    if not game.served or game.taken_up < 12:
        return 2
    share = game.went_on / game.taken_up
    share_of_new = game.served / game.begun
    is_broken = share < share_of_new / 2
    record.say(
        f'LOST: share that goes on {share:.2f}, of new ones {share_of_new:.2f}:'
        f' {"broken" if is_broken else "held"}'
    )
    return int(is_broken)


if __name__ == '__main__':
    run_case(play, RECORD)
