"""Tests of the version at which a stream goes on after routers restarted."""

import pytest

from lagoonflow.declared.messages import RouteKind
from lagoonflow.http1.messages import RequestHead
from lagoonflow.relay.messages import Call
from lagoonflow.resumption.decision import VersionRule
from lagoonflow.resumption.messages import OneVersion, UnknownVersion
from lagoonflow.resumption.origins import StreamOrigins
from lagoonflow.resumption.versions import MAX_LIST_AGE_MS, VersionHistory
from tests.relay.harness import route

RESTARTED_MS = 100_000
# Time that callers give their streams, over all attempts.
CALLER_TIMEOUT_MS = 17_000
LONGEST_STREAM_MS = 90_000


def followed(history, from_ms, until_ms, *versions):
    """Let a router follow the list of servers; return its history."""
    for at_ms in range(from_ms, until_ms + 1, 500):
        for version in versions:
            history.note('llm', version, at_ms)
        history.confirm(at_ms)
    return history


def resume(history, timeout_ms, left_ms, now_ms):
    """Return at which version a stream of unknown origin may go on.

    :param left_ms: what is left of the caller's time.
    """
    resumable = route(
        RouteKind.STREAM, '/resume/', is_resumable=True, timeout_ms=timeout_ms
    )
    call = Call(
        'a2',
        'h',
        '/resume/x',
        RequestHead(b'POST', b'/resume/x', ()),
        b'',
        deadline_ms=left_ms,
        resume_after='3',
        resumed_request_id='a1',
    )
    rule = VersionRule(StreamOrigins(), history)
    return rule.require(call, resumable, 'llm', now_ms)


@pytest.mark.parametrize('timeout_ms', [2000, 5000, 11_000, 17_000])
@pytest.mark.parametrize('age_ms', range(1000, CALLER_TIMEOUT_MS, 1000))
def test_no_stream_begun_before_all_routers_restarted_goes_on_at_another_version(
    timeout_ms, age_ms
):
    # The old version left just before the restart.
    now_ms = RESTARTED_MS + age_ms - 1
    history = followed(VersionHistory(), RESTARTED_MS, now_ms, 'new')
    left_ms = CALLER_TIMEOUT_MS - age_ms
    required = resume(history, timeout_ms, left_ms, now_ms)
    assert isinstance(required, UnknownVersion)


def test_a_stream_begun_before_the_end_of_its_version_was_noticed_is_not_joined():
    gone_ms = RESTARTED_MS + 200_000
    history = followed(VersionHistory(), RESTARTED_MS, gone_ms, 'old', 'new')
    began_ms = gone_ms + MAX_LIST_AGE_MS - 100
    now_ms = began_ms + LONGEST_STREAM_MS - 500
    followed(history, gone_ms + 500, now_ms, 'new')
    required = resume(history, LONGEST_STREAM_MS, 500, now_ms)
    assert isinstance(required, UnknownVersion)


def test_the_only_version_is_known_again_after_a_while():
    now_ms = RESTARTED_MS + 100_000
    history = followed(VersionHistory(), RESTARTED_MS, now_ms, 'new')
    assert resume(history, 11_000, 5000, now_ms) == OneVersion('new')
