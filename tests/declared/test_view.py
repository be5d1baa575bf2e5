"""Tests routes, keys and the freshness of the configuration."""

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


def make_view():
    view = DeclaredView()
    view.apply(STATE)
    return view


def test_the_longest_prefix_wins():
    assert make_view().find_route('h', '/a/b/c').name == 'long'
    assert make_view().find_route('h', '/a/x').name == 'short'
    assert make_view().find_route('h', '/a') is None
    assert make_view().find_route('other', '/a/x') is None


def test_an_older_version_changes_nothing():
    view = make_view()
    assert not view.apply(dataclasses.replace(STATE, version=4, routes=()))
    assert view.find_route('h', '/a/x') is not None


def test_a_withdrawn_key_belongs_to_no_organisation():
    view = make_view()
    assert view.find_organisation('k').name == 'o'
    view.apply(dataclasses.replace(STATE, version=6, organisations=()))
    assert view.find_organisation('k') is None


def test_an_older_confirmation_changes_nothing():
    view = make_view()
    view.confirm(1000)
    view.confirm(500)
    assert view.age_ms(1500) == 500


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
    unweighted = route('r', '/', ServiceShare('a', 0))
    assert pick_service(unweighted, 'x') is None
