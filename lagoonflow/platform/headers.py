"""Decodes and encodes headers of callers' requests and servers' answers."""

import re

import structlog

from lagoonflow.clock import MS_PER_S
from lagoonflow.http1.body_parts import Body
from lagoonflow.http1.messages import (
    Headers,
    RequestHead,
    ResponseHead,
    remove_headers,
)
from lagoonflow.platform.cold_times import parse_cold_time
from lagoonflow.relay.messages import (
    Answer,
    Call,
    PromptPart,
    ServerLoad,
    Target,
)

# Headers for a single connection; never forwarded.
HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)
# Headers that only routers may set or use; not forwarded from callers.
ROUTER_ONLY_HEADERS = frozenset(
    (
        b'authorization',
        b'tenant',
        b'expect',
        b'expect-instance',
        b'expect-version',
        b'deadline-ms',
        b'request-priority',
        b'hold',
        b'pin-ms',
        b'kv-backup',
        b'kv-fetch',
        b'kv-from',
        b'content-length',
    ),
)
KEY_SCHEME = b'token'
_LOG = structlog.get_logger(part='call')
EVENT_STREAM = b'text/event-stream'
# A server that isn't the expected one answers 421 and doesn't run the request.
NOT_RUN_STATUS = 421
UNAVAILABLE_STATUS = 503
LEAVING_HEADER = b'server-leaving'
PAUSE_HEADER = b'retry-after'
LIMIT_HEADER = b'server-limit'
# Longer pauses are taken for this long.
MAX_PAUSE_S = 600
RESUME_HEADER = b'last-event-id'
RESUMED_ATTEMPT_HEADER = b'resumes'
ATTEMPT_ID = re.compile('[!-~]{1,64}')
LOAD_HEADER = b'instance-load'
# Running, waiting and slots; some deployments add the time of work in percent.
# Further figures may follow. The lengths are bounded, as Python refuses to
# convert very long numbers.
LOAD_REPORT = re.compile(
    rb'(\d{1,9}),(\d{1,9}),(\d{1,9})(?:,(\d{1,9}(?:\.\d{1,9})?)(?:,.*)?)?'
)


def decode_call(head: RequestHead, body: Body) -> Call:
    """Decode a caller's request.

    A header with a malformed value is treated as absent.
    """
    host = (head.get(b'host') or b'').decode('latin-1').lower()
    target = head.target.decode('latin-1')
    model, _, adapter = _header_text(head, b'model').partition('/')
    tokens_in, _, tokens_out = _header_text(head, b'token-usage').partition(',')
    return Call(
        request_id=_header_text(head, b'attempt-id'),
        host=host.partition(':')[0],
        path=target.partition('?')[0],
        head=head,
        body=body,
        key=_parse_key(head.get(b'authorization')),
        deadline_ms=_parse_number(_header_text(head, b'deadline-ms')),
        model=model,
        adapter=adapter,
        input_tokens=int(_parse_number(tokens_in) or 0),
        output_tokens=int(_parse_number(tokens_out) or 0),
        prompt=_parse_prompt(_header_text(head, b'prompt-prefix')),
        resume_after=_header_text(head, RESUME_HEADER),
        resumed_request_id=_parse_resumed_attempt(head),
    )


def encode_call(call: Call, target: Target) -> RequestHead:
    """Return the request head that a backend server gets for a call.

    :param target: the backend server, with the deadline and the other values
        that only routers may set.
    """
    removed_names = (
        HOP_BY_HOP | ROUTER_ONLY_HEADERS | _connection_options(call.head)
    )
    if target.resume_after:
        removed_names |= {RESUME_HEADER}
    headers = remove_headers(call.head.headers, removed_names)
    headers.append((b'Deadline-Ms', str(target.deadline_ms).encode()))
    headers.append((b'Expect-Instance', target.instance.encode()))
    if target.organisation:
        headers.append((b'Tenant', target.organisation.encode()))
    if target.urgency is not None:
        headers.append((b'Request-Priority', str(target.urgency).encode()))
    if target.resume_after:
        headers.append((b'Last-Event-Id', target.resume_after.encode()))
    if call.body or _declares_body(call.head):
        headers.append((b'Content-Length', str(len(call.body)).encode()))
    return RequestHead(call.head.method, call.head.target, tuple(headers))


def answered_id(head: ResponseHead) -> bytes | None:
    """Return the id of the attempt that an answer states; ``None`` for none."""
    return head.get(b'attempt-id')


