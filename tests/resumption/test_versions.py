"""Tests of what is concluded from the list of servers."""

import pytest

from lagoonflow.resumption.versions import MAX_LIST_AGE_MS, VersionHistory

WINDOW_MS = 10_000


def followed(now_ms):
    """Return a history that was followed for long enough until now."""
    history = VersionHistory()
    for at_ms in range(now_ms - WINDOW_MS, now_ms + 1, 1000):
        history.confirm(at_ms)
    return history


def test_the_only_version_is_concluded():
    history = followed(20_000)
    history.note('llm', 'v1', 20_000)
    assert history.only_version('llm', WINDOW_MS, 20_000) == 'v1'


def test_nothing_is_concluded_while_two_versions_serve():
    history = followed(20_000)
    history.note('llm', 'v1', 20_000)
    history.note('llm', 'v2', 20_000)
    assert history.only_version('llm', WINDOW_MS, 20_000) is None


def test_a_version_that_has_gone_still_counts_within_the_window():
    history = followed(20_000)
    history.note('llm', 'v1', 20_000 - WINDOW_MS)
    history.note('llm', 'v2', 20_000)
    assert history.only_version('llm', WINDOW_MS, 20_000) is None
    history.confirm(20_001)
    assert history.only_version('llm', WINDOW_MS, 20_001) == 'v2'


@pytest.mark.parametrize('list_age_ms', [1, 100, 1500, MAX_LIST_AGE_MS])
def test_nothing_is_concluded_from_a_list_that_a_version_may_have_joined_since(
    list_age_ms,
):
    history = followed(20_000)
    history.note('llm', 'v1', 20_000)
    now_ms = 20_000 + list_age_ms
    assert history.only_version('llm', WINDOW_MS, now_ms) is None
    history.note('llm', 'v2', now_ms)
    history.confirm(now_ms)
    assert history.only_version('llm', WINDOW_MS, now_ms) is None


def test_nothing_is_concluded_just_after_the_start():
    history = VersionHistory()
    history.confirm(20_000)
    history.note('llm', 'v1', 20_000)
    assert history.only_version('llm', WINDOW_MS, 20_000) is None


def test_nothing_is_concluded_after_a_time_without_the_list():
    history = followed(20_000)
    history.note('llm', 'v1', 20_000)
    now_ms = 20_000 + WINDOW_MS + 2 * MAX_LIST_AGE_MS
    history.note('llm', 'v2', now_ms)
    history.confirm(now_ms)
    assert history.only_version('llm', WINDOW_MS, now_ms) is None
