"""Decoding and encoding of the headers of requests and answers."""

import pytest

from lagoonflow.http1.messages import RequestHead, ResponseHead
from lagoonflow.platform.headers import (
    answered_id,
    decode_answer,
    decode_call,
    encode_call,
    forwarded_answer_headers,
)
from lagoonflow.relay.messages import PromptPart, ServerLoad, Target

HEADERS = (
    (b'Host', b'Desk.example:80'),
    (b'Attempt-Id', b'a1'),
    (b'Model', b'm1/a3'),
    (b'Token-Usage', b'1460,80'),
    (b'Prompt-Prefix', b'5c:800,91:410'),
    (b'Deadline-Ms', b'5000'),
    (b'Authorization', b'Token secret'),
    (b'X-Other', b'kept'),
)
TARGET = Target('i-1', 'water', 4321, urgency=2)


def call(*extra, body=b''):
    return decode_call(
        RequestHead(b'POST', b'/a/b?c=d', (*HEADERS, *extra)), body
    )


def encode(*extra, body=b'', target=TARGET):
    head = encode_call(call(*extra, body=body), target)
    return head, {name.lower(): text for name, text in head.headers}


def test_decodes_a_call():
    decoded = call()
    assert (decoded.host, decoded.path, decoded.request_id) == (
        'desk.example',
        '/a/b',
        'a1',
    )
    assert (decoded.model, decoded.adapter) == ('m1', 'a3')
    assert decoded.tokens == 1540
    assert decoded.prompt == (PromptPart('5c', 800), PromptPart('91', 410))
    assert (decoded.deadline_ms, decoded.key) == (5000, 'secret')


def test_malformed_values_count_as_absent():
    head = RequestHead(
        b'GET',
        b'/',
        (
            (b'Deadline-Ms', b'soon'),
            (b'Token-Usage', b'x,-1'),
            (b'Authorization', b'Basic abc'),
        ),
    )
    decoded = decode_call(head, b'')
    assert (decoded.deadline_ms, decoded.tokens, decoded.key) == (None, 0, '')


def test_sets_the_routers_headers_of_a_forwarded_request():
    head, headers = encode(body=b'xyz')
    assert (head.method, head.target) == (b'POST', b'/a/b?c=d')
    assert headers[b'attempt-id'] == b'a1'
    assert headers[b'model'] == b'm1/a3'
    assert headers[b'x-other'] == b'kept'
    assert headers[b'deadline-ms'] == b'4321'
    assert headers[b'expect-instance'] == b'i-1'
    assert headers[b'tenant'] == b'water'
    assert headers[b'request-priority'] == b'2'
    assert headers[b'content-length'] == b'3'


def test_the_key_is_not_forwarded():
    head, headers = encode()
    assert b'authorization' not in headers
    assert all(b'secret' not in text for _, text in head.headers)


def test_drops_headers_that_only_routers_may_set():
    names = (
        b'Hold',
        b'Pin-Ms',
        b'Kv-Backup',
        b'Kv-From',
        b'Kv-Fetch',
        b'Expect-Version',
    )
    _, headers = encode(*((name, b'1') for name in names), (b'Tenant', b'evil'))
    assert not {name.lower() for name in names} & set(headers)
    assert headers[b'tenant'] == b'water'


def test_drops_hop_by_hop_headers_of_requests():
    _, headers = encode(
        (b'Connection', b'keep-alive, X-Hop'),
        (b'X-Hop', b'1'),
        (b'Keep-Alive', b'timeout=5'),
        (b'Transfer-Encoding', b'chunked'),
    )
    assert not {b'connection', b'x-hop', b'keep-alive'} & set(headers)
    assert headers[b'content-length'] == b'0'


def test_a_resumption_replaces_the_last_event_id():
    target = Target('i-2', '', 100, resume_after='7')
    head, _ = encode((b'Last-Event-Id', b'3'), target=target)
    last_event_ids = [
        text for name, text in head.headers if name == b'Last-Event-Id'
    ]
    assert last_event_ids == [b'7']


def test_decodes_an_answer():
    head = ResponseHead(
        200,
        b'OK',
        (
            (b'Server-Seal', b's'),
            (b'Instance-Load', b'3, 1,8'),
            (b'Content-Type', b'text/event-stream; charset=utf-8'),
        ),
    )
    answer = decode_answer(head)
    assert answer.is_sealed
    assert answer.is_event_stream
    assert answer.load == ServerLoad(3, 1, 8)
    assert not answer.was_not_run


@pytest.mark.parametrize(
    ('report', 'load'),
    [
        (b'3,1,8,250', ServerLoad(3, 1, 8, 250)),
        (b'3, 1, 8, 55.5, x,7', ServerLoad(3, 1, 8, 55.5)),
        (b'3,1', None),
        (b'3,-1,8', None),
        (b'3,1,8,', None),
        (b'3,1,8,fast', None),
        (b'3,1,8,0', None),
        (b'3,1,8,nan', None),
        (b'9' * 5000 + b',1,8', None),
        (b'', None),
    ],
)
def test_reads_load_reports_of_three_figures_or_more(report, load):
    # Reports of four figures were discarded entirely.
    answer = decode_answer(
        ResponseHead(200, b'', ((b'Instance-Load', report),))
    )
    assert answer.load == load
    assert answer.is_load_malformed is (load is None)


def test_an_absent_load_report_is_not_malformed():
    assert not decode_answer(ResponseHead(200, b'', ())).is_load_malformed


def test_a_rejection_states_that_nothing_ran():
    rejected = ResponseHead(503, b'', ((b'Not-Executed', b'1'),))
    assert decode_answer(rejected).was_not_run
    assert decode_answer(ResponseHead(421, b'', ())).was_not_run
    assert not decode_answer(ResponseHead(503, b'', ())).was_not_run


def test_an_answer_to_another_request_is_recognised():
    other = ResponseHead(200, b'', ((b'Attempt-Id', b'other'),))
    assert answered_id(other) == b'other'
    assert answered_id(ResponseHead(503, b'', ())) is None


def test_drops_hop_by_hop_headers_of_answers():
    head = ResponseHead(
        200,
        b'OK',
        (
            (b'Server-Seal', b's'),
            (b'Connection', b'close'),
            (b'Transfer-Encoding', b'chunked'),
        ),
    )
    assert forwarded_answer_headers(head) == ((b'Server-Seal', b's'),)


def test_decodes_the_attempt_that_is_resumed():
    assert call((b'Resumes', b' a0 ')).resumed_request_id == 'a0'


@pytest.mark.parametrize(
    'values',
    [(), (b'',), (b'a b',), (b'x' * 65,), (b'a1', b'a2')],
)
def test_a_malformed_or_ambiguous_resumed_attempt_counts_as_absent(values):
    headers = [(b'Resumes', text) for text in values]
    assert not call(*headers).resumed_request_id


@pytest.mark.parametrize(
    ('stated', 'limit_per_s'),
    [
        ((), None),
        ((b'1.5',), 1.5),
        ((b' 0 ',), 0),
        ((b'4', b'2.5'), 2.5),
        ((b'-1',), None),
        ((b'nan',), None),
        ((b'1e400',), None),
        ((b'few', b'3'), 3),
    ],
)
def test_the_lowest_readable_limit_of_a_server_counts(stated, limit_per_s):
    headers = tuple((b'Server-Limit', text) for text in stated)
    answer = decode_answer(ResponseHead(200, b'OK', headers))
    assert answer.limit_per_s == limit_per_s
