"""Look-up of the holder of a key by the key's digest."""

from __future__ import annotations

import hmac
import threading
from collections.abc import Iterable, Mapping
from typing import Generic, NamedTuple, Protocol, TypeVar


class KeyHolder(Protocol):
    """Whoever holds keys, such as a workspace of a configuration."""

    @property
    def key_digests(self) -> tuple[bytes, ...]:
        """Return the digests of the keys."""


H = TypeVar("H", bound=KeyHolder)


class _Entry(NamedTuple, Generic[H]):
    digest: bytes
    holder: H


class KeyTable(Generic[H]):
    """Holders of the keys of one configuration, by digest.

    Configurations may follow each other faster than requests, so the table
    is built by the first look-up, and only once.

    :param holders: those who hold keys; no two hold the same one.
    """

    def __init__(self, holders: Iterable[H]) -> None:
        self._holders = holders
        self._lock = threading.Lock()
        self._entries: Mapping[bytes, _Entry[H]] | None = None

    def find(self, digest: bytes) -> H | None:
        """Return the holder of the key with a digest."""
        entries = self._entries
        if entries is None:
            entries = self._build()
        entry = entries.get(digest)
        if entry is None or not hmac.compare_digest(entry.digest, digest):
            return None
        return entry.holder

    def _build(self) -> Mapping[bytes, _Entry[H]]:
        with self._lock:
            if self._entries is None:
                self._entries = {
                    digest: _Entry(digest, holder)
                    for holder in self._holders
                    for digest in holder.key_digests
                }
            return self._entries
