"""Fingerprints by which repeats of a request are recognised."""

import base64
import hashlib
from collections.abc import Iterable

from lagoonflow.http1.body_parts import Body, parts_of
from lagoonflow.http1.messages import RequestHead

DIGEST_BYTES = 8
PROMPT_DIGEST_BYTES = 3
SEPARATOR = '.'


def fingerprint(
    head: RequestHead,
    body: Body,
    host: str,
    organisation: str,
    prompt: Iterable[str] = (),
) -> str:
    """Return what a request has in common with its repeats, and no other.

    Headers are left out, as ids and deadlines differ between repeats. A prompt
    is told apart by a suffix.

    :param host: host name that the request is addressed to.
    :param organisation: name of the caller's organisation; empty for none.
    :param prompt: ids of the parts of the prompt.
    """
    request = _digest(
        DIGEST_BYTES,
        head.method,
        host.encode('latin-1'),
        head.target,
        organisation.encode(),
        *parts_of(body),
    )
    parts = [part_id.encode('latin-1') for part_id in prompt]
    if not parts:
        return request
    return request + SEPARATOR + _digest(PROMPT_DIGEST_BYTES, *parts)


def without_prompt(known: str) -> str:
    """Return what a fingerprint has in common with those of other prompts."""
    return known.partition(SEPARATOR)[0]


def _digest(length_bytes: int, *fields: bytes) -> str:
    digest = hashlib.blake2b(digest_size=length_bytes)
    for field in fields:
        # The length keeps neighbouring fields apart.
        digest.update(len(field).to_bytes(8))
        digest.update(field)
    encoded = base64.urlsafe_b64encode(digest.digest())
    return encoded.decode().rstrip('=')
