"""Authenticates callers by their keys, and removes keys from requests."""

import dataclasses
import hashlib
import hmac
import secrets
from collections.abc import Callable, Iterable
from typing import Protocol
from urllib.parse import unquote_plus

from lagoonflow.calls.messages import Header
from lagoonflow.keys.messages import Identity
from lagoonflow.releases.messages import KeySpec
from lagoonflow.results import Refusal, Result

KEY_PREFIX = 'lf_'
KEY_BYTES = 32
MIN_KEY_CHARS = 8
BEARER_PREFIX = 'bearer '

AUTHORIZATION = 'authorization'
KEY_HEADERS = frozenset(
    (
        AUTHORIZATION,
        'x-api-key',
        'api-key',
        'proxy-authorization',
        'cookie',
    ),
)
KEY_PARAMETERS = frozenset(('api_key', 'key', 'access_token'))

MISSING = 'The request carries no key.'
UNKNOWN = 'The key is not known.'
WITHDRAWN = 'The key has been withdrawn.'


class KeyState(Protocol):
    """A key that a release note has defined; it may be withdrawn by now."""

    key_id: str
    spec: KeySpec
    is_withdrawn: bool


class KeyDirectory(Protocol):
    """Look-up of keys, including withdrawn ones."""

    def key(self, key_id: str) -> KeyState | None:
        """Return a key by its id, even if it is withdrawn."""

    def key_by_digest(self, digest: str) -> KeyState | None:
        """Return a key by its digest, even if it is withdrawn."""


@dataclasses.dataclass(frozen=True, slots=True)
class NewKey:
    """A newly made key.

    :param token: the key itself, which must not be stored.
    :param digest: its SHA-256, in hexadecimal.
    """

    token: str = dataclasses.field(repr=False)
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class StrippedRequest:
    """The headers and the query of a request, with keys removed."""

    headers: tuple[Header, ...]
    query: str


def digest(token: str) -> str:
    """Return the SHA-256 of a key, in hexadecimal."""
    encoded = token.encode('utf-8', 'surrogateescape')
    return hashlib.sha256(encoded).hexdigest()


def new_key(
    random_bytes: Callable[[int], bytes] = secrets.token_bytes,
) -> NewKey:
    """Generate a key.

    :param random_bytes: returns as many random bytes as it is asked for.
    """
    token = KEY_PREFIX + random_bytes(KEY_BYTES).hex()
    return NewKey(token, digest(token))


def find_presented_key(headers: Iterable[Header], query: str) -> str:
    """Return the key that a request carries, or an empty string.

    A bearer token has precedence over the other headers, and these over the
    query.
    """
    by_name = {header.name.lower(): header.value for header in headers}
    authorization = by_name.get(AUTHORIZATION, '').strip()
    if authorization.lower().startswith(BEARER_PREFIX):
        return authorization[len(BEARER_PREFIX) :].strip()
    for header_name in ('x-api-key', 'api-key'):
        if by_name.get(header_name):
            return by_name[header_name].strip()
    for part in query.split('&'):
        name, text = _decode_parameter(part)
        if name in KEY_PARAMETERS and text:
            return text
    return ''


def authenticate(directory: KeyDirectory, token: str) -> Identity | Refusal:
    """Return the identity of the caller that presents a key.

    :param token: the presented key; empty if the request carries none.
    :returns: a refusal when the key is missing, unknown or withdrawn.
    """
    if not token:
        return Refusal(Result.KEY_MISSING, MISSING)
    if len(token) < MIN_KEY_CHARS:
        return Refusal(Result.KEY_UNKNOWN, UNKNOWN)
    presented_digest = digest(token)
    key = directory.key_by_digest(presented_digest)
    if key is None:
        return Refusal(Result.KEY_UNKNOWN, UNKNOWN)
    if not hmac.compare_digest(key.spec.digest, presented_digest):
        return Refusal(Result.KEY_UNKNOWN, UNKNOWN)
    if key.is_withdrawn:
        return Refusal(Result.KEY_WITHDRAWN, WITHDRAWN)
    return Identity(key.spec.organisation, key.key_id)


def check_identity(
    directory: KeyDirectory, identity: Identity
) -> Refusal | None:
    """Check an identity that another process has authenticated.

    This process may have seen the withdrawal of the key when the other had
    not. An empty identity belongs to a call on an open route and passes; the
    caller of this function checks that the route is open.

    :returns: a refusal when the key is unknown or withdrawn.
    """
    if identity == Identity():
        return None
    key = directory.key(identity.key_id)
    if key is None or key.spec.organisation != identity.organisation:
        return Refusal(Result.KEY_UNKNOWN, UNKNOWN)
    if key.is_withdrawn:
        return Refusal(Result.KEY_WITHDRAWN, WITHDRAWN)
    return None


def strip_keys(
    headers: Iterable[Header],
    query: str,
    token: str = '',
    directory: KeyDirectory | None = None,
) -> StrippedRequest:
    """Remove the headers and parameters that may carry a key.

    The ones in ``KEY_HEADERS`` and ``KEY_PARAMETERS`` are always removed.

    :param token: the presented key; headers and parameters that contain it
        anywhere are removed as well.
    :param directory: known keys; headers and parameters with a word that is
        one of them are removed as well.
    """
    kept = tuple(
        header
        for header in headers
        if header.name.lower() not in KEY_HEADERS
        and not _contains_token(header.value, token)
        and not _contains_token(header.name, token)
        and not _contains_known_key(header.value, directory)
    )
    parts = [part for part in query.split('&') if part]
    kept_parts = [
        part
        for part in parts
        if not _may_carry_key(part, token)
        and not _contains_known_key(_decode_parameter(part)[1], directory)
    ]
    return StrippedRequest(kept, '&'.join(kept_parts))


def _contains_known_key(text: str, directory: KeyDirectory | None) -> bool:
    if directory is None:
        return False
    return any(
        directory.key_by_digest(digest(word)) is not None
        for word in text.split()
        if len(word) >= MIN_KEY_CHARS
    )


def _may_carry_key(part: str, token: str) -> bool:
    name, _ = _decode_parameter(part)
    return name in KEY_PARAMETERS or _contains_token(part, token)


def _decode_parameter(part: str) -> tuple[str, str]:
    encoded_name, _, encoded_text = part.partition('=')
    name = unquote_plus(encoded_name).strip().lower()
    return name, unquote_plus(encoded_text).strip()


def _contains_token(text: str, token: str) -> bool:
    # A shorter token cannot be a key, and may occur in unrelated headers.
    if len(token) < MIN_KEY_CHARS:
        return False
    lowered = token.lower()
    return lowered in text.lower() or lowered in unquote_plus(text).lower()
