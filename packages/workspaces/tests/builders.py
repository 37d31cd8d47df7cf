"""Builders of keys and their holders for the tests."""

from __future__ import annotations

from typing import NamedTuple

from balsamloom_workspaces import credentials, key_tables


class Holder(NamedTuple):
    """Holder of keys."""

    name: str
    key_digests: tuple[bytes, ...]


def holder(name: str, *keys: bytes) -> Holder:
    """Build a holder of some keys."""
    return Holder(name, tuple(credentials.digest_key(key) for key in keys))


def table(*holders: Holder) -> key_tables.KeyTable[Holder]:
    """Build a table of keys."""
    return key_tables.KeyTable(holders)


def presented(key: bytes) -> credentials.Credential:
    """Build what a caller with a key presents."""
    return credentials.from_field(b"Bearer " + key)
