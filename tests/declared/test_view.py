"""Routes, keys and the age of the configuration."""

import collections
import dataclasses

from lagoonflow.declared.messages import (
    DeclaredState,
    Organisation,
    Route,
    RouteKind,
    ServiceShare,
)
from lagoonflow.declared.view import DeclaredView, pick_service


def route(name, prefix, *shares):
    return Route(
        name, 'h', prefix, RouteKind.IDEMPOTENT, 1000, 100, 1, 1, shares
    )


STATE = DeclaredState(
    5,
    (route('short', '/a/'), route('long', '/a/b/')),
    {},
    (Organisation('o', frozenset(['k'])),),
)


def view():
    made = DeclaredView()
    made.apply(STATE)
    return made


def test_the_longest_prefix_wins():
    assert view().find_route('h', '/a/b/c').name == 'long'
    assert view().find_route('h', '/a/x').name == 'short'
    assert view().find_route('h', '/a') is None
    assert view().find_route('other', '/a/x') is None


def test_an_older_version_changes_nothing():
    made = view()
    assert not made.apply(dataclasses.replace(STATE, version=4, routes=()))
    assert made.find_route('h', '/a/x') is not None


def test_a_withdrawn_key_has_no_holder():
    made = view()
    assert made.find_organisation('k').name == 'o'
    made.apply(dataclasses.replace(STATE, version=6, organisations=()))
    assert made.find_organisation('k') is None


def test_the_proof_only_gets_younger():
    made = view()
    made.confirm(1000)
    made.confirm(500)
    assert made.age_ms(1500) == 500


def test_requests_are_split_by_weight():
    split = route('r', '/', ServiceShare('a', 90), ServiceShare('b', 10))
    counts = collections.Counter(
        pick_service(split, f'request-{one}') for one in range(2000)
    )
    assert 130 < counts['b'] < 270
    assert pick_service(split, 'x') == pick_service(split, 'x')


def test_a_weight_of_zero_gets_nothing():
    split = route('r', '/', ServiceShare('a', 0), ServiceShare('b', 1))
    assert {pick_service(split, str(one)) for one in range(50)} == {'b'}
    nobody = route('r', '/', ServiceShare('a', 0))
    assert pick_service(nobody, 'x') is None
