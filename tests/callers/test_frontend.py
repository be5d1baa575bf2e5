"""The HTTP frontend, called in process over ASGI, with fakes below it."""

import asyncio
import contextlib

import msgspec
import pytest

from lagoonflow.callers.context import FrontendContext
from lagoonflow.callers.frontend import build_frontend
from lagoonflow.callers.messages import Charge
from lagoonflow.callers.requests import CallerLimits
from lagoonflow.calls.actions import DeliverFinish, DeliverText, Refuse
from lagoonflow.calls.messages import Finish, Usage
from lagoonflow.keys.state import digest
from lagoonflow.releases.lookups import KeyState
from lagoonflow.releases.messages import KeySpec, ModelSpec
from lagoonflow.results import Refusal, Result
from lagoonflow.telemetry.metrics import RouterMetrics
from lagoonflow.telemetry.timeline import TimeLine

KEY = 'lf_a_key_of_water'
ANSWER = (DeliverText(' one', 1), DeliverText(' two', 1))
FINISH = DeliverFinish(Finish('length', Usage(3, 2)))


class FakeReleases:
    """Release notes with one key and one model."""

    def key_by_digest(self, wanted):
        key_state = KeyState('k', KeySpec('water', digest(KEY)), False)
        return key_state if wanted == digest(KEY) else None

    def model(self, name):
        return ModelSpec('v1', 'm-v1', 100) if name == 'm' else None

    def adapter(self, name):
        return None

    def models(self):
        return {'m': self.model('m')}

    def adapters(self):
        return {}

    def route_for(self, path):
        return None


class FakeAdmission:
    """Admits every request, and records the tokens that were settled."""

    def __init__(self):
        self.settled = []

    async def charge(self, request_id, organisation, cost_tokens, deadline_ms):
        return Charge(1, cost_tokens)

    def settle(self, charge, used_tokens):
        self.settled.append(used_tokens)


class FakeCalls:
    """Answers each call with fixed parts, after an event if one is given."""

    def __init__(self, *parts, start_event=None):
        self.parts = parts
        self.start_event = start_event
        self.closed_count = 0

    async def run(self, call):
        try:
            if self.start_event is not None:
                await self.start_event.wait()
            for part in self.parts:
                yield part
        finally:
            self.closed_count += 1


def build_context(*parts, start_event=None, **limits):
    return FrontendContext(
        FakeReleases(),
        FakeAdmission(),
        FakeCalls(*parts, start_event=start_event),
        CallerLimits(**limits),
        RouterMetrics(),
        TimeLine('router-1'),
    )


class Caller:
    """A caller that sends its requests to the frontend over ASGI."""

    def __init__(self, context, is_connection_closed=False):
        self.app = build_frontend(context)
        self.is_connection_closed = is_connection_closed
        self.disconnected = asyncio.Event()
        self.sent = []

    async def post(self, path, body, key=KEY, headers=(), method='POST'):
        content = body if isinstance(body, bytes) else msgspec.json.encode(body)
        scope = {
            'type': 'http',
            'method': method,
            'path': path,
            'raw_path': path.encode(),
            'query_string': b'',
            'headers': [
                *((b'authorization', f'Bearer {key}'.encode()),) * bool(key),
                *headers,
            ],
            'http_version': '1.1',
            'scheme': 'http',
            'server': ('127.0.0.1', 80),
            'client': ('127.0.0.1', 1),
            'root_path': '',
        }
        pending = [{'type': 'http.request', 'body': content}]

        async def receive():
            if pending:
                return pending.pop()
            await self.disconnected.wait()
            return {'type': 'http.disconnect'}

        async def send(message):
            if self.is_connection_closed:
                raise OSError('the connection is closed')
            self.sent.append(message)

        await self.app(scope, receive, send)
        return self.sent[0]['status'], b''.join(
            part.get('body', b'') for part in self.sent[1:]
        )


def chat_body(**fields):
    message = {'role': 'user', 'content': 'hello'}
    return {'model': 'm', 'messages': [message], **fields}


