"""Authentication by keys, withdrawn keys, removal of keys from requests."""

from urllib.parse import quote

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonflow.calls.messages import Header
from lagoonflow.keys.messages import Identity
from lagoonflow.keys.state import (
    authenticate,
    check_identity,
    digest,
    find_presented_key,
    new_key,
    strip_keys,
)
from lagoonflow.results import Result
from tests.releases.notes import folded, note, organisation, put, withdraw

KEY = new_key(lambda count: bytes(range(count)))


def fold_with_key(*more):
    key = put('key', 'k', organisation='o', digest=KEY.digest)
    return folded(note('1', organisation(), key), *more)


def test_known_key_is_authenticated():
    fold = fold_with_key()
    identity = authenticate(fold, KEY.token)
    assert identity == Identity('o', 'k')
    assert check_identity(fold, identity) is None


@pytest.mark.parametrize(
    ('token', 'code'),
    [
        ('', Result.KEY_MISSING),
        ('short', Result.KEY_UNKNOWN),
        (KEY.token + 'x', Result.KEY_UNKNOWN),
        (KEY.digest, Result.KEY_UNKNOWN),
        ('\udcff' * 20, Result.KEY_UNKNOWN),
    ],
)
def test_missing_or_unknown_key_is_refused(token, code):
    refusal = authenticate(fold_with_key(), token)
    assert refusal.code == code
    assert refusal.not_run
    assert not token or token not in str(refusal)


def test_withdrawn_key_is_refused_by_routers_and_agents():
    fold = fold_with_key(note('2', withdraw('key', 'k')))
    assert authenticate(fold, KEY.token).code == Result.KEY_WITHDRAWN
    refusal = check_identity(fold, Identity('o', 'k'))
    assert refusal.code == Result.KEY_WITHDRAWN


def test_identity_of_another_organisation_is_refused():
    fold = fold_with_key()
    assert check_identity(fold, Identity('p', 'k')).code == Result.KEY_UNKNOWN
    assert check_identity(fold, Identity('o', '')).code == Result.KEY_UNKNOWN
    assert check_identity(fold, Identity()) is None


def test_new_key_is_random_and_hidden_in_its_repr():
    assert new_key().token != new_key().token
    assert KEY.token not in repr(KEY)
    assert digest(KEY.token) == KEY.digest


@pytest.mark.parametrize(
    ('headers', 'query'),
    [
        ([Header('Authorization', f'Bearer {KEY.token}')], ''),
        ([Header('authorization', f'bearer  {KEY.token} ')], ''),
        ([Header('X-Api-Key', KEY.token)], ''),
        ([Header('API-KEY', KEY.token)], ''),
        ([], f'a=1&api_key={KEY.token}'),
        ([], f'access%5Ftoken={KEY.token}'),
        ([], f'key={quote(KEY.token[:2])}{KEY.token[2:]}'),
    ],
)
def test_key_is_found_and_stripped_in_each_place(headers, query):
    assert find_presented_key(headers, query) == KEY.token
    stripped = strip_keys(headers, query, KEY.token)
    assert KEY.token not in str(stripped)


def test_other_headers_and_parameters_are_kept():
    headers = (Header('Accept', 'a/b'), Header('Cookie', 'x=1'))
    stripped = strip_keys(headers, 'day=7&day=8&%C3%A1=x+y', KEY.token)
    assert stripped.headers == headers[:1]
    assert stripped.query == 'day=7&day=8&%C3%A1=x+y'


def test_known_keys_are_removed_from_any_header_or_parameter():
    headers = (
        Header('X-Note', f'Key {KEY.token}'),
        Header('X-Day', 'monday-7'),
    )
    query = f'day=monday-7&token={quote(KEY.token)}'
    stripped = strip_keys(headers, query, '', fold_with_key())
    assert stripped.headers == headers[1:]
    assert stripped.query == 'day=monday-7'


header_values = st.sampled_from(
    [
        KEY.token,
        KEY.token.upper(),
        f'Basic {KEY.token}',
        quote(KEY.token, safe=''),
        ''.join(f'%{ord(char):02x}' for char in KEY.token),
        'harmless',
    ]
)
names = st.sampled_from(['Referer', 'X-Api-Key', 'Cookie', 'x', KEY.token])


@given(
    st.lists(st.builds(Header, names, header_values)),
    st.lists(st.tuples(names, header_values)),
)
def test_stripped_request_contains_no_key(headers, parameters):
    query = '&'.join(f'{name}={text}' for name, text in parameters)
    stripped = strip_keys(headers, query, KEY.token)
    left = str(stripped).lower()
    assert KEY.token.lower() not in left
    assert '%6c%66' not in left
