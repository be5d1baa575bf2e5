"""Tests of cold models in a fleet of real processes.

An engine counts its loads and the orders that exceed its memory.
"""

import json

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from lagoonflow.roster.homes import rank_members
from lagoonflow.roster.messages import Member, Role
from loopback import http
from loopback.program_flags import ADMIN
from tests.support.fleet_steps import key_of, split_names
from tests.support.steps import within
from tests.support.traffic import GenerationRequest

scenarios('test_waking.feature')

MAX_TOKENS = 20
AGENTS = 3


@pytest.fixture
def chosen():
    """Provide the names of agents that earlier steps have chosen."""
    return {}


@given(parsers.re(r'engines of (?P<memory>\d+) MB$'))
def limit_memory(cluster, memory):
    for number in range(1, AGENTS + 1):
        cluster.engine_flags[number] = ('--memory-mb', memory)


@when(
    parsers.re(
        r'(?P<count>\d+) callers of (?P<name>\w+) ask (?P<routers>router .+)'
        r' for (?P<model>\w+) at once$'
    )
)
def burst(traffic, count, name, routers, model):
    names = split_names(routers)
    for number in range(int(count)):
        prompt = f'{model} {number}'
        request = GenerationRequest(key_of(name), model, prompt, MAX_TOKENS)
        traffic.send_in_background(
            'running', request, [names[number % len(names)]]
        )


@when(parsers.re(r'the agent that loads (?P<model>\w+) is killed$'))
def kill_loader(cluster, model):
    within(10, lambda: _loaders(cluster, model))
    cluster.process(_loaders(cluster, model)[0]).kill()


@when(parsers.re(r'the agent that is home of (?P<model>\w+) is frozen$'))
def freeze_home(cluster, chosen, model):
    members = [
        Member(f'agent-{number}', Role.AGENT, '', 0, '', '')
        for number in range(1, AGENTS + 1)
    ]
    chosen['frozen'] = rank_members(f'model/{model}', members)[0].name.replace(
        '-', ' '
    )
    cluster.process(chosen['frozen']).pause()


@when('the frozen agent resumes')
def resume_home(cluster, chosen):
    cluster.process(chosen['frozen']).resume()


@then(
    parsers.re(
        r'every running caller is answered or refused within (?P<limit>\d+) s$'
    )
)
def check_settled(traffic, limit):
    traffic.join()
    for sent in traffic.outcomes('running'):
        assert sent.is_complete or sent.refusal, sent.describe()
        assert sent.ended_s - sent.sent_s < int(limit), sent.describe()


@then(parsers.re(r'the engines have loaded (?P<model>\w+) once$'))
def check_one_load(cluster, model):
    assert _loads(cluster, model) == 1


@then(
    parsers.re(
        r'the engines have loaded (?P<model>\w+) at most (?P<most>\d+) times$'
    )
)
def check_loads(cluster, model, most):
    assert 1 <= _loads(cluster, model) <= int(most)


@then('no engine was asked for more memory than it has')
def check_memory(cluster):
    attempts = [counts['overcommit_attempts'] for counts in _counts(cluster)]
    assert not any(attempts), attempts


def _counts(cluster):
    return [
        http.request(cluster.address(name), 'GET', '/counts').json()
        for name in cluster.running_names()
        if name.startswith('engine')
    ]


def _loads(cluster, model):
    return sum(counts['loads'].get(model, 0) for counts in _counts(cluster))


def _loaders(cluster, model):
    """Return the agents whose time line shows an order to load the model."""
    found = []
    for name in cluster.running_names():
        if not name.startswith('agent'):
            continue
        address = cluster.process(name).addresses[ADMIN]
        path = f'/timeline?model={model}'
        events = json.loads(http.request(address, 'GET', path).body)
        if any(event['event'] == 'load_ordered' for event in events):
            found.append(name)
    return found