async def test_complete_answer_is_charged_by_its_usage():
    context = build_context(*ANSWER, FINISH)
    status, body = await Caller(context).post(
        '/v1/chat/completions', chat_body()
    )
    answer = msgspec.json.decode(body)
    assert status == 200
    assert answer['choices'][0]['message']['content'] == ' one two'
    assert context.admission.settled == [5]
    assert context.in_flight == 0


async def test_stream_ends_with_done_event():
    context = build_context(*ANSWER, FINISH)
    caller = Caller(context)
    status, body = await caller.post(
        '/v1/chat/completions', chat_body(stream=True)
    )
    assert status == 200
    assert body.endswith(b'data: [DONE]\n\n')
    assert context.in_flight == 0


async def test_refusal_during_a_stream_is_its_last_event():
    refusal = Refusal(Result.STREAM_BROKEN, 'lost', not_run=False)
    context = build_context(*ANSWER, Refuse(refusal))
    caller = Caller(context)
    _, body = await caller.post('/v1/chat/completions', chat_body(stream=True))
    assert b'STREAM_BROKEN' in body
    assert b'[DONE]' not in body


@pytest.mark.parametrize(
    ('path', 'body', 'key', 'headers', 'code', 'status'),
    [
        ('/v1/chat/completions', b'{', KEY, (), 'MALFORMED_BODY', 400),
        (
            '/v1/chat/completions',
            {'model': 'm'},
            KEY,
            (),
            'MALFORMED_BODY',
            400,
        ),
        ('/v1/completions', chat_body(), KEY, (), 'MALFORMED_BODY', 400),
        (
            '/v1/completions',
            {'model': 'x', 'prompt': ''},
            KEY,
            (),
            'UNKNOWN_MODEL',
            404,
        ),
        ('/v1/chat/completions', chat_body(), '', (), 'KEY_MISSING', 401),
        (
            '/v1/chat/completions',
            chat_body(),
            'lf_no_key',
            (),
            'KEY_UNKNOWN',
            401,
        ),
        ('/nowhere', b'', KEY, (), 'UNKNOWN_ROUTE', 404),
        ('/v1/completions', b'x' * 300, KEY, (), 'BODY_TOO_LARGE', 413),
        (
            '/v1/completions',
            b'',
            KEY,
            ((b'x', b'y' * 600),),
            'HEADERS_TOO_LARGE',
            431,
        ),
        (
            '/v1/completions',
            b'',
            KEY,
            ((b'lagoonflow-deadline-ms', b'soon'),),
            'MALFORMED_HEADER',
            400,
        ),
    ],
)
async def test_invalid_requests_are_refused_with_status_and_code(
    path, body, key, headers, code, status
):
    context = build_context(max_body_bytes=200, max_header_bytes=500)
    actual_status, answer = await Caller(context).post(path, body, key, headers)
    error = msgspec.json.decode(answer)['error']
    assert (actual_status, error['name'], error['not_run']) == (
        status,
        code,
        True,
    )
    assert context.in_flight == 0
    assert key not in answer.decode() or not key


async def test_request_beyond_the_limit_in_flight_is_refused():
    context = build_context(max_waiting=0)
    status, answer = await Caller(context).post('/v1/completions', b'')
    assert status == 503
    assert b'TOO_MANY_WAITING' in answer
    assert b'retry_after_ms":1000' in answer


@pytest.mark.parametrize('is_streaming', [True, False])
async def test_disconnect_ends_the_call(is_streaming):
    start_event = asyncio.Event()
    context = build_context(*ANSWER, FINISH, start_event=start_event)
    caller = Caller(context)
    body = chat_body(stream=is_streaming)
    request_task = asyncio.create_task(
        caller.post('/v1/chat/completions', body)
    )
    await asyncio.sleep(0.01)
    caller.disconnected.set()
    await request_task
    assert context.calls.closed_count == 1
    assert context.in_flight == 0
    assert len(context.admission.settled) == 1


async def test_disconnect_before_the_stream_starts_ends_the_call():
    """The body iterator never starts, so it can't end the call itself."""
    context = build_context(*ANSWER, FINISH)
    caller = Caller(context, is_connection_closed=True)
    with contextlib.suppress(Exception):
        await caller.post('/v1/chat/completions', chat_body(stream=True))
    assert context.calls.closed_count == 1
    assert context.in_flight == 0
