"""Shows the whole system on loopback: ``make demo``.

Starts stand-ins, two routers and three agents, publishes a release note,
wakes a cold model, makes a booking, prints the time line, and ends all.
"""

import pathlib
import sys
import tempfile
import time

from loopback import http
from loopback.cluster import Cluster
from loopback.processes import ProcessSet

WATER_KEY = 'lf_demo_water_utility'
BOOKING_KEY = 'lf_demo_booking_platform'
MODEL = 'closure-notices'
NOTE = 'examples/demo.yaml'
PROMPT = 'Rua do Porto is closed from 6 to 9 because of a burst main.'
MAX_TOKENS = 12
ROUTERS = 2
AGENTS = 3
IN_FORCE_TIMEOUT_S = 8
POLL_INTERVAL_S = 0.1


class DemoError(Exception):
    """A step of the demo did not do what it should."""


def say(text: str) -> None:
    """Print one line."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def headers_for(key: str) -> dict[str, str]:
    """Return the headers of a caller."""
    return {'authorization': f'Bearer {key}'}


class Demo:
    """The steps of the demo."""

    def __init__(self, cluster: Cluster) -> None:
        """Use a cluster that has not been started."""
        self._cluster = cluster

    def run(self) -> None:
        """Run all steps."""
        say(f'Starting {ROUTERS} routers and {AGENTS} agents on loopback.')
        self._cluster.start_fleet(ROUTERS, AGENTS)
        self._publish()
        request_id = self._wake_model()
        self._book()
        self._show_time_line(request_id)
        say('Done.')

    def _publish(self) -> None:
        say(f'\n$ lagoonflowctl release publish {NOTE}')
        self._ctl('release', 'publish', NOTE)
        self._wait_until_in_force()
        say('\n$ lagoonflowctl status')
        self._ctl('status')

    def _wait_until_in_force(self) -> None:
        deadline_s = time.monotonic() + IN_FORCE_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if all(self._is_in_force(number) for number in (1, ROUTERS)):
                return
            time.sleep(POLL_INTERVAL_S)
        raise DemoError('The release note is not in force everywhere.')

    def _is_in_force(self, router: int) -> bool:
        reply = http.request(
            self._callers(router),
            'GET',
            '/v1/models',
            headers=headers_for(WATER_KEY),
        )
        return reply.status == 200 and MODEL.encode() in reply.body

    def _wake_model(self) -> str:
        say(f'\nAsking router 1 for {MODEL}, which no runner holds:')
        answer = http.complete(
            self._callers(1),
            WATER_KEY,
            {'model': MODEL, 'prompt': PROMPT, 'max_tokens': MAX_TOKENS},
        )
        say(f'  answer: {answer.text}')
        if answer.finish_reason != 'length':
            raise DemoError(f'The answer is not whole: {answer}')
        say(f'  cold start: {answer.first_token_ms:.0f} ms to the first token')
        return answer.headers['x-request-id']

    def _book(self) -> None:
        say('\nBooking a slot twice with one Idempotency-Key:')
        for _ in range(2):
            reply = http.request(
                self._callers(2),
                'POST',
                '/bookings/ceremony-17',
                {'slot': '10:30'},
                {**headers_for(BOOKING_KEY), 'idempotency-key': 'demo-1'},
            )
            say(f'  {reply.status} {reply.body.decode()}')
            if reply.status != 200 or reply.json()['execution'] != 1:
                raise DemoError('The booking did not run exactly once.')

    def _show_time_line(self, request_id: str) -> None:
        say(f'\n$ lagoonflowctl timeline --request {request_id}')
        self._ctl('timeline', '--request', request_id)
        say(f'\n$ lagoonflowctl timeline --model {MODEL}')
        self._ctl('timeline', '--model', MODEL)

    def _ctl(self, *words: str) -> None:
        log = self._cluster.address('log service')
        done = self._cluster.ctl(*words, '--log-url', f'http://{log}')
        say(done.stdout.rstrip())
        if done.returncode:
            raise DemoError(done.stderr)

    def _callers(self, number: int) -> str:
        return self._cluster.process(f'router {number}').addresses['callers']


def main() -> int:
    """Run the demo; return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        processes = ProcessSet(pathlib.Path(folder))
        cluster = Cluster(processes)
        try:
            Demo(cluster).run()
        except DemoError as error:
            say(f'The demo failed: {error}')
            return 1
        finally:
            cluster.close()
            processes.end_all()
    return 0


if __name__ == '__main__':
    sys.exit(main())
