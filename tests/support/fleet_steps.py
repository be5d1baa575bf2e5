"""Steps for release notes and for callers in the background."""

import dataclasses
import hashlib
import json
import subprocess
import time

import pytest
from pytest_bdd import given, parsers, then, when

from loopback import http
from loopback.cluster import Cluster
from loopback.program_flags import CALLERS
from tests.support.steps import PROGRAMS, step, within
from tests.support.traffic import GenerationRequest, Traffic, number_prompts

MODELS = ('news', 'letters', 'rare')
MODEL_MEMORY_MB = 4000
ROUTE_COST_TOKENS = 1
PROBE_TOKENS = 2
PROBE_PAUSE_S = 0.1


def key_of(organisation):
    """Return the key of an organisation."""
    return f'lf_secret_of_{organisation}'


def organisation_changes(name, rate, burst, base=0):
    """Return the changes that add an organisation and its key."""
    digest = hashlib.sha256(key_of(name).encode()).hexdigest()
    limits = {'rate_tokens_per_s': rate, 'burst_tokens': burst}
    return [
        {'put': 'organisation', 'name': name, 'base': base, **limits},
        {
            'put': 'key',
            'name': name,
            'base': base,
            'organisation': name,
            'digest': digest,
        },
    ]


def model_change(name, version='v1', base=0):
    """Return the change that adds or updates a model."""
    return {
        'put': 'model',
        'name': name,
        'base': base,
        'version': version,
        'checkpoint': f'{name}-{version}',
        'memory_mb': MODEL_MEMORY_MB,
    }


def route_changes():
    """Return the changes that add routes to the plain services."""
    common_fields = {'service': 'bookings', 'cost_tokens': ROUTE_COST_TOKENS}
    names = {'bookings': False, 'lookups': True}
    return [
        {
            'put': 'route',
            'name': name,
            'base': 0,
            'prefix': f'/{name}',
            'is_open': is_open,
            'is_idempotent': is_open,
            **common_fields,
        }
        for name, is_open in names.items()
    ]


@dataclasses.dataclass
class Operator:
    """Publishes release notes.

    :param folder: folder for the files of the notes.
    :ivar published_s: monotonic time at which the last publishing returned, in
        seconds.
    :ivar count: number of notes so far.
    """

    cluster: Cluster
    folder: object
    published_s: float = 0
    count: int = 0

    def publish(self, changes) -> subprocess.CompletedProcess:
        """Publish a note and return the outcome of the command."""
        self.count += 1
        path = self.folder / f'note-{self.count}.yaml'
        head = {'author': 'ana', 'message': 'A scenario.'}
        # The command reads YAML, which includes JSON.
        path.write_text(json.dumps({'note': head, 'changes': changes}))
        log = f'http://{self.cluster.address("log service")}'
        completed = self.cluster.ctl(
            'release', 'publish', path, '--log-url', log
        )
        self.published_s = time.monotonic()
        return completed

    def publish_accepted(self, changes):
        """Publish a note and check that it is accepted."""
        completed = self.publish(changes)
        assert completed.returncode == 0, completed.stdout + completed.stderr


@pytest.fixture
def operator(cluster, tmp_path):
    """Return an operator who publishes notes to the cluster."""
    return Operator(cluster, tmp_path)


@pytest.fixture
def traffic(cluster):
    """Return callers in the background, which stop after the test."""
    one = Traffic(lambda name: _address_for_callers(cluster, name))
    yield one
    one.finish()


def _address_for_callers(cluster, name):
    address = cluster.process(name).addresses.get(CALLERS)
    if address is None:
        raise ConnectionRefusedError(f'{name} is starting')
    return address


def get_next_offset(cluster, name, stream='releases'):
    """Return the stream offset that a program reads next.

    It is -1 when the program does not answer.
    """
    address = cluster.address(name, '/status')
    try:
        reply = http.request(address, 'GET', '/status', timeout_s=1)
    except (OSError, http.http.client.HTTPException):
        return -1
    return reply.json()['streams'][stream]['next_offset']


def get_log_head(cluster, stream='releases'):
    """Return the offset of the next record of a stream in the log service."""
    log = cluster.address('log service')
    return http.counts(log)['heads'].get(stream, 0)


def running_programs(cluster):
    """Return the names of the routers and agents that run."""
    names = cluster.running_names()
    return [name for name in names if name.startswith(PROGRAMS)]


def split_names(text):
    """Return the names in `a, b and c`."""
    return [name.strip() for name in text.replace(' and ', ',').split(',')]


@given(
    parsers.re(
        r'the organisations? (?P<names>.+) at (?P<rate>\d+) tokens/s'
        r' with a burst of (?P<burst>\d+)$'
    )
)
def put_organisations(cluster, operator, names, rate, burst):
    changes = [model_change(name) for name in MODELS] + route_changes()
    for name in split_names(names):
        changes += organisation_changes(name, int(rate), int(burst))
    operator.publish_accepted(changes)
    within(8, lambda: find_lagging(cluster, running_programs(cluster)) == [])


