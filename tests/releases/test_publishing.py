"""Operators publish notes with lagoonflowctl, run as a real process."""

import concurrent.futures
import json
import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from loopback import http
from loopback.cluster import LOG
from tests.support.steps import step, within

scenarios('test_publishing.feature')

TIMEOUT_S = 15
ACCEPTED, REJECTED = 0, 4


class Operators:
    """Runs the publish commands of operators, also several at once."""

    def __init__(self, cluster, folder):
        self.pool = concurrent.futures.ThreadPoolExecutor()
        self.running = []
        self._cluster = cluster
        self._folder = folder

    def publish(self, model, base):
        number = len(self.running)
        path = self._folder / f'note-{number}.yaml'
        change = {
            'put': 'model',
            'name': model,
            'base': base,
            'version': str(number),
            'checkpoint': 'ck',
            'memory_mb': 100,
        }
        path.write_text(json.dumps({'changes': [change]}))
        self.running.append(
            self.pool.submit(self.ctl, 'publish', path, '--timeout-s', '14')
        )

    def ctl(self, *arguments):
        url = f'--log-url=http://{self._cluster.address(LOG)}'
        return self._cluster.ctl('release', *map(str, arguments), url)

    def results(self):
        return [one.result(TIMEOUT_S * 2) for one in self.running]


@pytest.fixture
def operators(cluster, tmp_path):
    operators_in_test = Operators(cluster, tmp_path)
    yield operators_in_test
    operators_in_test.pool.shutdown()


@given(parsers.parse('an operator has published the model {model} at base 0'))
def has_published(operators, model):
    operators.publish(model, 0)
    assert operators.results()[-1].returncode == ACCEPTED
    operators.running.clear()


@when(parsers.parse('an operator publishes the model {model} at base {base:d}'))
def publish(operators, model, base):
    operators.publish(model, base)
    operators.results()


@when('an operator begins to publish the model news at base 0')
def begin_to_publish(operators):
    operators.publish('news', 0)


@when(
    parsers.parse(
        'operators publish the models {one} and {other} at base 0 at once'
    )
)
def publish_at_once(operators, one, other):
    operators.publish(one, 0)
    operators.publish(other, 0)


@when(parsers.parse('the log service is up after {wait_s:d} s'))
def up_after(cluster, wait_s):
    time.sleep(wait_s)
    http.set_faults(cluster.address(LOG), outage=False)


@then('the log service is up again')
def up_again(cluster):
    http.set_faults(cluster.address(LOG), outage=False)


@given('the stream of releases contains an invalid record')
def append_invalid_record(cluster):
    body = {'records': ['{"id": "x", "kind": "note", "body": {"ch']}
    path = '/streams/releases/records'
    reply = http.request(cluster.address(LOG), 'POST', path, body)
    assert reply.status == 200


@given(step(r'within (?P<limit>\d+) s PART has folded 1 records of releases'))
def has_folded(cluster, limit, part):
    def is_folded():
        address = cluster.address(part, '/status')
        status = http.request(address, 'GET', '/status').json()
        return status['streams']['releases']['next_offset'] >= 1

    within(limit, is_folded)


@then('the note is accepted')
@then('both notes are accepted')
def check_accepted(operators):
    for result in operators.results():
        assert result.returncode == ACCEPTED, result.stderr
        assert 'accepted: note' in result.stdout


@then(
    parsers.parse(
        'one note is accepted and one is rejected because of "{text}"'
    )
)
def check_one_accepted(operators, text):
    results = operators.results()
    codes = sorted(result.returncode for result in results)
    assert codes == [ACCEPTED, REJECTED]
    rejected = max(results, key=lambda result: result.returncode)
    assert text in rejected.stdout


@then(
    parsers.parse('the program ends with status {status:d} and says "{text}"')
)
def check_program_end(operators, status, text):
    result = operators.results()[-1]
    assert result.returncode == status, result.stderr
    assert text in result.stdout + result.stderr


@then(parsers.parse('the model {model} is in force at version {version:d}'))
def check_in_force(operators, model, version):
    shown = operators.ctl('show', 'model', '--json').stdout
    versions = {
        row['name']: row['version']
        for row in map(json.loads, shown.splitlines())
    }
    assert versions[model] == version
