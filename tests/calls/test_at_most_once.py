"""Steps for bookings at a plain service and generations under faults."""

import concurrent.futures
import dataclasses
import functools
import http.client
import json
import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from lagoonflow.keys.state import digest
from loopback import http as support
from loopback.cluster import LOG, SERVICE
from standins.tokens import TokenSource, expected_tokens
from tests.releases import notes
from tests.support.steps import step, within

scenarios('test_at_most_once.feature')

KEY = 'a-key-of-the-registrars'
HEADERS = {'Authorization': f'Bearer {KEY}', 'Lagoonflow-Deadline-Ms': '5000'}
SPACING_S = 0.02
PATH = '/bookings/slot'


@dataclasses.dataclass
class Answer:
    body: str
    status: int
    detail: dict

    @property
    def is_confirmed(self):
        return self.status == 200

    @property
    def not_run(self):
        return self.detail.get('error', {}).get('not_run', False)


@dataclasses.dataclass
class Bookings:
    pool: concurrent.futures.ThreadPoolExecutor
    futures: list = dataclasses.field(default_factory=list)

    @property
    def answers(self):
        return [future.result() for future in self.futures]


@pytest.fixture
def bookings():
    with concurrent.futures.ThreadPoolExecutor(64) as pool:
        yield Bookings(pool)


def book(address, body, is_keyed):
    headers = {**HEADERS, 'Idempotency-Key': body} if is_keyed else HEADERS
    try:
        reply = support.request(
            address, 'POST', PATH, body.encode(), headers, 40
        )
        return Answer(body, reply.status, reply.json())
    except (OSError, http.client.HTTPException):
        return Answer(body, 0, {})


def publish(cluster, *changes):
    record = notes.note('calls', *changes)
    path = '/streams/releases/records'
    address = cluster.address(LOG)
    support.request(address, 'POST', path, {'records': [record]})


def key_changes():
    organisation = notes.put(
        'organisation', 'o', rate_tokens_per_s=10_000, burst_tokens=100_000
    )
    key = notes.put('key', 'k', organisation='o', digest=digest(KEY))
    return organisation, key


@given(parsers.re(r'(?P<count>\d+) agents? joins?'))
def start_agents(cluster, count):
    for number in range(1, int(count) + 1):
        cluster.restart(f'agent {number}')


def is_served(address):
    return book(address, 'warm-up', False).is_confirmed


@given('bookings are served')
def publish_bookings(cluster):
    route = notes.put('route', 'r', prefix='/bookings', service=SERVICE)
    publish(cluster, *key_changes(), route)
    for number in (1, 2):
        address = cluster.address(f'router {number}')
        within(20, functools.partial(is_served, address))


@given('generations are served')
def publish_model(cluster):
    publish(cluster, *key_changes(), notes.model(memory_mb=1000))
    address = cluster.address('router 1')
    body = {'model': 'm', 'prompt': 'warm-up', 'max_tokens': 1}
    within(20, lambda: support.complete(address, KEY, body).status == 200)


@given(step(r'bookings take (?P<delay_ms>\d+) ms at PART'))
def slow_down(cluster, part, delay_ms):
    support.set_faults(cluster.address(part), delay_ms=int(delay_ms))


@when(
    parsers.re(
        r'(?P<count>\d+) bookings are sent (?P<way>with|without) idempotency keys'
    )
)
def send_bookings(cluster, bookings, count, way):
    address = cluster.address('router 1')
    for number in range(int(count)):
        body = f'booking-{number}'
        future = bookings.pool.submit(book, address, body, way == 'with')
        bookings.futures.append(future)
        time.sleep(SPACING_S)


@when(parsers.re(r'(?P<duration>\d+) s pass'))
def wait(duration):
    time.sleep(int(duration))


@when(
    parsers.re(
        r'the bookings (?P<way>with|without) idempotency keys are repeated at router 2'
    )
)
def repeat_bookings(cluster, bookings, way):
    if way == 'with':
        address = cluster.address('router 2')
        bodies = [answer.body for answer in bookings.answers]
        bookings.futures = [
            bookings.pool.submit(book, address, body, True) for body in bodies
        ]


@then(parsers.re(r'every booking has an answer within (?P<limit>\d+) s'))
def check_answered(bookings, limit):
    _, unanswered = concurrent.futures.wait(
        bookings.futures, timeout=int(limit)
    )
    assert not unanswered


@then('no booking ran twice and each answer is correct')
def check_answers_correct(cluster, bookings):
    answers = bookings.answers
    executions = {}
    for number in (1, 2):
        address = cluster.address(f'plain service {number}')
        for body, count in support.counts(address)['by_body'].items():
            executions[body] = executions.get(body, 0) + count
    for answer in answers:
        count = executions.get(answer.body, 0)
        assert count <= 1, answer
        assert not (answer.is_confirmed and count != 1), answer
        assert not (answer.not_run and count), answer


@then(parsers.re(r'at least (?P<least>\d+) bookings were confirmed'))
def check_confirmed(bookings, least):
    confirmed = [answer for answer in bookings.answers if answer.is_confirmed]
    assert len(confirmed) >= int(least), bookings.answers


@when(
    parsers.re(r'a generation of (?P<tokens>\d+) tokens has begun at router 1'),
    target_fixture='generation',
)
def begin_generation(cluster, tokens):
    prompt = next(
        text
        for text in map('prompt {}'.format, range(10_000))
        if expected_tokens(text, int(tokens)) == int(tokens)
    )
    body = {
        'model': 'm',
        'prompt': prompt,
        'max_tokens': int(tokens),
        'stream': True,
    }
    address = cluster.address('router 1')
    stream = support.open_stream(address, '/v1/completions', body, HEADERS)
    events = stream.events()
    return prompt, int(tokens), [next(events)], events


@then(parsers.re(r'the answer is complete, with no gap above (?P<gap>\d+) ms'))
def check_generation(generation, gap):
    prompt, tokens, received, events = generation
    gap_ms, last_s = 0, time.monotonic()
    for event in events:
        gap_ms = max(gap_ms, (time.monotonic() - last_s) * 1000)
        last_s = time.monotonic()
        if event != support.END_OF_STREAM:
            received.append(event)
    choices = [json.loads(event).get('choices') or [{}] for event in received]
    text = ''.join(choice[0].get('text', '') for choice in choices)
    source = TokenSource('m', '1', '', '', prompt)
    assert text == source.text(0, tokens)
    assert gap_ms < int(gap)