def find_lagging(cluster, names):
    """Return the programs that have not read all release notes yet."""
    head = get_log_head(cluster)
    return [name for name in names if get_next_offset(cluster, name) < head]


@given(step('PART joins through a relay in front of the log service'))
def join_through_relay(cluster, part):
    cluster.relay_to('log service')
    cluster.restart(part)
    within(8, lambda: find_lagging(cluster, [part]) == [])


@when(step('PART joins'))
def join(cluster, part):
    cluster.restart(part)


@when(parsers.re(r'an operator withdraws the key of (?P<name>\w+)$'))
def withdraw_key(operator, name):
    operator.publish_accepted([{'withdraw': 'key', 'name': name}])


@then(
    step(r'within (?P<limit>[\d.]+) s the release notes are in force at PART')
)
def check_in_force(cluster, limit, part):
    within(limit, lambda: find_lagging(cluster, [part]) == [])


@then(
    parsers.re(
        r'within (?P<limit>[\d.]+) s the release notes are in force everywhere'
        r'(?: but at (?P<other>.+))?$'
    )
)
def check_in_force_everywhere(cluster, limit, other):
    names = [name for name in running_programs(cluster) if name != other]
    within(limit, lambda: find_lagging(cluster, names) == [])


@given(
    step(
        r'an answer of (?P<tokens>\d+) tokens of (?P<model>\w+)'
        r' runs for (?P<name>\w+) at PART'
    )
)
def run_answer(cluster, traffic, tokens, model, name, part):
    request = GenerationRequest(
        key_of(name), model, f'{part} {model}', int(tokens)
    )
    before = len(_collect_executions(cluster))
    traffic.send_in_background('running', request, [part])
    within(20, lambda: len(_collect_executions(cluster)) > before)


@when(
    step(
        r'a caller of (?P<name>\w+) asks PART for (?P<tokens>\d+) tokens'
        r' of (?P<model>\w+)'
    )
)
def ask_in_background(traffic, name, part, tokens, model):
    request = GenerationRequest(key_of(name), model, 'waiting', int(tokens))
    traffic.send_in_background('waiting', request, [part])


@when(
    parsers.re(
        r'callers of (?P<name>\w+) ask (?P<routers>router .+)'
        r' for (?P<model>\w+) all the time$'
    )
)
def probe(traffic, name, routers, model):
    for router in split_names(routers):
        request = GenerationRequest(
            key_of(name), model, f'{router} {name}', PROBE_TOKENS
        )
        traffic.send_repeatedly(
            f'probe {router}', number_prompts(request), [router], PROBE_PAUSE_S
        )


@given(parsers.re(r'(?P<seconds>[\d.]+) s pass$'))
@when(parsers.re(r'(?P<seconds>[\d.]+) s pass$'))
def pass_time(seconds):
    time.sleep(float(seconds))


@then('every running answer is complete')
def check_running(traffic):
    traffic.finish()
    running = traffic.outcomes('running')
    assert running
    assert all(one.is_complete for one in running), [
        one.describe() for one in running
    ]


@then(parsers.re(r'the waiting caller is refused with (?P<name>\w+)$'))
def check_waiting(traffic, name):
    traffic.finish()
    (sent,) = traffic.outcomes('waiting')
    assert sent.refusal == name, sent.describe()
    assert sent.is_refused_without_running, sent.answer


def _collect_executions(cluster):
    engines = [
        one for one in cluster.running_names() if one.startswith('engine ')
    ]
    found = {}
    for name in engines:
        found.update(http.counts(cluster.address(name))['executions'])
    return found


@then(
    parsers.re(
        r'(?P<routers>router .+) admitted no (?P<name>\w+) later than'
        r' (?P<limit>[\d.]+) s after the note$'
    )
)
def check_last_admission(traffic, operator, routers, name, limit, measured):
    traffic.finish()
    for router in split_names(routers):
        probes = traffic.outcomes(f'probe {router}')
        admitted = [one for one in probes if not one.refusal]
        refused = [one for one in probes if one.refusal]
        assert admitted and refused, [one.describe() for one in probes[-5:]]
        assert all(one.is_complete for one in admitted)
        last_s = max(one.sent_s for one in admitted) - operator.published_s
        measured(f'{router}: last admission after publish', last_s, 's')
        assert last_s < float(limit)
        assert {one.refusal for one in refused} == {'KEY_WITHDRAWN'}
        assert all(one.is_refused_without_running for one in refused)


@pytest.fixture
def measured(request):
    """Return a function that prints a figure; `pytest -rP` shows it."""

    def print_figure(name, value, unit):
        print(f'MEASURED {request.node.name}: {name}: {value:.3f} {unit}')

    return print_figure
