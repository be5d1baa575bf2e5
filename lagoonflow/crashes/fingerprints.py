"""Fingerprints by which repeats of a request are recognised."""

import base64
import hashlib

from lagoonflow.http1.messages import RequestHead

DIGEST_BYTES = 8


def fingerprint(
    head: RequestHead, body: bytes, host: str, organisation: str
) -> str:
    """Return what a request has in common with its repeats, and no other.

    Headers are left out, as ids and deadlines differ between repeats.

    :param host: host name that the request is addressed to.
    :param organisation: name of the caller's organisation; empty for none.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (
        head.method,
        host.encode('latin-1'),
        head.target,
        organisation.encode(),
    ):
        # The length keeps neighbouring fields apart.
        digest.update(len(field).to_bytes(4))
        digest.update(field)
    digest.update(body)
    encoded = base64.urlsafe_b64encode(digest.digest())
    return encoded.decode().rstrip('=')
