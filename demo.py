"""Demonstrates the whole system on the loopback interface.

Run ``make demo``. It starts stand-ins, two routers and three agents, publishes
a release note, requests a model that is not loaded, repeats a booking with one
idempotency key, prints the time lines and ends all processes.
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
RELEASE_TIMEOUT_S = 8
POLL_INTERVAL_S = 0.1


class DemoError(Exception):
    """A step of the demo failed or gave an unexpected result."""


def print_line(text: str) -> None:
    """Print a text and flush standard output."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def authorization_headers(key: str) -> dict[str, str]:
    """Return the headers that authorise a caller.

    :param key: the API key of the caller.
    """
    return {'authorization': f'Bearer {key}'}


class Demo:
    """The steps of the demo."""

    def __init__(self, cluster: Cluster) -> None:
        """Store the cluster.

        :param cluster: a cluster that has not been started.
        """
        self._cluster = cluster

    def run(self) -> None:
        """Run all steps in order.

        :raises DemoError: if a step fails or gives an unexpected result.
        """
        print_line(
            f'Starting {ROUTERS} routers and {AGENTS} agents on loopback.'
        )
        self._cluster.start_fleet(ROUTERS, AGENTS)
        self._publish()
        request_id = self._request_cold_model()
        self._book_twice()
        self._show_time_line(request_id)
        print_line('Done.')

    def _publish(self) -> None:
        print_line(f'\n$ lagoonflowctl release publish {NOTE}')
        self._ctl('release', 'publish', NOTE)
        self._wait_for_release()
        print_line('\n$ lagoonflowctl status')
        self._ctl('status')

    def _wait_for_release(self) -> None:
        deadline_s = time.monotonic() + RELEASE_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if all(self._has_release(number) for number in (1, ROUTERS)):
                return
            time.sleep(POLL_INTERVAL_S)
        raise DemoError('The routers did not apply the release note in time.')

    def _has_release(self, router: int) -> bool:
        reply = http.request(
            self._caller_address(router),
            'GET',
            '/v1/models',
            headers=authorization_headers(WATER_KEY),
        )
        return reply.status == 200 and MODEL.encode() in reply.body

    def _request_cold_model(self) -> str:
        print_line(
            f'\nRequesting {MODEL} from router 1; no runner has it loaded:'
        )
        answer = http.complete(
            self._caller_address(1),
            WATER_KEY,
            {'model': MODEL, 'prompt': PROMPT, 'max_tokens': MAX_TOKENS},
        )
        print_line(f'  answer: {answer.text}')
        if answer.finish_reason != 'length':
            raise DemoError(f'The answer is incomplete: {answer}')
        print_line(
            f'  cold start: {answer.first_token_ms:.0f} ms to the first token'
        )
        return answer.headers['x-request-id']

    def _book_twice(self) -> None:
        print_line('\nBooking a slot twice with one Idempotency-Key:')
        for _ in range(2):
            reply = http.request(
                self._caller_address(2),
                'POST',
                '/bookings/ceremony-17',
                {'slot': '10:30'},
                {
                    **authorization_headers(BOOKING_KEY),
                    'idempotency-key': 'demo-1',
                },
            )
            print_line(f'  {reply.status} {reply.body.decode()}')
            if reply.status != 200 or reply.json()['execution'] != 1:
                raise DemoError('The booking did not run exactly once.')

    def _show_time_line(self, request_id: str) -> None:
        print_line(f'\n$ lagoonflowctl timeline --request {request_id}')
        self._ctl('timeline', '--request', request_id)
        print_line(f'\n$ lagoonflowctl timeline --model {MODEL}')
        self._ctl('timeline', '--model', MODEL)

    def _ctl(self, *arguments: str) -> None:
        log = self._cluster.address('log service')
        finished = self._cluster.ctl(*arguments, '--log-url', f'http://{log}')
        print_line(finished.stdout.rstrip())
        if finished.returncode:
            raise DemoError(finished.stderr)

    def _caller_address(self, number: int) -> str:
        return self._cluster.process(f'router {number}').addresses['callers']


def main() -> int:
    """Run the demo and return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        processes = ProcessSet(pathlib.Path(folder))
        cluster = Cluster(processes)
        try:
            Demo(cluster).run()
        except DemoError as error:
            print_line(f'The demo failed: {error}')
            return 1
        finally:
            cluster.close()
            processes.end_all()
    return 0


if __name__ == '__main__':
    sys.exit(main())
