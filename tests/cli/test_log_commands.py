"""Explaining a request, and counting calls and orders, from log files."""

import json

import pytest

from lagoonflow.cli.exit_status import ExitStatus
from tests.cli.programs import ctl

REFUSED_CALL = {
    'part': 'call',
    'event': 'ended',
    'process': 'router-1',
    'line_ms': 10_000,
    'request': 'a1',
    'outcome': 'DEADLINE_UNREACHABLE',
    'reason': 'the model is ready in 7900 ms, too late',
    'status': 503,
    'not_run': True,
    'took_ms': 12,
    'route': 'r1',
    'model': 'm1',
    'steps': ['0ms wake i-7 cost=7900ms'],
}
LATE_CALL = {
    **REFUSED_CALL,
    'request': 'a2',
    'line_ms': 14_000,
    'outcome': 'delivered',
    'reason': '',
    'target_ms': 800,
    'answer_ms': 1900,
    'took_ms': 2000,
    'steps': ['0ms wake i-7 cost=700ms', '1500ms send i-7 cost=10ms'],
}
ORDER = {
    'part': 'waking',
    'event': 'order',
    'process': 'agent-1',
    'line_ms': 9000,
    'kind': 'load',
    'model': 'm9',
    'adapter': '',
    'runner': 'i-7',
    'from_store': True,
    'outcome': 'ACCEPTED',
}
ORDER_OF_OTHER_AGENT = {**ORDER, 'process': 'agent-2', 'runner': 'i-8'}
STORE_LOST = {
    'part': 'store',
    'event': 'store lost',
    'process': 'router-1',
    'line_ms': 9500,
    'reason': 'status 503',
    'servers': ['i-1', 'i-2'],
}


@pytest.fixture
def log(tmp_path):
    path = tmp_path / 'all.log'
    lines = [REFUSED_CALL, LATE_CALL, ORDER, ORDER_OF_OTHER_AGENT, STORE_LOST]
    text = '\n'.join(f'0.1 node {json.dumps(line)}' for line in lines)
    path.write_text(f'{text}\nno json\n{{"cut": ')
    return path


def test_refused_request_is_explained(log):
    run = ctl('explain-request', 'a1', log)
    assert run.status == ExitStatus.SUCCESS
    assert 'ready in 7900 ms, too late; answered 503' in run.stdout
    assert 'has not run' in run.stdout
    assert 'm9' in run.stdout
    assert 'store lost' in run.stdout
    assert 'agent-2' not in run.stdout


def test_late_request_is_explained(log):
    run = ctl('explain-request', 'a2', log)
    assert '1100 ms late' in run.stdout
    assert '1500ms send i-7' in run.stdout


def test_unknown_request_prints_an_error_and_a_hint(log):
    run = ctl('explain-request', 'a3', log)
    assert run.status == ExitStatus.ERROR
    assert 'logs of all routers' in run.stderr


def test_unreadable_log_is_an_error(tmp_path):
    run = ctl('explain-request', 'a1', tmp_path / 'none.log')
    assert run.status == ExitStatus.ERROR
    assert 'Cannot read' in run.stderr


def test_calls_and_orders_are_counted(log):
    run = ctl('summarize-log', log)
    assert run.status == ExitStatus.SUCCESS
    assert '1 late, wake' in run.stdout
    assert '1 DEADLINE_UNREACHABLE' in run.stdout
    assert 'load model from the store' in run.stdout


def test_unserved_models_are_listed_with_refusals_and_loads(log):
    run = ctl('list-unserved', log)
    assert run.status == ExitStatus.SUCCESS
    assert 'm1' not in run.stdout
    with log.open('a') as file:
        for line in (
            {
                **REFUSED_CALL,
                'model': 'm9',
                'store_place': 3,
                'retry_after_ms': 4000,
            },
            {**LATE_CALL, 'model': 'm2'},
        ):
            file.write(f'\n{json.dumps(line)}')
    run = ctl('list-unserved', log)
    assert 'place 3 at the store, to return after 4000 ms' in run.stdout
    assert 'load from the store at i-7' in run.stdout
    assert 'm2' not in run.stdout
