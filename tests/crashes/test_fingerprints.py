"""Tests of what tells a request from others."""

import dataclasses

import pytest

from lagoonflow.crashes.fingerprints import fingerprint, without_prompt
from lagoonflow.http1.messages import RequestHead

HEAD = RequestHead(b'POST', b'/read/x?page=1', ((b'Attempt-Id', b'a1'),))
REQUEST = (HEAD, b'body', 'h', 'water')


def test_repeats_differ_in_headers_only():
    again = dataclasses.replace(HEAD, headers=((b'Attempt-Id', b'a2'),))
    assert fingerprint(*REQUEST) == fingerprint(again, *REQUEST[1:])


@pytest.mark.parametrize(
    'other',
    [
        (dataclasses.replace(HEAD, target=b'/read/y?page=1'), *REQUEST[1:]),
        (dataclasses.replace(HEAD, target=b'/read/x?page=2'), *REQUEST[1:]),
        (dataclasses.replace(HEAD, method=b'PUT'), *REQUEST[1:]),
        (HEAD, b'other', 'h', 'water'),
        (HEAD, b'', 'h', 'water'),
        (HEAD, b'body', 'i', 'water'),
        (HEAD, b'body', 'h', 'fire'),
        (HEAD, b'body', 'h', ''),
    ],
)
def test_requests_that_differ_in_one_of_these_are_told_apart(other):
    assert fingerprint(*REQUEST) != fingerprint(*other)


def test_neighbouring_fields_are_kept_apart():
    assert fingerprint(HEAD, b'', 'ab', 'c') != fingerprint(
        HEAD, b'', 'a', 'bc'
    )


def test_a_long_body_adds_nothing_to_the_length():
    assert len(fingerprint(HEAD, bytes(4_000_000), 'h', '')) == 11


def test_prompts_are_told_apart_by_a_suffix():
    first = fingerprint(*REQUEST, ('a', 'b'))
    second = fingerprint(*REQUEST, ('a', 'c'))
    assert first != second
    assert without_prompt(first) == without_prompt(second)
    assert without_prompt(first) == fingerprint(*REQUEST)