def decode_answer(head: ResponseHead) -> Answer:
    """Decode the head of a backend server's answer.

    A load report that is malformed in any of its first four figures is dropped
    as a whole.
    """
    load = parse_load(head.headers)
    content_type = (head.get(b'content-type') or b'').lower()
    return Answer(
        head=head,
        was_not_run=(
            head.get(b'not-executed') is not None
            or head.status == NOT_RUN_STATUS
        ),
        is_sealed=head.get(b'server-seal') is not None,
        is_encoded=head.get(b'content-encoding') is not None,
        is_event_stream=content_type.startswith(EVENT_STREAM),
        load=load,
        is_leaving=says_leaving(head.headers),
        pause_ms=parse_pause(head.status, head.headers),
        limit_per_s=parse_limit(head.headers),
        cold_for_ms=parse_cold_time(head.headers),
        is_load_malformed=(load is None and head.get(LOAD_HEADER) is not None),
    )


def says_leaving(headers: Headers) -> bool:
    """Return whether a server says in its answer that it is leaving."""
    return any(
        name.lower() == LEAVING_HEADER and text.strip() == b'1'
        for name, text in headers
    )


def forwarded_answer_headers(head: ResponseHead) -> Headers:
    """Return the headers of an answer that are forwarded to the caller."""
    options = _connection_options(head)
    return tuple(remove_headers(head.headers, HOP_BY_HOP | options))


def parse_pause(status: int, headers: Headers) -> float | None:
    """Return the pause that a full server asks for, in ms.

    Of several values the longest counts.
    """
    if status != UNAVAILABLE_STATUS:
        return None
    pauses_s: list[float] = []
    for name, text in headers:
        if name.lower() != PAUSE_HEADER:
            continue
        pause_s = _parse_number(text.decode('latin-1'))
        if pause_s is None:
            _LOG.warning('pause not readable', value=text.decode('latin-1'))
        else:
            pauses_s.append(min(pause_s, MAX_PAUSE_S))
    return max(pauses_s) * MS_PER_S if pauses_s else None


def parse_limit(headers: Headers) -> float | None:
    """Return the requests per second that a server takes from all routers.

    Of several values the lowest counts.
    """
    limits_per_s: list[float] = []
    for name, text in headers:
        if name.lower() != LIMIT_HEADER:
            continue
        limit_per_s = _parse_number(text.decode('latin-1'))
        if limit_per_s is None:
            _LOG.warning('limit not readable', value=text.decode('latin-1'))
        else:
            limits_per_s.append(limit_per_s)
    return min(limits_per_s, default=None)


def parse_load(headers: Headers) -> ServerLoad | None:
    """Return the load that a server reports.

    ``None`` without a report and for a malformed one. Of several reports the
    first counts.
    """
    reports = (text for name, text in headers if name.lower() == LOAD_HEADER)
    report = LOAD_REPORT.fullmatch(re.sub(rb'[ \t]', b'', next(reports, b'')))
    if report is None:
        return None
    running, waiting, slots, work_time = report.groups()
    percent = None if work_time is None else float(work_time)
    if percent == 0:
        return None
    return ServerLoad(int(running), int(waiting), int(slots), percent)


def _header_text(head: RequestHead, name: bytes) -> str:
    return (head.get(name) or b'').decode('latin-1').strip()


def _parse_resumed_attempt(head: RequestHead) -> str:
    """Return the id of the resumed attempt; empty if absent or malformed."""
    stated = {
        text.decode('latin-1').strip()
        for name, text in head.headers
        if name.lower() == RESUMED_ATTEMPT_HEADER
    }
    attempt_id = stated.pop() if len(stated) == 1 else ''
    return attempt_id if ATTEMPT_ID.fullmatch(attempt_id) else ''


def _parse_key(authorization: bytes | None) -> str:
    scheme, _, key = (authorization or b'').strip().partition(b' ')
    if scheme.lower() != KEY_SCHEME:
        return ''
    return key.strip().decode('latin-1')


def _parse_number(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number < float('inf') else None


def _parse_prompt(text: str) -> tuple[PromptPart, ...]:
    parts: list[PromptPart] = []
    for item in filter(None, text.split(',')):
        part_id, _, tokens = item.strip().partition(':')
        parts.append(PromptPart(part_id, int(_parse_number(tokens) or 0)))
    return tuple(parts)


def _connection_options(head: RequestHead | ResponseHead) -> frozenset[bytes]:
    """Return the names that the ``Connection`` header makes hop-by-hop."""
    named = (head.get(b'connection') or b'').lower().split(b',')
    return frozenset(option.strip() for option in named if option.strip())


def _declares_body(head: RequestHead) -> bool:
    chunked = head.get(b'transfer-encoding') is not None
    return chunked or head.get(b'content-length') is not None
