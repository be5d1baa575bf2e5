"""Steps that start, stop and disturb the processes of a cluster.

Steps name a process `router 1`, `agent 2`, `engine 1`, `plain service 1`,
`the log service`, `the host list` or `the weight store`.
"""

import json
import signal
import time

import pytest
from pytest_bdd import given, parsers, then, when

from loopback import http

PART = r'(?P<part>(?:the )?[a-z]+(?: [a-z]+)?(?: \d+)?)'
PROGRAMS = ('router ', 'agent ')
POLL_S = 0.05


def step(pattern):
    """Return a step parser; PART in the pattern matches a process name."""
    return parsers.re(pattern.replace('PART', PART) + '$')


def within(limit_s, check):
    """Repeat a check until it returns a true value.

    :param limit_s: longest wait, in seconds.
    :raises AssertionError: when it does not return one in time.
    """
    deadline_s = time.monotonic() + float(limit_s)
    while not check():
        assert time.monotonic() < deadline_s, f'not within {limit_s} s'
        time.sleep(POLL_S)


def is_answered(address, path, status):
    """Tell whether a GET request is answered with this status."""
    try:
        return http.request(address, 'GET', path, timeout_s=1).status == status
    except (OSError, http.http.client.HTTPException):
        return False


def get_nested_count(value, path):
    """Return a nested counter, given by a path like `executions/request-1`.

    Of a list or a dict, return the length; of what is missing, 0.
    """
    for key in filter(None, path.split('/')):
        value = value.get(key, 0) if isinstance(value, dict) else 0
    return len(value) if isinstance(value, (list, dict)) else value


@given(
    parsers.re(
        r'a fleet of (?P<routers>\d+) routers? and (?P<agents>\d+) agents?$'
    )
)
def start_fleet(cluster, routers, agents):
    cluster.start_fleet(int(routers), int(agents))


@given('the platform')
def start_platform(cluster):
    cluster.start_platform()


@given(parsers.re(r'(?P<count>\d+) engines?$'))
def start_engines(cluster, count):
    cluster.start_engines(int(count))


@given(step('a relay in front of PART'))
def start_relay(cluster, part):
    cluster.relay_to(part.removeprefix('the '))


@when(
    step(
        'PART is (?P<change>killed|frozen|woken|asked to stop|restarted|unlisted|listed as leaving)'
    )
)
def change_process(cluster, part, change):
    process = cluster.process(part)
    match change:
        case 'killed':
            process.kill()
        case 'frozen':
            process.pause()
        case 'woken':
            process.resume()
        case 'asked to stop':
            process.terminate()
        case 'restarted':
            cluster.restart(part)
        case 'unlisted':
            cluster.unlist_host(part)
        case 'listed as leaving':
            cluster.list_host(part, 'leaving')


@given(step('PART is (?P<state>down|up|silent)'))
@when(step('PART is (?P<state>down|up|silent)'))
def set_availability(cluster, part, state):
    http.set_faults(
        cluster.address(part),
        outage=state == 'down',
        silent=state == 'silent',
    )


@when(step(r'PART is slow by (?P<delay_ms>\d+) ms'))
def slow_down(cluster, part, delay_ms):
    http.set_faults(cluster.address(part), delay_ms=int(delay_ms))


@given(step(r'PART has the fault (?P<fault>\w+) set to (?P<setting>\S+)'))
@when(step(r'PART has the fault (?P<fault>\w+) set to (?P<setting>\S+)'))
def set_fault(cluster, part, fault, setting):
    http.set_faults(cluster.address(part), **{fault: json.loads(setting)})


@when(
    step(
        'the connections to PART (?P<change>go silent|all go silent|are cut|all fail|work again)'
    )
)
def change_relay(cluster, part, change):
    relay = cluster.relays[part.removeprefix('the ')]
    match change:
        case 'go silent':
            relay.silence_open()
        case 'all go silent':
            relay.silence_all()
        case 'are cut':
            relay.cut_open()
        case 'all fail':
            relay.cut_all()
        case 'work again':
            relay.heal()


@then(
    step(
        r'within (?P<limit>[\d.]+) s PART answers (?P<status>\d+) on (?P<path>\S+)'
    )
)
def check_answer(cluster, limit, part, status, path):
    address = cluster.address(part, path)
    within(limit, lambda: is_answered(address, path, int(status)))


@then(step(r'within (?P<limit>[\d.]+) s PART has ended'))
def check_ended(cluster, limit, part):
    process = cluster.process(part)
    within(limit, lambda: not process.is_running)


@then(
    step(
        r'within (?P<limit>[\d.]+) s PART counts (?P<number>\d+) of (?P<counter>\S+)'
    )
)
def check_count_within(cluster, limit, part, number, counter):
    address = cluster.address(part)
    within(
        limit,
        lambda: get_nested_count(http.counts(address), counter) == int(number),
    )


@then(step(r'PART counts (?P<number>\d+) of (?P<counter>\S+)'))
def check_count(cluster, part, number, counter):
    counted = get_nested_count(http.counts(cluster.address(part)), counter)
    assert counted == int(number)


@then(step('PART has seen no credentials'))
def check_no_credentials(cluster, part):
    assert not http.counts(cluster.address(part))['headers_seen']


@then(parsers.re(r'all processes end within (?P<limit>[\d.]+) s of SIGTERM$'))
def check_all_end(processes, limit):
    running = [one for one in processes.all() if one.is_running]
    for process in running:
        process.terminate()
    within(limit, lambda: not any(one.is_running for one in running))
    codes = {one.name: one.popen.returncode for one in running}
    for name, code in codes.items():
        # SIGTERM kills the stand-ins; programs handle it and exit with 0.
        is_program = name.startswith(PROGRAMS)
        assert code == (0 if is_program else -signal.SIGTERM), codes


@then(step(r'PART does not answer on (?P<path>\S+)'))
def check_no_answer(cluster, part, path):
    address = cluster.address(part, path)
    with pytest.raises(OSError):
        http.request(address, 'GET', path, timeout_s=0.5)


@when(
    step(r'a caller with the key (?P<key>\S+) asks PART for a completion'),
    target_fixture='caller_answer',
)
def ask_for_completion(cluster, key, part):
    body = {'model': 'm', 'prompt': 'p', 'max_tokens': 4}
    address = cluster.address(part, '/v1/completions')
    return http.complete(address, key, body)


@then(
    parsers.re(r'the caller is refused with (?P<name>\w+) and nothing has run$')
)
def check_refusal(caller_answer, name):
    assert caller_answer.error.get('name') == name, caller_answer
    assert caller_answer.error.get('not_run') is True
    assert caller_answer.text == ''
