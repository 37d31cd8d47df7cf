"""Keys as callers and other members present them, reduced to digests."""

from __future__ import annotations

import dataclasses
import hashlib

# Name of the header field, as the listeners spell it.
FIELD = b"Authorization"
SCHEME = b"bearer"
# Longer ones are no keys; they are not worth hashing.
MAX_KEY_BYTES = 4_096
_DIGEST_BYTES = hashlib.sha256().digest_size


@dataclasses.dataclass(frozen=True)
class KeyDigest:
    """SHA-256 digest of a key."""

    digest: bytes = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True)
class MissingKey:
    """The request carries no key."""


@dataclasses.dataclass(frozen=True)
class MalformedKey:
    """The request carries something that is no key."""

    reason: str


Credential = KeyDigest | MissingKey | MalformedKey


def digest_key(key: bytes) -> bytes:
    """Return the digest under which a key is known."""
    return hashlib.sha256(key).digest()


def from_field(value: bytes | None) -> Credential:
    """Return what a header field presents.

    :param value: value of :data:`FIELD`, ``None`` without it.
    """
    if value is None:
        return MissingKey()
    scheme, _, key = value.strip().partition(b" ")
    key = key.strip()
    if scheme.lower() != SCHEME:
        return MalformedKey("the scheme of the key is not Bearer")
    if not key:
        return MalformedKey("the key is empty")
    if len(key) > MAX_KEY_BYTES or b" " in key:
        return MalformedKey("the key is too long or has a space")
    return KeyDigest(digest_key(key))


def encode_proof(credential: Credential | None) -> bytes:
    """Return what shows a key to another member; empty without a key."""
    match credential:
        case KeyDigest(digest):
            return digest.hex().encode()
        case _:
            return b""


def decode_proof(value: bytes) -> Credential:
    """Return what another member has shown.

    :raises ValueError: it is malformed.
    """
    if not value:
        return MissingKey()
    digest = bytes.fromhex(value.decode("ascii"))
    if len(digest) != _DIGEST_BYTES:
        raise ValueError("the digest of a key has another length")
    return KeyDigest(digest)
